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
	"lynxledge/internal/reports"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Times that bound an answer. The protocol gives submissions 5 s and polls 2.
const (
	answerWait = 1500 * time.Millisecond
	tryAgain   = 400 * time.Millisecond // for refusals of the state service
)

// Peer passes a request on to another controller that has state.
type Peer interface {
	Forward(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)
	Elsewhere() string // the name of such a controller, or ""
}

// Forwarded marks requests that another controller passed on; they are not
// passed on again.
const Forwarded = "Lynxledge-Forwarded"

// Server is the actor that knows the jobs as users see them.
type Server struct {
	*actor.Actor
	cfg     *config.Config
	ledger  *statecache.Cache
	reports *reports.Reports
	peer    Peer
	pace    *rate.Limiter // of accepted jobs
	turns   turnList      // of users whose submissions were refused
	stale   time.Duration // a view older than this is not worth a commit

	view  *statecache.View
	fresh time.Time
	types []wire.MachineType
}

// Start runs the actor. peer may be nil.
func Start(ctx context.Context, cfg *config.Config, l *statecache.Cache, r *reports.Reports, peer Peer) *Server {
	f := &Server{
		Actor: actor.Start(ctx, "apiserver", 512), cfg: cfg, ledger: l, reports: r, peer: peer,
		stale: config.Seconds(cfg.Params.Workers.HeartbeatInterval),
		pace:  newPace(cfg),
		view:  statecache.NewView(statecache.ChunkTasks(cfg.Params.Store.MaxValueKB)),
	}
	l.Subscribe(func(d statecache.Update) {
		f.Send(func() {
			f.fresh = d.FreshAsOf
			for _, c := range d.Changes {
				f.view.Apply(c)
			}
		})
	})
	return f
}

// SetTypes tells the front of the machine types.
func (f *Server) SetTypes(types []wire.MachineType) { f.Send(func() { f.types = types }) }

// Handler routes requests.
func (f *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/work", f.submit)
	r.Get("/work/{id}", f.poll)
	r.Post("/work/{id}/abort", f.abort)
	r.Get("/ready", f.ready)
	r.Post("/hello", f.hello)
	return r
}

var errNoState = errors.New("state service not reachable")

// lost tells whether this node has had no word of the state service for so long
// that a call would only hang: the time that a user waits is better spent on
// another controller.
func (f *Server) lost() bool { return time.Since(f.ledger.FreshAsOf()) > f.stale }

// barrier waits until the view holds everything committed before the call.
func (f *Server) barrier(ctx context.Context) error {
	if f.lost() {
		return errNoState
	}
	ch := make(chan error, 1)
	f.ledger.Refresh(func(err error) {
		if err != nil {
			ch <- err
			return
		}
		if !f.Post(func() { ch <- nil }) { // behind the delta in our mailbox
			ch <- errNoState
		}
	})
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return errNoState
	}
}

// look is what the view says of a job.
type look struct {
	known  bool
	status wire.JobStatus
	job    *statecache.Job
}

func (f *Server) look(id string) (look, bool) {
	return actor.Ask(f.Actor, func(reply func(look)) {
		j := f.view.Jobs[id]
		if j == nil {
			reply(look{})
			return
		}
		l := look{known: true, job: j, status: wire.JobStatus{ID: id, State: j.State}}
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

// current is a job's state no older than the call: a final one from memory,
// any other after a read of the state service.
func (f *Server) current(ctx context.Context, id string) (look, error) {
	l, ok := f.look(id)
	if ok && l.known && !l.job.Active() {
		return l, nil
	}
	if err := f.barrier(ctx); err != nil {
		return look{}, err
	}
	if l, ok = f.look(id); !ok {
		return look{}, errNoState
	}
	return l, nil
}

// relay passes a request on when this node can't answer for want of state;
// without a controller that can, the user is told at once to come back.
func (f *Server) relay(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	if f.peer != nil && r.Header.Get(Forwarded) == "" {
		if status, b, err := f.peer.Forward(ctx, r.Method, r.URL.Path, body); err == nil && status < http.StatusInternalServerError {
			answer(w, status, json.RawMessage(b))
			return
		}
	}
	refuseForNow(w, errNoState.Error())
}

// noSuchJob refuses questions about jobs that were never accepted.
const noSuchJob = "no such job"

// jobIn is the id of the job that a request names; false if it was answered already.
func jobIn(w http.ResponseWriter, r *http.Request) (id string, ok bool) {
	id = chi.URLParam(r, "id")
	if !wire.ValidJobID(id) {
		refuse(w, http.StatusNotFound, noSuchJob)
		return "", false
	}
	return id, true
}

func (f *Server) poll(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIn(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWait)
	defer cancel()
	l, err := f.current(ctx, id)
	switch {
	case err != nil:
		f.relay(ctx, w, r, nil)
	case !l.known:
		refuse(w, http.StatusNotFound, noSuchJob)
	default:
		answer(w, http.StatusOK, l.status)
	}
}

// commit makes a change on behalf of a waiting user.
func (f *Server) commit(ctx context.Context, c statecache.Commit) (statecache.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*tryAgain)
	defer cancel()
	ch := make(chan statecache.Outcome, 1)
	f.ledger.Commit(c, func(out statecache.Outcome) { ch <- out })
	select {
	case out := <-ch:
		return out, true
	case <-ctx.Done():
		return statecache.OutcomeUnknown, false
	}
}

func (f *Server) abort(w http.ResponseWriter, r *http.Request) {
	id, ok := jobIn(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWait)
	defer cancel()
	for range 4 { // a job's record changes only when it ends
		l, ok := f.look(id)
		if !ok {
			break
		}
		if !l.known {
			var err error
			if l, err = f.current(ctx, id); err != nil {
				break
			}
			if !l.known {
				refuse(w, http.StatusNotFound, noSuchJob)
				return
			}
		}
		if !l.job.Active() {
			answer(w, http.StatusOK, l.status)
			return
		}
		if f.lost() {
			break
		}
		key := statecache.Key(statecache.KindJob, id)
		out, ok := f.commit(ctx, statecache.Commit{
			Preconditions: []wire.Precondition{{Key: key, ModRevision: l.job.ModRevision}},
			Puts:          []statecache.Put{{Key: key, Record: l.job.Cancelled(time.Now().UnixMilli())}},
			RetryFor:      tryAgain,
		})
		if ok && out == statecache.Committed {
			slog.Debug("job cancelled", "job", id)
			answer(w, http.StatusOK, wire.JobStatus{ID: id, State: wire.JobCancelled})
			return
		}
		if !ok || out != statecache.Conflicted {
			break
		}
	}
	f.relay(ctx, w, r, nil)
}

// ready answers 200 while the view is fresh enough to serve users. In an
// outage that every controller sees, nobody serves better: users are then told
// at once when to come back, and are served the moment it ends. But a node that
// has lost its peers too can't tell that from its own isolation, and users who
// stay connected to it would never be answered: it gives up in time for them to
// find another.
func (f *Server) ready(w http.ResponseWriter, _ *http.Request) {
	age, ok := actor.Ask(f.Actor, func(reply func(float64)) {
		if len(f.types) == 0 || f.fresh.IsZero() {
			reply(math.Inf(1))
			return
		}
		reply(time.Since(f.fresh).Seconds())
	})
	alone := f.peer == nil || f.peer.Elsewhere() == ""
	lost := age > isolatedLeases*f.cfg.Params.Workers.LeaseDuration
	if !ok || math.IsInf(age, 1) || lost || age > f.stale.Seconds() && !alone {
		refuseForNow(w, "not ready")
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// isolatedLeases is for how long, in workers' leases, a node without state
// stays ready when no other is known to be better off.
const isolatedLeases = 0.75

func (f *Server) hello(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r)
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
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	out, ok := actor.Ask(f.reports.Actor, func(reply func(reports.Reply)) { f.reports.Report(&rep, reply) })
	switch {
	case ok && out.Accept:
		answer(w, http.StatusOK, out.Body)
	case ok && out.ReportTo != "":
		answer(w, http.StatusMisdirectedRequest, wire.RedirectResponse{RedirectTo: out.ReportTo})
	default:
		refuseForNow(w, "not entitled to answer")
	}
}
