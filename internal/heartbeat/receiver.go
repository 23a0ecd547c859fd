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

// Routes are a Receiver's ways to the rest of its controller.
type Routes struct {
	// FreshPeer names a controller with a fresh view, or nothing.
	FreshPeer func() string
	// Isolated tells whether there are other controllers, but none is reachable.
	Isolated func() bool
	// ApplyEvidence gives what a heartbeat proves to this controller's scheduler, which writes
	// it after wait unless another has.
	ApplyEvidence func(evidence reconcile.Evidence, wait time.Duration)
	// SendEvidence passes it on to another controller; false if that is out of reach.
	SendEvidence func(member string, evidence reconcile.Evidence) bool
}

// Options are what a Receiver works with.
type Options struct {
	Config *config.Config
	Cache  *statecache.Cache
	Routes Routes
}

// Receiver is the actor that takes the workers' heartbeats.
type Receiver struct {
	*actor.Actor
	config *config.Config
	cache  *statecache.Cache
	routes Routes

	view              *statecache.View
	freshAsOf         time.Time
	contacts          map[wire.MachineID]*contact
	redirectedOnStale map[wire.MachineID]bool // machines redirected since the view was last fresh

	reachable   map[wire.MachineID]bool // since the last announcement
	onReachable []func(machines []wire.MachineID)
}

// Start runs a Receiver until ctx ends.
func Start(ctx context.Context, o Options) *Receiver {
	r := &Receiver{
		Actor:             actor.Start(ctx, "heartbeat", 512),
		config:            o.Config,
		cache:             o.Cache,
		routes:            o.Routes,
		view:              statecache.NewUnfinishedView(statecache.ChunkTasks(o.Config.Params.Store.MaxValueKB)),
		contacts:          map[wire.MachineID]*contact{},
		redirectedOnStale: map[wire.MachineID]bool{},
		reachable:         map[wire.MachineID]bool{},
	}
	o.Cache.Subscribe(func(update statecache.Update) { r.Send(func() { r.apply(update) }) })
	r.Every(o.Config.Params.Workers.HeartbeatInterval/3, r.announceReachable)
	return r
}

// OnReachable registers a receiver of the machines that had heartbeats lately; to be called
// before the first heartbeat.
func (r *Receiver) OnReachable(f func(machines []wire.MachineID)) {
	r.onReachable = append(r.onReachable, f)
}

// apply takes a change of the store over.
func (r *Receiver) apply(update statecache.Update) {
	if update.FreshAsOf.After(r.freshAsOf) {
		r.freshAsOf = update.FreshAsOf
		clear(r.redirectedOnStale)
	}
	for _, change := range update.Changes {
		for _, machine := range r.view.Apply(change) {
			r.updateContact(machine)
		}
	}
}

// updateContact forgets a machine whose record is gone, and tasks that are not bound any more.
func (r *Receiver) updateContact(change statecache.MachineChange) {
	if change.New == nil {
		delete(r.contacts, change.Machine)
		return
	}
	if known := r.contacts[change.Machine]; known != nil {
		for _, task := range statecache.UnboundTasks(change.Old, change.New) {
			delete(known.taskStarts, task.TaskID())
		}
	}
}

// announceReachable tells the subscribers which machines are reachable.
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
