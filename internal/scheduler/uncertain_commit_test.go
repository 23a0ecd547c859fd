package scheduler

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxledge/internal/kvstore"
	"lynxledge/internal/simulation"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// attemptHandler handles an attempt to commit bindings in place of the store.
type attemptHandler func(store *simulation.Store, execute func() (uint64, error)) (uint64, error)

// bindingAttempts handles the attempts to commit bindings, each with the next of its handlers, and
// all other transactions as the store does.
type bindingAttempts struct {
	store *simulation.Store

	mu       sync.Mutex // guards the fields below
	handlers []attemptHandler
	onFirst  func(txn *wire.Txn) // called with the first attempt's transaction, before it is handled
}

func (a *bindingAttempts) intercept(_ string, txn *wire.Txn, execute func() (uint64, error)) (uint64, error) {
	if !bindsTasks(txn) {
		return execute()
	}
	handle := a.next(txn)
	if handle == nil {
		return execute()
	}
	return handle(a.store, execute)
}

// next returns the handler of the next attempt; nil if none is left.
func (a *bindingAttempts) next(txn *wire.Txn) attemptHandler {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.handlers) == 0 {
		return nil
	}
	if a.onFirst != nil {
		a.onFirst(txn)
		a.onFirst = nil
	}
	handle := a.handlers[0]
	a.handlers = a.handlers[1:]
	return handle
}

// remaining returns the number of attempts that were not made.
func (a *bindingAttempts) remaining() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.handlers)
}

// bindsTasks reports whether a transaction is conditional on an assignment, as one with bindings is.
func bindsTasks(txn *wire.Txn) bool {
	assignments := statecache.Key(statecache.KindAssignment, "")
	return slices.ContainsFunc(txn.Preconditions, func(p wire.Precondition) bool { return strings.HasPrefix(p.Key, assignments) })
}

func executeAndLoseResponse(_ *simulation.Store, execute func() (uint64, error)) (uint64, error) {
	_, _ = execute()
	return 0, simulation.ErrNoResponse
}

// executeLate has the store execute a transaction that got no response 3 s later.
func executeLate(_ *simulation.Store, execute func() (uint64, error)) (uint64, error) {
	time.AfterFunc(3*time.Second, func() { _, _ = execute() })
	return 0, simulation.ErrNoResponse
}

func rejectAsInvalid(*simulation.Store, func() (uint64, error)) (uint64, error) {
	return 0, kvstore.ErrInvalidRequest
}

// reassignFirst has another controller write the team's assignment anew before the store handles a
// transaction, which then conflicts.
func reassignFirst(store *simulation.Store, execute func() (uint64, error)) (uint64, error) {
	other := &simulation.StoreConn{Store: store, Network: simulation.NewNetwork(2, time.Millisecond), Member: "n1", Timeout: time.Second}
	key := statecache.Key(statecache.KindAssignment, "red")
	if _, err := other.Commit(context.Background(), &wire.Txn{Writes: []wire.Write{{PutKey: key, Value: store.Value(key)}}}); err != nil {
		return 0, err
	}
	return execute()
}

// addIdleGroups assigns the team to the scheduler, and adds groups of one idle machine each, and a
// job with one task.
func addIdleGroups(cache *statecache.Cache, s *Scheduler, names ...string) {
	commit := statecache.Commit{Puts: []statecache.Put{
		{Key: statecache.Key(statecache.KindAssignment, "red"), Record: &statecache.Assignment{Member: "n0", Incarnation: s.incarnation}},
		{Key: statecache.Key(statecache.KindJob, "req-000001"), Record: &statecache.Job{TaskCount: 1, SubmittedAt: statecache.TimestampOf(time.Now()), Spec: &wire.Job{
			ID: "req-000001", Team: "red", Kind: wire.KindArray, TaskCount: 1, CPUs: 4, MemoryGB: 1, EstimatedRuntime: 50,
		}}},
	}}
	for _, name := range names {
		group := groupOf(name, 1)
		group.Machines[0].Bindings = nil
		commit.Puts = append(commit.Puts, statecache.Put{Key: statecache.Key(statecache.KindMachineGroup, name), Record: group})
	}
	cache.Commit(commit, func(statecache.Outcome) {})
}

// A task is bound to one machine only, however the commit that binds it ends: while the view lacks
// what an attempt without a response has changed, or may still change, the task looks unbound. The
// preconditions of another binding would hold, since that is in another group's record.
func TestTaskIsBoundOnceAfterALostResponse(t *testing.T) {
	for _, test := range []struct {
		name       string
		handlers   []attemptHandler
		unreadable bool // the store can't be read from the first attempt on, for 30 s
	}{
		{"conflict with the first attempt", []attemptHandler{executeAndLoseResponse}, true},
		{"rejected as invalid after the first attempt", []attemptHandler{executeAndLoseResponse, rejectAsInvalid}, true},
		{"rejected as invalid before the first attempt is executed", []attemptHandler{executeLate, rejectAsInvalid}, false},
		{"both after two attempts without a response", []attemptHandler{executeLate, executeAndLoseResponse, rejectAsInvalid}, true},
		{"reassigned after the first attempt", []attemptHandler{executeAndLoseResponse, reassignFirst}, true},
		{"reassigned before the first attempt is executed", []attemptHandler{executeLate, reassignFirst}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSchedulerAndStore(t, map[string]int{}, func(store *simulation.Store, cache *statecache.Cache, s *Scheduler) {
				inActor(s, func() { s.workers = make(commandRecorder, 100) })
				attempts := &bindingAttempts{store: store, handlers: test.handlers}
				attempts.onFirst = func(txn *wire.Txn) {
					store.SetUnreadableFor("n0", test.unreadable)
					// The next cycle prefers another machine, as after a command without a response.
					_, group, _ := strings.Cut(txn.Writes[0].Key(), statecache.Key(statecache.KindMachineGroup, ""))
					s.Send(func() { s.backoff.avoidMachine(wire.MachineID("i-"+group+"000"), time.Now()) })
				}
				store.InterceptCommits(attempts.intercept)
				addIdleGroups(cache, s, "a", "b", "c")
				time.Sleep(30 * time.Second)
				store.SetUnreadableFor("n0", false)
				time.Sleep(30 * time.Second)
				inActor(s, func() {
					if n := attempts.remaining(); n > 0 {
						t.Errorf("%d attempts were not made", n)
					}
					var machines []wire.MachineID
					for name, machine := range s.view.Machines {
						if len(machine.Bindings) > 0 {
							machines = append(machines, name)
						}
					}
					if len(machines) != 1 {
						t.Errorf("the task is bound to %v", machines)
					}
				})
			})
		})
	}
}
