package cloud

import (
	"context"
	"slices"
	"testing"
	"time"

	"lynxledge/wire"
)

// cachedTypes is a lister that returns the same slice at each call.
type cachedTypes []wire.MachineType

func (c cachedTypes) MachineTypes(context.Context) ([]wire.MachineType, error) { return c, nil }

// Subscribers don't get invalid machine types, and the slice that the client returned is not
// modified, since others may read it.
func TestCatalogDoesNotModifyClientsSlice(t *testing.T) {
	usable := func(name string) wire.MachineType {
		return wire.MachineType{Name: name, CPUs: 4, MemoryGB: 16, HourlyPrice: 1, Zones: []wire.Zone{"a"}}
	}
	client := cachedTypes{{Name: "without CPUs", Zones: []wire.Zone{"a"}}, usable("s"), usable("l")}
	before := slices.Clone(client)
	c := StartCatalog(t.Context(), client)
	var got []string
	c.Subscribe(func(types []wire.MachineType) {
		got = got[:0]
		for _, m := range types {
			got = append(got, m.Name)
		}
	})
	for range 2 {
		c.Run(t.Context(), time.Hour, time.Hour)
		if !slices.Equal(got, []string{"s", "l"}) {
			t.Fatalf("subscribers got %q", got)
		}
	}
	for i := range before {
		if client[i].Name != before[i].Name {
			t.Errorf("type %d of the client is %q, was %q", i, client[i].Name, before[i].Name)
		}
	}
}
