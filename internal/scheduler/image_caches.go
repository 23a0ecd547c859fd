package scheduler

import (
	"slices"

	"lynxledge/wire"
)

// imageCaches is what can be known here of the images that machines have fetched: each keeps
// those that it used last, as far as its cache holds them.
type imageCaches struct {
	byMachine map[wire.MachineID][]cachedImage // the one used last first
}

type cachedImage struct {
	name   string
	sizeGB float64
}

func newImageCaches() *imageCaches {
	return &imageCaches{byMachine: map[wire.MachineID][]cachedImage{}}
}

// has reports whether a machine has an image.
func (c *imageCaches) has(machine wire.MachineID, image string) bool {
	return slices.ContainsFunc(c.byMachine[machine], func(i cachedImage) bool { return i.name == image })
}

// forget drops a machine that is terminated.
func (c *imageCaches) forget(machine wire.MachineID) { delete(c.byMachine, machine) }

// recordUse moves an image to the front of a machine's cache, and drops what no longer fits
// into it. machineType is nil when it is unknown.
func (c *imageCaches) recordUse(machine wire.MachineID, machineType *wire.MachineType, image cachedImage) {
	old := c.byMachine[machine]
	if len(old) > 0 && old[0].name == image.name {
		return
	}
	list := append(make([]cachedImage, 0, len(old)+1), image)
	for _, other := range old {
		if other.name != image.name {
			list = append(list, other)
		}
	}
	if machineType != nil {
		usedGB := 0.0
		for i := range list {
			if usedGB += list[i].sizeGB; usedGB > machineType.CacheGB {
				list = list[:max(1, i)]
				break
			}
		}
	}
	c.byMachine[machine] = list
}
