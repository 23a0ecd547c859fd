// Package apiserver answers users, health checks and workers over HTTP.
package apiserver

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math"
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

// Times that bound an answer. The protocol gives submissions 5 s and polls 2.
const (
	responseTimeout = 1500 * time.Millisecond
	retryAfter      = 400 * time.Millisecond // for refusals of the state service
)

// Peer passes a request on to another controller that has state.
type Peer interface {
	Forward(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)
	FreshPeer() string // the name of such a controller, or ""
}

// ForwardedHeader marks requests that another controller passed on; they are not
// passed on again.
const ForwardedHeader = "Lynxledge-Forwarded"

// Server is the actor that knows the jobs as users see them.
type Server struct {
	*actor.Actor
	config      *config.Config
	cache       *statecache.Cache
	heartbeats  *heartbeat.Receiver
	peer        Peer
	storeLimits *storelimits.Tracker
	overload    *overload.Gauge
	admission   *rate.Limiter  // of accepted jobs
	queue       admissionQueue // of users whose submissions were refused
	maxViewAge  time.Duration  // a view older than this is not worth a commit

	view         *statecache.View
	freshAsOf    time.Time
	machineTypes []wire.MachineType
}

// Options are what a Server works with.
type Options struct {
	Config      *config.Config
	Cache       *statecache.Cache
	Heartbeats  *heartbeat.Receiver
	Peer        Peer                 // nil: there is no other controller
	StoreLimits *storelimits.Tracker // nil: the limits are as configured
	Overload    *overload.Gauge      // nil: this process is never overloaded
}

// Start runs the actor until ctx ends.
func Start(ctx context.Context, o Options) *Server {
	cfg := o.Config
	f := &Server{
		Actor: actor.Start(ctx, "apiserver", 512), config: cfg, cache: o.Cache, heartbeats: o.Heartbeats, peer: o.Peer,
		storeLimits: o.StoreLimits, overload: o.Overload,
		maxViewAge: cfg.Params.Workers.HeartbeatInterval,
		admission:  newAdmissionLimiter(cfg, o.StoreLimits),
		view:       statecache.NewView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
	}
	o.Cache.Subscribe(func(d statecache.Update) {
		f.Send(func() {
			f.freshAsOf = d.FreshAsOf
			for _, c := range d.Changes {
				f.view.Apply(c)
			}
		})
	})
	return f
}

// SetMachineTypes tells the front of the machine types.
func (f *Server) SetMachineTypes(types []wire.MachineType) { f.Send(func() { f.machineTypes = types }) }

// Handler routes requests.
func (f *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/work", f.submit)
	r.Get("/work/{id}", f.poll)
	r.Post("/work/{id}/abort", f.cancel)
	r.Get("/ready", f.ready)
	r.Post("/hello", f.handleHeartbeat)
	return r
}

var errStoreUnreachable = errors.New("state service not reachable")

// storeUnreachable tells whether this node has had no word of the state service for so long
// that a call would only hang: the time that a user waits is better spent on
// another controller.
func (f *Server) storeUnreachable() bool { return time.Since(f.cache.FreshAsOf()) > f.maxViewAge }

// linearizableRead waits until the view holds everything committed before the call.
func (f *Server) linearizableRead(ctx context.Context) error {
	if f.storeUnreachable() {
		return errStoreUnreachable
	}
	ch := make(chan error, 1)
	f.cache.Refresh(func(err error) {
		if err != nil {
			ch <- err
			return
		}
		if !f.Post(func() { ch <- nil }) { // behind the delta in our mailbox
			ch <- errStoreUnreachable
		}
	})
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return errStoreUnreachable
	}
}

// jobSnapshot is what the view says of a job.
type jobSnapshot struct {
	known  bool
	status wire.JobStatus
	job    *statecache.Job
}

func (f *Server) snapshot(id wire.JobID) (jobSnapshot, bool) {
	return actor.Ask(f.Actor, func(reply func(jobSnapshot)) {
		j := f.view.Jobs[id]
		if j == nil {
			reply(jobSnapshot{})
			return
		}
		l := jobSnapshot{known: true, job: j, status: wire.JobStatus{ID: id, State: j.State}}
		switch j.State {
		case wire.JobDone:
			l.status.CompletedTasks = j.TaskCount
		case wire.JobCancelled:
		default:
			l.status.CompletedTasks, l.status.RunningTasks = f.view.CompletedCount(id), len(f.view.Bindings[id])
			l.status.State = wire.JobQueued
			if l.status.RunningTasks > 0 {
				l.status.State = wire.JobRunning
			}
		}
		reply(l)
	})
}

// currentSnapshot is a job's state no older than the call: a final one from memory,
// any other after a read of the state service.
func (f *Server) currentSnapshot(ctx context.Context, id wire.JobID) (jobSnapshot, error) {
	l, ok := f.snapshot(id)
	if ok && l.known && !l.job.Active() {
		return l, nil
	}
	if err := f.linearizableRead(ctx); err != nil {
		return jobSnapshot{}, err
	}
	if l, ok = f.snapshot(id); !ok {
		return jobSnapshot{}, errStoreUnreachable
	}
	return l, nil
}

// forwardToPeer passes a request on when this node can't answer for want of state;
// without a controller that can, the user is told at once to come back.
func (f *Server) forwardToPeer(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	if f.peer != nil && r.Header.Get(ForwardedHeader) == "" {
		if status, b, err := f.peer.Forward(ctx, r.Method, r.URL.Path, body); err == nil && status < http.StatusInternalServerError {
			writeJSON(w, status, json.RawMessage(b))
			return
		}
	}
	writeUnavailable(w, errStoreUnreachable.Error())
}

// errorNoSuchJob refuses questions about jobs that were never accepted.
const errorNoSuchJob = "no such job"

// jobIDFrom is the id of the job that a request names; false if it was answered already.
func jobIDFrom(w http.ResponseWriter, r *http.Request) (id wire.JobID, ok bool) {
	id = wire.JobID(chi.URLParam(r, "id"))
	if !wire.ValidJobID(string(id)) {
		writeError(w, http.StatusNotFound, errorNoSuchJob)
		return "", false
	}
	return id, true
}

func (f *Server) poll(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIDFrom(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	l, err := f.currentSnapshot(ctx, id)
	switch {
	case err != nil:
		f.forwardToPeer(ctx, w, r, nil)
	case !l.known:
		writeError(w, http.StatusNotFound, errorNoSuchJob)
	default:
		writeJSON(w, http.StatusOK, l.status)
	}
}

// commit makes a change on behalf of a waiting user.
func (f *Server) commit(ctx context.Context, c statecache.Commit) (statecache.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*retryAfter)
	defer cancel()
	ch := make(chan statecache.Outcome, 1)
	f.cache.Commit(c, func(out statecache.Outcome) { ch <- out })
	select {
	case out := <-ch:
		return out, true
	case <-ctx.Done():
		return statecache.OutcomeUnknown, false
	}
}

func (f *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIDFrom(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	for range 4 { // a job's record changes only when it ends
		l, ok := f.snapshot(id)
		if !ok {
			break
		}
		if !l.known {
			var err error
			if l, err = f.currentSnapshot(ctx, id); err != nil {
				break
			}
			if !l.known {
				writeError(w, http.StatusNotFound, errorNoSuchJob)
				return
			}
		}
		if !l.job.Active() {
			writeJSON(w, http.StatusOK, l.status)
			return
		}
		if f.storeUnreachable() {
			break
		}
		key := statecache.Key(statecache.KindJob, string(id))
		out, ok := f.commit(ctx, statecache.Commit{
			Preconditions: []wire.Precondition{{Key: key, ModRevision: l.job.ModRevision}},
			Puts:          []statecache.Put{{Key: key, Record: l.job.Cancelled(statecache.TimestampOf(time.Now()))}},
			RetryFor:      retryAfter,
		})
		if ok && out == statecache.Committed {
			slog.Debug("job cancelled", "job", id)
			writeJSON(w, http.StatusOK, wire.JobStatus{ID: id, State: wire.JobCancelled})
			return
		}
		if !ok || out != statecache.Conflicted {
			break
		}
	}
	f.forwardToPeer(ctx, w, r, nil)
}

// ready answers 200 while the view is fresh enough to serve users. In an
// outage that every controller sees, nobody serves better: users are then told
// at once when to come back, and are served the moment it ends. But a node that
// has lost its peers too can't tell that from its own isolation, and users who
// stay connected to it would never be answered: it gives up in time for them to
// find another.
func (f *Server) ready(w http.ResponseWriter, _ *http.Request) {
	age, ok := actor.Ask(f.Actor, func(reply func(float64)) {
		if len(f.machineTypes) == 0 || f.freshAsOf.IsZero() {
			reply(math.Inf(1))
			return
		}
		reply(time.Since(f.freshAsOf).Seconds())
	})
	alone := f.peer == nil || f.peer.FreshPeer() == ""
	lost := age > f.config.Params.Workers.Leases(isolationTimeoutLeases).Seconds()
	if !ok || math.IsInf(age, 1) || lost || age > f.maxViewAge.Seconds() && !alone {
		writeUnavailable(w, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// isolationTimeoutLeases is for how long, in workers' leases, a node without state
// stays ready when no other is known to be better off.
const isolationTimeoutLeases = 0.75

func (f *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	b, ok := readBody(w, r)
	if !ok {
		return
	}
	var rep wire.Heartbeat
	err := wire.Decode(b, &rep)
	if err == nil {
		err = rep.Validate()
	}
	if err != nil {
		slog.Warn("report refused", "err", err)
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	out, ok := actor.Ask(f.heartbeats.Actor, func(reply func(heartbeat.Response)) { f.heartbeats.HandleHeartbeat(&rep, reply) })
	switch {
	case ok && out.Accepted:
		writeJSON(w, http.StatusOK, out.Body)
	case ok && out.RedirectTo != "":
		writeJSON(w, http.StatusMisdirectedRequest, wire.RedirectResponse{RedirectTo: out.RedirectTo})
	default:
		writeUnavailable(w, "not entitled to answer")
	}
}
