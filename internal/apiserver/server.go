// Package apiserver answers users, health checks and workers over HTTP.
//
// Submissions and cancellations are compare-and-swap commits to the store. Questions about jobs
// are answered by linearizable reads, except where a job's state is final. A controller that
// can't reach the store forwards users' requests to one that can, or refuses them at once with
// Retry-After.
package apiserver

import (
	"context"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/heartbeat"
	"lynxledge/internal/overload"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// Times that bound a response. The protocol gives submissions 5 s and polls 2.
const (
	responseTimeout = 1500 * time.Millisecond
	commitRetryTime = 400 * time.Millisecond // for which a commit that the store refused is retried
)

// Options are what a Server works with.
type Options struct {
	Config      *config.Config
	Cache       *statecache.Cache
	Heartbeats  *heartbeat.Receiver
	Peers       Forwarder            // nil: there is no other controller
	StoreLimits *storelimits.Tracker // nil: the limits are as configured
	Overload    *overload.Gauge      // nil: this process is never overloaded
}

// Server is the actor that knows the jobs as users see them.
type Server struct {
	*actor.Actor
	config           *config.Config
	cache            *statecache.Cache
	heartbeats       *heartbeat.Receiver
	peers            Forwarder
	storeLimits      *storelimits.Tracker
	overload         *overload.Gauge
	admissionLimiter *rate.Limiter  // of accepted jobs
	admissionQueue   admissionQueue // of users whose submissions were refused
	maxViewAge       time.Duration  // a view older than this is not worth a commit

	// Of the actor alone.
	view         *statecache.View
	freshAsOf    time.Time
	machineTypes []wire.MachineType
}

// Start runs a Server until ctx ends.
func Start(ctx context.Context, o Options) *Server {
	s := &Server{
		Actor:            actor.Start(ctx, "apiserver", 512),
		config:           o.Config,
		cache:            o.Cache,
		heartbeats:       o.Heartbeats,
		peers:            o.Peers,
		storeLimits:      o.StoreLimits,
		overload:         o.Overload,
		admissionLimiter: newAdmissionLimiter(o.Config, o.StoreLimits),
		maxViewAge:       o.Config.Params.Workers.HeartbeatInterval,
		view:             statecache.NewView(statecache.ChunkTasks(o.Config.Params.Store.MaxValueKB)),
	}
	o.Cache.Subscribe(func(update statecache.Update) { s.Send(func() { s.apply(update) }) })
	return s
}

// apply takes a change of the store over.
func (s *Server) apply(update statecache.Update) {
	s.freshAsOf = update.FreshAsOf
	for _, change := range update.Changes {
		s.view.Apply(change)
	}
}

// SetMachineTypes replaces the machine types that submissions are checked against.
func (s *Server) SetMachineTypes(types []wire.MachineType) { s.Send(func() { s.machineTypes = types }) }

// Handler routes requests.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/work", s.submit)
	r.Get("/work/{id}", s.poll)
	r.Post("/work/{id}/abort", s.cancel)
	r.Get("/ready", s.ready)
	r.Post("/hello", s.handleHeartbeat)
	return r
}
