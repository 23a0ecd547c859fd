package scheduler

import (
	"slices"

	"lynxledge/wire"
)

// imageCaches estimates which images the machines have cached from the tasks bound to them: each
// keeps the most recently used images that fit into its cache.
type imageCaches struct {
	byMachine map[wire.MachineID][]cachedImage // most recently used first
}

type cachedImage struct {
	name   string
	sizeGB float64
}

func newImageCaches() *imageCaches {
	return &imageCaches{byMachine: map[wire.MachineID][]cachedImage{}}
}

// has reports whether a machine is assumed to have an image.
func (c *imageCaches) has(machine wire.MachineID, image string) bool {
	return slices.ContainsFunc(c.byMachine[machine], func(i cachedImage) bool { return i.name == image })
}

// forget drops the images of a machine that no longer exists.
func (c *imageCaches) forget(machine wire.MachineID) { delete(c.byMachine, machine) }

// recordUse marks an image as the most recently used of a machine, and drops the least recently
// used ones that no longer fit into the cache. If machineType is nil, the cache size is unknown and
// nothing is dropped.
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
