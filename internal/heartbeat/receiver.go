package heartbeat

import (
	"context"
	"time"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/reconcile"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Callbacks are the functions through which a Receiver uses the other actors of its controller.
type Callbacks struct {
	// FreshPeer returns the name of a controller with a fresh view; empty if there is none.
	FreshPeer func() string
	// Isolated reports whether there are other controllers but none is reachable.
	Isolated func() bool
	// HandleEvidence passes evidence to this controller's scheduler. While another scheduler is
	// active, it writes the evidence after wait at the earliest, and only if no other controller
	// has written it.
	HandleEvidence func(evidence reconcile.Evidence, wait time.Duration)
	// SendEvidence sends evidence to another controller. It returns false if that one can't be
	// reached.
	SendEvidence func(member string, evidence reconcile.Evidence) bool
}

// Options configures a Receiver.
type Options struct {
	Config    *config.Config
	Cache     *statecache.Cache
	Callbacks Callbacks
}

// Receiver is the actor that receives and answers the workers' heartbeats.
type Receiver struct {
	*actor.Actor
	config    *config.Config
	cache     *statecache.Cache
	callbacks Callbacks

	view                 *statecache.View
	freshAsOf            time.Time
	machineStates        map[wire.MachineID]*machineState
	refusedWhileIsolated map[wire.MachineID]bool // machines refused since freshAsOf last advanced

	reachable   map[wire.MachineID]bool // machines marked reachable since the last announcement
	onReachable []func(machines []wire.MachineID)
}

// Start starts a Receiver that runs until ctx ends.
func Start(ctx context.Context, o Options) *Receiver {
	r := &Receiver{
		Actor:                actor.Start(ctx, "heartbeat", 512),
		config:               o.Config,
		cache:                o.Cache,
		callbacks:            o.Callbacks,
		view:                 statecache.NewUnfinishedView(statecache.ChunkTasks(o.Config.Params.Store.MaxValueKB)),
		machineStates:        map[wire.MachineID]*machineState{},
		refusedWhileIsolated: map[wire.MachineID]bool{},
		reachable:            map[wire.MachineID]bool{},
	}
	o.Cache.Subscribe(func(update statecache.Update) { r.Send(func() { r.apply(update) }) })
	r.Every(o.Config.Params.Workers.HeartbeatInterval/3, r.announceReachable)
	return r
}

// OnReachable registers a function that is called periodically with the machines that were
// reachable since its last call. It must be called before the first heartbeat.
func (r *Receiver) OnReachable(f func(machines []wire.MachineID)) {
	r.onReachable = append(r.onReachable, f)
}

// apply applies an update of the cache to the view and to what is derived from it.
func (r *Receiver) apply(update statecache.Update) {
	if update.FreshAsOf.After(r.freshAsOf) {
		r.freshAsOf = update.FreshAsOf
		clear(r.refusedWhileIsolated)
	}
	for _, change := range update.Changes {
		for _, machine := range r.view.Apply(change) {
			r.updateMachineState(machine)
		}
	}
}

// updateMachineState drops the state of a machine whose record was deleted, and the start times of
// tasks that are no longer bound.
func (r *Receiver) updateMachineState(change statecache.MachineChange) {
	if change.New == nil {
		delete(r.machineStates, change.Machine)
		return
	}
	if state := r.machineStates[change.Machine]; state != nil {
		for _, task := range statecache.UnboundTasks(change.Old, change.New) {
			delete(state.taskStarts, task.TaskID())
		}
	}
}

// announceReachable calls the OnReachable functions with the machines that were reachable since
// the last announcement.
func (r *Receiver) announceReachable() {
	if len(r.reachable) == 0 {
		return
	}
	machines := make([]wire.MachineID, 0, len(r.reachable))
	for machine := range r.reachable {
		machines = append(machines, machine)
	}
	clear(r.reachable)
	for _, f := range r.onReachable {
		f(machines)
	}
}
