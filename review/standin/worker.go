package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Worker is a stand-in for the worker of one machine.
type Worker struct {
	world   *World
	id      string
	pool    pool
	kind    *MachineType
	address string

	listener net.Listener
	server   *http.Server
	client   *http.Client

	mu        sync.Mutex
	dead      bool
	faulty    bool // every task fails half a second after its start
	node      int  // that it reports to
	shift     uint64
	tick      uint64
	baton     uint64
	batonTold time.Time // when a higher token last counted as a change
	leaseFrom time.Time // when the last answered report was sent, or the session began
	tasks     map[taskKey]*workerTask
	images    map[string]bool
	nudge     chan struct{}
	done      chan struct{}
}

type taskKey struct {
	leg string
	try uint64
}

type workerTask struct {
	Leg    string `json:"leg"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`

	job     *Job
	started time.Time
}

type order struct {
	Verb  string  `json:"verb"`
	Leg   string  `json:"leg"`
	Try   uint64  `json:"try"`
	WindS float64 `json:"windS"`
}

func newWorker(world *World, id string, p pool, kind *MachineType) *Worker {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &Worker{
		world: world, id: id, pool: p, kind: kind, address: l.Addr().String(), listener: l,
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}},
		tasks:  map[taskKey]*workerTask{}, images: map[string]bool{}, nudge: make(chan struct{}, 1), done: make(chan struct{}),
		node: rand.IntN(len(world.nodes)),
	}
	return w
}

// start begins the first session.
func (w *Worker) start() {
	w.shift, w.leaseFrom = 1, time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", w.do)
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		writeJSON(rw, 200, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(w.listener) }()
	w.world.log("worker %s up at %s, %+v", w.id, w.address, w.pool)
	w.world.addWorker(w)
	go w.loop()
}

// destroy ends the machine with all that is on it.
func (w *Worker) destroy() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.dead = true
	close(w.done)
	for _, t := range w.tasks {
		w.leave(t, "machine gone")
	}
	w.tasks = map[taskKey]*workerTask{}
	if w.server != nil {
		go w.server.Close()
	} else {
		w.listener.Close()
	}
}

// leave records that a task is no longer on the machine.
func (w *Worker) leave(t *workerTask, why string) {
	if t.Status == "running" || t.Status == "saving" {
		w.world.taskLeft(w, t, why)
	}
}

func (w *Worker) touchLocked() {
	select {
	case w.nudge <- struct{}{}:
	default:
	}
}

// report returns the report of now. It counts as a message.
func (w *Worker) report() map[string]any {
	w.tick++
	legs := make([]workerTask, 0, len(w.tasks))
	for _, t := range w.tasks {
		legs = append(legs, *t)
	}
	sort.Slice(legs, func(i, j int) bool { return legs[i].Leg < legs[j].Leg })
	return map[string]any{"nest": w.id, "address": w.address, "build": w.pool.build, "yard": w.pool.yard, "loaners": w.pool.loaners,
		"shift": w.shift, "tick": w.tick, "baton": w.baton, "recallS": nil, "legs": legs}
}

// checkLease ends the session if its lease has run out.
func (w *Worker) checkLease() {
	if time.Since(w.leaseFrom) <= w.world.limits.lease {
		return
	}
	for _, t := range w.tasks {
		w.leave(t, "lease ran out")
	}
	w.tasks = map[taskKey]*workerTask{}
	w.shift++
	w.leaseFrom = time.Now()
	w.touchLocked()
	w.world.log("worker %s: lease ran out, session %d", w.id, w.shift)
}

// loop reports until the machine is gone.
func (w *Worker) loop() {
	lease := time.NewTicker(100 * time.Millisecond)
	defer lease.Stop()
	next := time.Now()
	var last time.Time
	urgent := false
	for {
		wait := time.Until(next)
		if urgent {
			wait = min(wait, time.Until(last.Add(500*time.Millisecond)))
		}
		select {
		case <-w.done:
			return
		case <-lease.C:
			w.mu.Lock()
			if !w.dead {
				w.checkLease()
			}
			w.mu.Unlock()
			continue
		case <-w.nudge:
			urgent = true
			continue
		case <-time.After(max(0, wait)):
		}
		urgent, last = false, time.Now()
		retry, soon := w.sendReport()
		switch {
		case soon:
			next = time.Now()
		case retry:
			next = time.Now().Add(time.Second)
		default:
			next = time.Now().Add(time.Duration((0.75 + rand.Float64()/2) * float64(w.world.limits.report)))
		}
	}
}

// sendReport sends one report and handles the response.
func (w *Worker) sendReport() (retry, soon bool) {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return false, false
	}
	w.checkLease()
	session, sentAt := w.shift, time.Now()
	raw, err := json.Marshal(w.report())
	node := w.node
	w.mu.Unlock()
	if err != nil {
		return true, false
	}
	nextNode := func() {
		w.mu.Lock()
		w.node = (node + 1) % len(w.world.nodes)
		w.mu.Unlock()
	}
	resp, err := w.client.Post("http://"+w.world.nodes[node].workerAddress+"/hello", "application/json", bytes.NewReader(raw))
	if err != nil {
		nextNode()
		return true, false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || time.Since(sentAt) > 4*time.Second {
		nextNode()
		return true, false
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		var to struct {
			ReportsTo string `json:"reportsTo"`
		}
		_ = json.Unmarshal(body, &to)
		for i, n := range w.world.nodes {
			if n.name == to.ReportsTo && i != node {
				w.mu.Lock()
				w.node = i
				w.mu.Unlock()
				return false, true
			}
		}
	}
	if resp.StatusCode != http.StatusOK {
		nextNode()
		return true, false
	}
	var answer struct {
		Baton  uint64  `json:"baton"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &answer) != nil {
		nextNode()
		return true, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.shift != session || answer.Baton < w.baton {
		return false, false
	}
	w.leaseFrom = sentAt
	w.acceptBaton(answer.Baton)
	w.execute(answer.Orders)
	return false, false
}

// do executes direct commands.
func (w *Worker) do(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	err := json.NewDecoder(r.Body).Decode(&in)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.dead:
		panic(http.ErrAbortHandler)
	case err != nil || in.Baton == nil || in.Shift == nil:
		writeJSON(rw, 400, errorBody("malformed"))
	case *in.Baton < w.baton || *in.Shift != w.shift:
		writeJSON(rw, 409, w.report())
	default:
		w.acceptBaton(*in.Baton)
		w.execute(in.Orders)
		writeJSON(rw, 200, w.report())
	}
}

// acceptBaton takes over a token. A higher one counts as a change at most once in half a lease.
func (w *Worker) acceptBaton(baton uint64) {
	if baton > w.baton && time.Since(w.batonTold) > w.world.limits.lease/2 {
		w.batonTold = time.Now()
		w.touchLocked()
	}
	w.baton = baton
}

// stop ends a task, or has it save its progress first.
func (w *Worker) stop(key taskKey, t *workerTask, wind float64) {
	saves := t.job != nil && t.job.Waypoint > 0 && wind >= t.job.Stash
	if t.Status == "running" && saves {
		t.Status = "saving"
		w.touchLocked()
		session := w.shift
		time.AfterFunc(time.Duration(t.job.Stash*float64(time.Second)), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.dead && w.shift == session && w.tasks[key] == t && t.Status == "saving" {
				t.Stored = true
				w.halt(t)
			}
		})
		return
	}
	if t.Status != "saving" || wind == 0 {
		w.halt(t)
	}
}

func (w *Worker) halt(t *workerTask) {
	w.leave(t, "stopped by command")
	t.Status, t.Cause = "ended", "halted"
	w.touchLocked()
}

func (w *Worker) execute(orders []order) {
	for _, o := range orders {
		key := taskKey{o.Leg, o.Try}
		t := w.tasks[key]
		switch o.Verb {
		case "launch":
			if t == nil {
				w.launch(key)
			}
		case "stop":
			if t != nil && t.Status != "ended" {
				w.stop(key, t, o.WindS)
			}
		case "clear":
			if t != nil && t.Status == "ended" {
				delete(w.tasks, key)
				w.touchLocked()
			}
		}
	}
}

func (w *Worker) launch(key taskKey) {
	job := w.world.jobOf(key.leg)
	t := &workerTask{Leg: key.leg, Try: key.try, Status: "ended", job: job}
	w.tasks[key] = t
	w.touchLocked()
	if job == nil {
		t.Cause = "unknown"
		return
	}
	cores, memory := job.Cores, job.MemoryGB
	for _, other := range w.tasks {
		if other == t || other.Status == "ended" {
			continue
		}
		if other.Leg == key.leg {
			t.Cause = "in_use"
			return
		}
		cores += other.job.Cores
		memory += other.job.MemoryGB
	}
	if cores > w.kind.Cores+1e-6 || memory > w.kind.MemoryGB+1e-6 {
		t.Cause = "no_room"
		return
	}
	t.Status = "fetching"
	fetch := time.Duration(job.SizeGB / w.kind.FetchGBPerS * float64(time.Second))
	if w.images[job.Bundle] {
		fetch = 0
	}
	session := w.shift
	time.AfterFunc(fetch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.dead || w.shift != session || w.tasks[key] != t || t.Status != "fetching" {
			return
		}
		w.images[job.Bundle] = true
		t.Status, t.started = "running", time.Now()
		w.world.taskStarted(w, t)
		w.touchLocked()
		if job.Shape == "service" && !w.faulty {
			return
		}
		run, cause := job.RunFor, "done"
		if w.faulty {
			run, cause = 500*time.Millisecond, "error"
		} else if w.world.isCompleted(key.leg) {
			run = 0
		}
		time.AfterFunc(run, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.dead || w.shift != session || w.tasks[key] != t || t.Status != "running" {
				return
			}
			w.leave(t, cause)
			t.Status, t.Cause = "ended", cause
			w.touchLocked()
		})
	})
}
