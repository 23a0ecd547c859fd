// Package frontdoor answers users, health checks and workers over HTTP.
package frontdoor

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/ledger"
	"lynxledge/internal/place"
	"lynxledge/internal/reports"
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

// Front is the actor that knows the jobs as users see them.
type Front struct {
	*actor.Actor
	cfg     *config.Config
	ledger  *ledger.Ledger
	reports *reports.Reports
	peer    Peer
	pace    *rate.Limiter // of accepted jobs
	stale   time.Duration // a view older than this is not worth a commit

	view  *ledger.View
	fresh time.Time
	types []wire.MachineType
}

// Start runs the actor. peer may be nil.
func Start(ctx context.Context, cfg *config.Config, l *ledger.Ledger, r *reports.Reports, peer Peer) *Front {
	f := &Front{
		Actor: actor.Start(ctx, "frontdoor", 512), cfg: cfg, ledger: l, reports: r, peer: peer,
		stale: config.Secs(cfg.Params.Workers.ReportS),
		pace:  newPace(cfg),
		view:  ledger.NewView(ledger.ChunkTasks(cfg.Params.State.ValueKB)),
	}
	l.Subscribe(func(d ledger.Delta) {
		f.Send(func() {
			f.fresh = d.Fresh
			for _, c := range d.Changes {
				f.view.Apply(c)
			}
		})
	})
	return f
}

// acceptShare is what all controllers together may use for new jobs, as a
// multiple of the state service's rate of writes. Jobs come seldom but for the
// first seconds; to know all the work early is then worth more than to rent for
// a part of it some seconds sooner. More than the rate would only be refused.
const acceptShare = 1.2

func newPace(cfg *config.Config) *rate.Limiter {
	each := acceptRate(cfg)
	return rate.NewLimiter(each, 1+int(2*each))
}

// acceptRate is this controller's part.
func acceptRate(cfg *config.Config) rate.Limit {
	return rate.Limit(cfg.WriteRPS() * acceptShare / float64(len(cfg.Peers)+1))
}

// SetTypes tells the front of the machine types.
func (f *Front) SetTypes(types []wire.MachineType) { f.Send(func() { f.types = types }) }

// Handler routes requests.
func (f *Front) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/work", f.submit)
	r.Get("/work/{id}", f.poll)
	r.Post("/work/{id}/abort", f.abort)
	r.Get("/ready", f.ready)
	r.Post("/hello", f.hello)
	return r
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(b))}
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func refuse(w http.ResponseWriter, status int, why string) {
	answer(w, status, wire.Problem{Error: why})
}

// later refuses what can't be taken now and says when to come back.
func later(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "1")
	refuse(w, http.StatusServiceUnavailable, why)
}

// body reads a request's body; false when it was answered already.
func body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body unreadable or over 64 KiB")
		return nil, false
	}
	return b, true
}

var errNoState = errors.New("state service not reachable")

// lost tells whether this node has had no word of the state service for so long
// that a call would only hang: the time that a user waits is better spent on
// another controller.
func (f *Front) lost() bool { return time.Since(f.ledger.Fresh()) > f.stale }

// barrier waits until the view holds everything committed before the call.
func (f *Front) barrier(ctx context.Context) error {
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
	job    *ledger.Job
}

func (f *Front) look(id string) (look, bool) {
	return actor.Ask(f.Actor, func(reply func(look)) {
		j := f.view.Jobs[id]
		if j == nil {
			reply(look{})
			return
		}
		l := look{known: true, job: j, status: wire.JobStatus{ID: id, State: j.State}}
		switch j.State {
		case wire.JobDone:
			l.status.Done = j.Tasks
		case wire.JobCancelled:
		default:
			l.status.Done, l.status.Running = f.view.DoneCount(id), len(f.view.Bound[id])
			l.status.State = wire.JobQueued
			if l.status.Running > 0 {
				l.status.State = wire.JobRunning
			}
		}
		reply(l)
	})
}

// current is a job's state no older than the call: a final one from memory,
// any other after a read of the state service.
func (f *Front) current(ctx context.Context, id string) (look, error) {
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
func (f *Front) relay(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	if f.peer != nil && r.Header.Get(Forwarded) == "" {
		if status, b, err := f.peer.Forward(ctx, r.Method, r.URL.Path, body); err == nil && status < http.StatusInternalServerError {
			answer(w, status, json.RawMessage(b))
			return
		}
	}
	later(w, errNoState.Error())
}

func (f *Front) poll(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !wire.ValidJobID(id) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWait)
	defer cancel()
	l, err := f.current(ctx, id)
	switch {
	case err != nil:
		f.relay(ctx, w, r, nil)
	case !l.known:
		refuse(w, http.StatusNotFound, "no such job")
	default:
		answer(w, http.StatusOK, l.status)
	}
}

func (f *Front) submit(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWait)
	defer cancel()
	job, perr := wire.ParseJob(b)
	id, valid := wire.PeekID(b)
	if perr != nil && !valid {
		refuse(w, http.StatusBadRequest, perr.Error())
		return
	}
	if l, ok := f.look(id); ok && l.known {
		f.known(ctx, w, r, id, b)
		return
	}
	status, why := http.StatusBadRequest, ""
	if perr != nil {
		why = perr.Error()
	} else if status, why = f.judge(job); why == "" && len(job.Awaits) > 0 {
		var err error
		if status, why, err = f.predecessors(ctx, job); err != nil {
			f.relay(ctx, w, r, b)
			return
		}
	}
	switch {
	case status == http.StatusServiceUnavailable:
		later(w, why)
		return
	case why != "":
		// A job that was accepted is never refused later, whatever its repeat
		// says: only a read of the state can tell.
		l, err := f.current(ctx, id)
		switch {
		case err != nil:
			f.relay(ctx, w, r, b)
		case l.known:
			answer(w, http.StatusOK, l.status)
		default:
			refuse(w, status, why)
		}
		return
	}
	f.accept(ctx, w, r, job, b)
}

func (f *Front) known(ctx context.Context, w http.ResponseWriter, r *http.Request, id string, body []byte) {
	l, err := f.current(ctx, id)
	if err != nil || !l.known {
		f.relay(ctx, w, r, body)
		return
	}
	answer(w, http.StatusOK, l.status)
}

// judge tells why a job can never run, or can't be judged yet.
func (f *Front) judge(j *wire.Job) (int, string) {
	team, ok := f.cfg.Params.Team(j.Team)
	if !ok {
		return http.StatusUnprocessableEntity, "unknown team " + strconv.Quote(j.Team)
	}
	types, ok := actor.Ask(f.Actor, func(reply func([]wire.MachineType)) { reply(f.types) })
	if !ok || len(types) == 0 {
		return http.StatusServiceUnavailable, "machine types not known yet"
	}
	if !Fits(j, types) {
		return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
	}
	if raw, err := json.Marshal(&ledger.Job{Spec: j}); err != nil || len(raw)+jobMargin > f.cfg.Params.State.ValueBytes() {
		return http.StatusUnprocessableEntity, "the description is too long for the state service"
	}
	n := 1.0
	if j.Service() {
		n = float64(j.Tasks)
	}
	if !(place.Tally{}).WithinLimit(team, place.Res{}.Plus(place.Of(j), n)) {
		return http.StatusUnprocessableEntity, "needs more than the team's limit"
	}
	return 0, ""
}

// predecessors tells why a job can't wait for what it names. That a job was
// accepted is final: only if one is not known here the state has to be read, once.
func (f *Front) predecessors(ctx context.Context, j *wire.Job) (status int, why string, err error) {
	read := false
	for _, id := range j.Awaits {
		l, ok := f.look(id)
		if ok && !l.known && !read {
			if err := f.barrier(ctx); err != nil {
				return 0, "", err
			}
			read = true
			l, ok = f.look(id)
		}
		switch {
		case !ok:
			return 0, "", errNoState
		case id == j.ID:
			return http.StatusUnprocessableEntity, "awaits: the job names itself", nil
		case !l.known:
			return http.StatusUnprocessableEntity, "awaits: " + id + " was never accepted", nil
		case l.job.Spec != nil && l.job.Spec.Service():
			return http.StatusUnprocessableEntity, "awaits: " + id + " is a service, which is never done", nil
		}
	}
	return 0, "", nil
}

// jobMargin is what a job's record may grow by, in bytes, when it ends.
const jobMargin = 128

// Fits tells whether a task of the job fits a type it may use.
func Fits(j *wire.Job, types []wire.MachineType) bool {
	for i := range types {
		t := &types[i]
		for _, z := range t.Zones {
			if place.Allowed(j, t.Name, z, false) && place.Of(j).Fits(place.Capacity(t)) {
				return true
			}
		}
	}
	return false
}

func (f *Front) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, j *wire.Job, body []byte) {
	if f.lost() {
		f.relay(ctx, w, r, body)
		return
	}
	key := ledger.Key(ledger.KindJob, j.ID)
	// A crowd of users must not take all the writes: who comes too early is told
	// when to come back.
	f.pace.SetLimit(acceptRate(f.cfg))
	if !f.pace.Allow() {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusTooManyRequests, "too many submissions at once")
		return
	}
	out, ok := f.commit(ctx, ledger.Commit{
		Guards:   []wire.Guard{{Key: key}},
		Puts:     []ledger.Put{{Key: key, Rec: &ledger.Job{Spec: j, Tasks: j.Tasks, At: time.Now().UnixMilli()}}},
		Patience: tryAgain,
	})
	switch {
	case ok && out == ledger.Committed:
		slog.Debug("job accepted", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "image", j.Image, "gb", j.ImageGB, "expect_s", j.EstimateS)
		status := wire.JobStatus{ID: j.ID, State: wire.JobQueued}
		if l, ok := f.look(j.ID); ok && l.known { // it may name a job that is cancelled
			status = l.status
		}
		answer(w, http.StatusCreated, status)
	case ok && out == ledger.Conflicted:
		f.known(ctx, w, r, j.ID, body)
	default:
		f.relay(ctx, w, r, body)
	}
}

// commit makes a change on behalf of a waiting user.
func (f *Front) commit(ctx context.Context, c ledger.Commit) (ledger.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, 2*tryAgain)
	defer cancel()
	ch := make(chan ledger.Outcome, 1)
	f.ledger.Commit(c, func(out ledger.Outcome) { ch <- out })
	select {
	case out := <-ch:
		return out, true
	case <-ctx.Done():
		return ledger.Unknown, false
	}
}

func (f *Front) abort(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	if !wire.ValidJobID(id) {
		refuse(w, http.StatusNotFound, "no such job")
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
				refuse(w, http.StatusNotFound, "no such job")
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
		key := ledger.Key(ledger.KindJob, id)
		out, ok := f.commit(ctx, ledger.Commit{
			Guards:   []wire.Guard{{Key: key, Version: l.job.Stamp}},
			Puts:     []ledger.Put{{Key: key, Rec: l.job.Cancelled(time.Now().UnixMilli())}},
			Patience: tryAgain,
		})
		if ok && out == ledger.Committed {
			slog.Debug("job cancelled", "job", id)
			answer(w, http.StatusOK, wire.JobStatus{ID: id, State: wire.JobCancelled})
			return
		}
		if !ok || out != ledger.Conflicted {
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
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	age, ok := actor.Ask(f.Actor, func(reply func(float64)) {
		if len(f.types) == 0 || f.fresh.IsZero() {
			reply(math.Inf(1))
			return
		}
		reply(time.Since(f.fresh).Seconds())
	})
	alone := f.peer == nil || f.peer.Elsewhere() == ""
	lost := age > isolatedLeases*f.cfg.Params.Workers.LeaseS
	if !ok || math.IsInf(age, 1) || lost || age > f.stale.Seconds() && !alone {
		later(w, "not ready")
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// isolatedLeases is for how long, in workers' leases, a node without state
// stays ready when no other is known to be better off.
const isolatedLeases = 0.75

func (f *Front) hello(w http.ResponseWriter, r *http.Request) {
	b, ok := body(w, r)
	if !ok {
		return
	}
	var rep wire.Report
	err := wire.Decode(b, &rep)
	if err == nil {
		err = rep.Check()
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
		answer(w, http.StatusMisdirectedRequest, wire.Redirect{ReportTo: out.ReportTo})
	default:
		later(w, "not entitled to answer")
	}
}
