// Package apiserver serves the HTTP requests of users, health checks and workers.
//
// Submissions and cancellations are compare-and-swap commits to the store. Polls of a job are
// linearizable reads, unless the job's state is final. A controller that can't reach the store
// forwards users' requests to one that can, or rejects them at once with Retry-After.
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

// Timeouts of a request. The protocol allows 5 s for submissions and 2 s for polls.
const (
	responseTimeout = 1500 * time.Millisecond
	commitRetryTime = 400 * time.Millisecond // how long a commit that the store rejected is retried
)

// Options configures a Server.
type Options struct {
	Config      *config.Config
	Cache       *statecache.Cache
	Heartbeats  *heartbeat.Receiver
	Peers       Forwarder            // nil: there is no other controller
	StoreLimits *storelimits.Tracker // nil: the limits are as configured
	Overload    *overload.Gauge      // nil: this process is never overloaded
}

// Server is the actor that keeps the view from which users' requests are served.
type Server struct {
	*actor.Actor
	config           *config.Config
	cache            *statecache.Cache
	heartbeats       *heartbeat.Receiver
	peers            Forwarder
	storeLimits      *storelimits.Tracker
	overload         *overload.Gauge
	admissionLimiter *rate.Limiter // of job writes
	retrySchedule    retrySchedule // of rejected submissions
	maxViewAge       time.Duration // if the view is older, the store counts as unreachable

	// Accessed only by the actor.
	view         *statecache.View
	freshAsOf    time.Time
	machineTypes []wire.MachineType
}

// Start starts a Server that runs until ctx ends.
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

// apply applies an update of the cache to the view.
func (s *Server) apply(update statecache.Update) {
	s.freshAsOf = update.FreshAsOf
	for _, change := range update.Changes {
		s.view.Apply(change)
	}
}

// SetMachineTypes sets the machine types that the cloud offers, against which submissions are
// checked.
func (s *Server) SetMachineTypes(types []wire.MachineType) { s.Send(func() { s.machineTypes = types }) }

// Handler returns the handler of all HTTP requests of clients.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/work", s.submit)
	r.Get("/work/{id}", s.poll)
	r.Post("/work/{id}/abort", s.cancel)
	r.Get("/ready", s.ready)
	r.Post("/hello", s.handleHeartbeat)
	return r
}
