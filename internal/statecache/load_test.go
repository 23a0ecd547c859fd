package statecache

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// pagedStore lists one key per page, and calls afterFirstPage after the first page.
type pagedStore struct {
	*simulation.StoreConn
	afterFirstPage func()
}

func (s *pagedStore) List(ctx context.Context, prefix, after string, _ int) (*wire.RangeResponse, error) {
	page, err := s.StoreConn.List(ctx, prefix, after, 1)
	if s.afterFirstPage != nil {
		s.afterFirstPage()
		s.afterFirstPage = nil
	}
	return page, err
}

// A machine that moves to another group while the pages are listed is never missing from the view,
// although its new group was listed before the move and its old group is deleted by then.
func TestLoadMissesNothingThatMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		conn := newTestConn(simulation.NewStore())
		write := func(key string, machines ...wire.MachineID) wire.Write {
			g := NewMachineGroup(GroupOptions{MachineType: "t", Zone: "z", ProvisionedAt: 5, Machines: machines, FencingToken: 9})
			return wire.Write{PutKey: Key(KindMachineGroup, key), Value: mustMarshal(g)}
		}
		commit := func(writes ...wire.Write) {
			if _, err := conn.Commit(ctx, &wire.Txn{Writes: writes}); err != nil {
				t.Error(err)
			}
		}
		commit(write("a", "i-1"), write("b", "i-2"), write("c", "i-3"))
		store := &pagedStore{conn, func() { commit(write("a", "i-1", "i-2"), wire.Write{DeleteKey: Key(KindMachineGroup, "b")}) }}
		cache := newTestCache(ctx, store, 0)
		view := NewView(8) // used only in the cache's actor
		cache.Subscribe(func(update Update) {
			for _, change := range update.Changes {
				view.Apply(change)
			}
			if len(view.Machines) != 3 || view.Machines["i-2"].Group != "a" {
				t.Errorf("%d machines at revision %d", len(view.Machines), update.Revision)
			}
		})
		cache.Run()
		time.Sleep(5 * time.Second)
		if n, ok := actor.Ask(cache.Actor, func(reply func(int)) { reply(len(view.Machines)) }); !ok || n != 3 {
			t.Errorf("%d machines in the end", n)
		}
	})
}
