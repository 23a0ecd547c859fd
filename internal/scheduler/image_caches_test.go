package scheduler

import (
	"testing"

	"lynxledge/wire"
)

// A machine keeps the most recently used images that fit into its cache, and always the latest one.
func TestImageCachesKeepTheLatest(t *testing.T) {
	caches := newImageCaches()
	machineType := &wire.MachineType{Name: "s", CacheGB: 10}
	for _, step := range []struct {
		use  cachedImage
		kept string
	}{
		{cachedImage{"x", 4}, "x"},
		{cachedImage{"y", 4}, "xy"},
		{cachedImage{"x", 4}, "xy"}, // makes x the latest again
		{cachedImage{"z", 4}, "xz"},
		{cachedImage{"w", 20}, "w"},
	} {
		caches.recordUse("i-1", machineType, step.use)
		for _, name := range []string{"w", "x", "y", "z"} {
			kept := false
			for _, k := range step.kept {
				kept = kept || string(k) == name
			}
			if caches.has("i-1", name) != kept {
				t.Errorf("after %s: %s is there: %v", step.use.name, name, !kept)
			}
		}
	}
	if caches.forget("i-1"); caches.has("i-1", "w") {
		t.Error("a terminated machine has an image")
	}
}
