package apiserver

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/overload"
	"lynxledge/internal/placement"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// admissionRateFactor is what all controllers together may use for new jobs, as a
// multiple of the state service's rate of writes. Jobs come seldom but for the
// first seconds; to know all the work early is then worth more than to rent for
// a part of it some seconds sooner. More than the rate would only be refused.
const admissionRateFactor = 1.2

func newAdmissionLimiter(cfg *config.Config, limits *storelimits.Tracker) *rate.Limiter {
	each := admissionRate(cfg, limits)
	return rate.NewLimiter(each, 1+int(2*each))
}

// admissionRate is this controller's part.
func admissionRate(cfg *config.Config, limits *storelimits.Tracker) rate.Limit {
	return rate.Limit(limits.WriteRate(&cfg.Params.Store) * admissionRateFactor / float64(len(cfg.Peers)+1))
}

func (f *Server) submit(w http.ResponseWriter, r *http.Request) {
	if f.overload.Level() >= overload.Overloaded {
		f.refuseSubmission(w, http.StatusServiceUnavailable, "overloaded")
		return
	}
	b, ok := readBody(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), responseTimeout)
	defer cancel()
	job, perr := wire.ParseJob(b)
	id, valid := wire.PeekJobID(b)
	if perr != nil && !valid {
		writeError(w, http.StatusBadRequest, perr.Error())
		return
	}
	if l, ok := f.snapshot(id); ok && l.known {
		f.respondToRepeat(ctx, w, r, id, b)
		return
	}
	status, why := http.StatusBadRequest, ""
	if perr != nil {
		why = perr.Error()
	} else if status, why = f.admissionError(job); why == "" && len(job.Dependencies) > 0 {
		var err error
		if status, why, err = f.checkDependencies(ctx, job); err != nil {
			f.forwardToPeer(ctx, w, r, b)
			return
		}
	}
	switch {
	case status == http.StatusServiceUnavailable:
		writeUnavailable(w, why)
		return
	case why != "":
		// A job that was accepted is never refused later, whatever its repeat
		// says: only a read of the state can tell.
		l, err := f.currentSnapshot(ctx, id)
		switch {
		case err != nil:
			f.forwardToPeer(ctx, w, r, b)
		case l.known:
			writeJSON(w, http.StatusOK, l.status)
		default:
			writeError(w, status, why)
		}
		return
	}
	f.accept(ctx, w, r, job, b)
}

// refuseSubmission tells a user at once to come back, and when there will be a turn.
func (f *Server) refuseSubmission(w http.ResponseWriter, status int, why string) {
	wait := f.queue.next(time.Now(), float64(admissionRate(f.config, f.storeLimits)))
	writeRetryAfter(w, status, wait, why)
}

func (f *Server) respondToRepeat(ctx context.Context, w http.ResponseWriter, r *http.Request, id wire.JobID, body []byte) {
	l, err := f.currentSnapshot(ctx, id)
	if err != nil || !l.known {
		f.forwardToPeer(ctx, w, r, body)
		return
	}
	writeJSON(w, http.StatusOK, l.status)
}

// admissionError tells why a job can never run, or can't be judged yet.
func (f *Server) admissionError(j *wire.Job) (int, string) {
	team, ok := f.config.Params.TeamQuota(j.Team)
	if !ok {
		return http.StatusUnprocessableEntity, "unknown team " + strconv.Quote(string(j.Team))
	}
	types, ok := actor.Ask(f.Actor, func(reply func([]wire.MachineType)) { reply(f.machineTypes) })
	if !ok || len(types) == 0 {
		return http.StatusServiceUnavailable, "machine types not known yet"
	}
	if !FitsAnyMachineType(j, types) {
		return http.StatusUnprocessableEntity, "a task fits no allowed machine type"
	}
	if raw, err := json.Marshal(&statecache.Job{Spec: j}); err != nil || len(raw)+jobRecordMarginBytes > f.config.Params.Store.ValueSizeLimit() {
		return http.StatusUnprocessableEntity, "the description is too long for the state service"
	}
	n := 1.0
	if j.IsService() {
		n = float64(j.TaskCount)
	}
	if !(resources.Usage{}).WithinLimit(team, resources.Vector{}.Plus(resources.OfTask(j), n)) {
		return http.StatusUnprocessableEntity, "needs more than the team's limit"
	}
	return 0, ""
}

// checkDependencies tells why a job can't wait for what it names. That a job was
// accepted is final: only if one is not known here the state has to be read, once.
func (f *Server) checkDependencies(ctx context.Context, j *wire.Job) (status int, why string, err error) {
	read := false
	for _, id := range j.Dependencies {
		l, ok := f.snapshot(id)
		if ok && !l.known && !read {
			if err := f.linearizableRead(ctx); err != nil {
				return 0, "", err
			}
			read = true
			l, ok = f.snapshot(id)
		}
		switch {
		case !ok:
			return 0, "", errStoreUnreachable
		case id == j.ID:
			return http.StatusUnprocessableEntity, "awaits: the job names itself", nil
		case !l.known:
			return http.StatusUnprocessableEntity, "awaits: " + string(id) + " was never accepted", nil
		case l.job.Spec != nil && l.job.Spec.IsService():
			return http.StatusUnprocessableEntity, "awaits: " + string(id) + " is a service, which is never done", nil
		}
	}
	return 0, "", nil
}

// jobRecordMarginBytes is what a job's record may grow by, in bytes, when it ends.
const jobRecordMarginBytes = 128

// FitsAnyMachineType tells whether a task of the job fits a type it may use.
func FitsAnyMachineType(j *wire.Job, types []wire.MachineType) bool {
	for i := range types {
		t := &types[i]
		for _, z := range t.Zones {
			if placement.Allowed(j, t.Name, z, false) && resources.OfTask(j).Fits(resources.OfMachineType(t)) {
				return true
			}
		}
	}
	return false
}

func (f *Server) accept(ctx context.Context, w http.ResponseWriter, r *http.Request, j *wire.Job, body []byte) {
	if f.storeUnreachable() {
		f.forwardToPeer(ctx, w, r, body)
		return
	}
	key := statecache.Key(statecache.KindJob, string(j.ID))
	// A crowd of users must not take all the writes: who comes too early is told
	// when to come back.
	f.admission.SetLimit(admissionRate(f.config, f.storeLimits))
	if !f.admission.Allow() {
		f.refuseSubmission(w, http.StatusTooManyRequests, "too many submissions at once")
		return
	}
	out, ok := f.commit(ctx, statecache.Commit{
		Preconditions: []wire.Precondition{{Key: key}},
		Puts:          []statecache.Put{{Key: key, Record: &statecache.Job{Spec: j, TaskCount: j.TaskCount, SubmittedAt: statecache.TimestampOf(time.Now())}}},
		RetryFor:      retryAfter,
	})
	switch {
	case ok && out == statecache.Committed:
		slog.Debug("job accepted",
			"job", j.ID,
			"class", j.Class,
			"team", j.Team,
			"tasks", j.TaskCount,
			"image", j.Image,
			"gb", j.ImageGB,
			"expect_s", float64(j.EstimatedRuntime))
		status := wire.JobStatus{ID: j.ID, State: wire.JobQueued}
		if l, ok := f.snapshot(j.ID); ok && l.known { // it may name a job that is cancelled
			status = l.status
		}
		writeJSON(w, http.StatusCreated, status)
	case ok && out == statecache.Conflicted:
		f.respondToRepeat(ctx, w, r, j.ID, body)
	default:
		f.forwardToPeer(ctx, w, r, body)
	}
}
