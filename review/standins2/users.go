package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// job is a job as its user knows it.
type job struct {
	ID        string   `json:"id"`
	Lane      string   `json:"lane"`
	Crew      string   `json:"crew"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Legs      int      `json:"legs"`
	Cores     float64  `json:"cores"`
	Gpus      float64  `json:"gpus"`
	MemoryGb  float64  `json:"memoryGb"`
	Bundle    string   `json:"bundle"`
	SizeGb    float64  `json:"sizeGb"`
	Builds    []string `json:"builds"`
	Yard      *string  `json:"yard"`
	OneZone   bool     `json:"oneZone"`
	Scatter   bool     `json:"scatter"`
	Loaners   bool     `json:"loaners"`
	ExpectS   float64  `json:"expectS"`
	WaypointS float64  `json:"waypointS"`
	StashS    float64  `json:"stashS"`
	DueS      *float64 `json:"dueS"`
	Awaits    []string `json:"awaits,omitempty"`

	run     time.Duration
	mistake bool

	mu        sync.Mutex
	accepted  time.Time
	submitted bool
	refused   int
	asked     time.Time // when the user first asked to cancel
	told      time.Time // when the user was told that the job is cancelled
	final     string
	finalAt   time.Time
	answerAt  time.Time // of the last answer to a poll
	flags     map[string]bool
}

func (j *job) cancelTold() time.Time { j.mu.Lock(); defer j.mu.Unlock(); return j.told }
func (j *job) finalState() string    { j.mu.Lock(); defer j.mu.Unlock(); return j.final }
func (j *job) wasAccepted() bool     { j.mu.Lock(); defer j.mu.Unlock(); return !j.accepted.IsZero() }
func (j *job) flag(name string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.flags == nil {
		j.flags = map[string]bool{}
	}
	was := j.flags[name]
	j.flags[name] = true
	return was
}

type status struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Done   int    `json:"done"`
}

// observe checks an answer about a job against what its user was told before. askedAt is when the
// request was sent: an answer to it must not be older than what had been told by then.
func (w *world) observe(j *job, what string, code int, body []byte, before string, wasAccepted bool, submit bool) {
	var s status
	_ = json.Unmarshal(body, &s)
	switch {
	case code == 404 && !submit:
		if wasAccepted {
			w.violate("forgotten", "%s of %s gets 404", what, j.ID)
		}
		return
	case (code == 400 || code == 422) && submit:
		if wasAccepted {
			w.violate("forgotten", "a repeated submission of %s gets %d %s", j.ID, code, body)
		}
		return
	case code != 200 && code != 201:
		return
	}
	if s.ID != j.ID {
		w.violate("foreign", "%s of %s is answered with %s", what, j.ID, body)
	}
	if before != "" && s.Status != before {
		w.violate("went_back", "%s was called %s and then %s by %s", j.ID, before, s.Status, what)
	}
	j.mu.Lock()
	if j.accepted.IsZero() {
		j.accepted = time.Now()
	}
	j.answerAt = time.Now()
	if s.Status == "aborted" || s.Status == "done" {
		if j.final == "" {
			j.final, j.finalAt = s.Status, time.Now()
		}
		if s.Status == "aborted" && j.told.IsZero() {
			j.told = time.Now()
		}
	}
	asked := j.asked
	j.mu.Unlock()
	if s.Status == "done" && w.check.doneCount(j.ID) < j.Legs {
		w.violate("not_done", "%s is called done with %d of %d tasks done", j.ID, w.check.doneCount(j.ID), j.Legs)
	}
	if (s.Status == "queued" || s.Status == "running") && w.cancelledBefore(j, w.site.cancel+3*time.Second) && !j.flag("orphaned") {
		w.violate("orphaned", "%s is called %s", j.ID, s.Status)
	}
	if s.Status == "aborted" && asked.IsZero() && !w.upstreamCancelled(j) {
		w.violate("went_back", "%s is called cancelled, and nobody cancelled it", j.ID)
	}
}

// cancelledBefore reports whether the user of a job that j needs was told longer ago than d that it is
// cancelled.
func (w *world) cancelledBefore(j *job, d time.Duration) bool {
	for _, p := range j.Awaits {
		if x := w.job(p); x != nil {
			if told := x.cancelTold(); !told.IsZero() && time.Since(told) > d || w.cancelledBefore(x, d) {
				return true
			}
		}
	}
	return false
}

func (w *world) upstreamCancelled(j *job) bool {
	for _, p := range j.Awaits {
		d := w.job(p)
		if d == nil {
			continue
		}
		d.mu.Lock()
		asked := !d.asked.IsZero()
		d.mu.Unlock()
		if asked || w.upstreamCancelled(d) {
			return true
		}
	}
	return false
}

// call sends a user's request through the load balancer: to a healthy node, on a new connection or on
// the user's own.
func (w *world) call(c *http.Client, method, path string, raw []byte, timeout time.Duration) (int, []byte, http.Header, string) {
	n := w.healthyNode()
	if n == nil {
		time.Sleep(200 * time.Millisecond)
		return 0, nil, nil, "-"
	}
	status, body, head := n.send(c, method, path, raw, timeout)
	return status, body, head, n.name
}

// submit submits a job until it is accepted or refused for good, for up to 60 s.
func (w *world) submit(j *job) bool {
	raw, _ := json.Marshal(j)
	c := newUserClient()
	j.mu.Lock()
	j.submitted = true
	j.mu.Unlock()
	begin := time.Now()
	for time.Since(begin) < 60*time.Second {
		before, acc := j.finalState(), j.wasAccepted()
		code, body, head, node := w.call(c, "POST", "/work", raw, 5*time.Second)
		w.rec("user: submit %s at %s: %d %s", j.ID, node, code, body)
		w.observe(j, "submission", code, body, before, acc, true)
		if code == 200 || code == 201 {
			return true
		}
		if code == 400 || code == 422 {
			j.mu.Lock()
			j.refused = code
			j.mu.Unlock()
			return false
		}
		wait := time.Second
		if head != nil {
			if s, err := strconv.Atoi(head.Get("Retry-After")); err == nil && s > 1 {
				wait = min(30*time.Second, time.Duration(s)*time.Second)
			}
		}
		time.Sleep(wait)
	}
	w.rec("user: gives up %s", j.ID)
	return false
}

// cancel asks for a job's cancellation until it is answered.
func (w *world) cancel(j *job) string {
	j.mu.Lock()
	if j.asked.IsZero() {
		j.asked = time.Now()
	}
	j.mu.Unlock()
	c := newUserClient()
	for !w.over() {
		before := j.finalState()
		code, body, _, node := w.call(c, "POST", "/work/"+j.ID+"/abort", nil, 5*time.Second)
		w.rec("user: cancel %s at %s: %d %s", j.ID, node, code, body)
		w.observe(j, "cancellation", code, body, before, j.wasAccepted(), false)
		if code == 200 {
			return j.finalState()
		}
		time.Sleep(time.Second)
	}
	return ""
}

func (w *world) poll(j *job, c *http.Client) int {
	before, acc := j.finalState(), j.wasAccepted()
	code, body, _, node := w.call(c, "GET", "/work/"+j.ID, nil, 2*time.Second)
	w.rec("user: poll %s at %s: %d %s", j.ID, node, code, body)
	w.observe(j, "poll", code, body, before, acc, false)
	return code
}

// follow polls a job until the end of the run.
func (w *world) follow(j *job) {
	c := newUserClient()
	for !w.over() {
		d := w.pollEvery
		if j.finalState() != "" {
			d *= 3
		}
		time.Sleep(time.Duration(float64(d) * (0.8 + 0.4*rand.Float64())))
		if j.finalState() != "" && rand.IntN(4) == 0 {
			raw, _ := json.Marshal(j)
			before, acc := j.finalState(), j.wasAccepted()
			code, body, _, node := w.call(c, "POST", "/work", raw, 5*time.Second)
			w.rec("user: repeats %s at %s: %d %s", j.ID, node, code, body)
			w.observe(j, "repeated submission", code, body, before, acc, true)
			continue
		}
		w.poll(j, c)
		if rand.IntN(10) == 0 {
			c = newUserClient()
		}
	}
}

func newUserClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
}

func (w *world) newJob(f func(j *job)) *job {
	w.mu.Lock()
	w.jobSeq++
	id := fmt.Sprintf("req-%06d", w.jobSeq)
	w.mu.Unlock()
	j := &job{ID: id, Lane: "reroute-batch", Crew: w.site.teams[0], Shape: "array", Rank: "normal", Legs: 4, Cores: 2, MemoryGb: 2, Bundle: "img-01", SizeGb: 0.5, ExpectS: 4, run: 3 * time.Second}
	f(j)
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.order = append(w.order, j)
	w.mu.Unlock()
	return j
}
