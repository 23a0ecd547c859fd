package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for the worker of one machine.
type worker struct {
	w    *world
	id   string
	typ  machineType
	yard string
	spot bool
	addr string
	ln   net.Listener

	mu      sync.Mutex
	cond    *sync.Cond
	up      bool
	dead    bool
	hung    bool
	faulty  bool
	shift   uint64
	tick    uint64
	baton   uint64
	batonAt time.Time // when a higher token last counted as a change
	recall  *time.Time
	leaseAt time.Time // when the last answered report was sent, or the session began
	tasks   []*task
	images  map[string]time.Time // ready at
	node    int
	changed chan struct{}
	out, in *link // reports; responses and direct commands
}

type task struct {
	Leg    string `json:"leg"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`

	job    *job
	index  int
	gen    int
	on     bool
	begun  time.Time
	saveBy time.Time
}

type order struct {
	Verb  string   `json:"verb"`
	Leg   string   `json:"leg"`
	Try   uint64   `json:"try"`
	WindS *float64 `json:"windS"`
}

type report struct {
	Nest    string   `json:"nest"`
	Address string   `json:"address"`
	Build   string   `json:"build"`
	Yard    string   `json:"yard"`
	Loaners bool     `json:"loaners"`
	Shift   uint64   `json:"shift"`
	Tick    uint64   `json:"tick"`
	Baton   uint64   `json:"baton"`
	RecallS *float64 `json:"recallS"`
	Legs    []task   `json:"legs"`
}

func newWorker(w *world, id string, typ machineType, yard string, spot bool) *worker {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("worker: %v", err)
	}
	k := &worker{w: w, id: id, typ: typ, yard: yard, spot: spot, addr: ln.Addr().String(), ln: ln, images: map[string]time.Time{},
		changed: make(chan struct{}, 1), out: newLink(), in: newLink(), shift: 1}
	k.cond = sync.NewCond(&k.mu)
	return k
}

func (k *worker) isDead() bool { k.mu.Lock(); defer k.mu.Unlock(); return k.dead }

func (k *worker) start() {
	k.mu.Lock()
	k.up, k.leaseAt = true, time.Now()
	k.node = rand.IntN(len(k.w.nodes))
	k.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !k.in.request(r) || !k.awaitResumed() {
			panic(http.ErrAbortHandler)
		}
		b := &buffered{}
		k.do(b, body)
		if !k.out.response(r) {
			panic(http.ErrAbortHandler)
		}
		b.sendTo(w)
	})
	mux.HandleFunc("GET /inspect", func(w http.ResponseWriter, r *http.Request) {
		if !k.in.request(r) || !k.awaitResumed() {
			panic(http.ErrAbortHandler)
		}
		k.mu.Lock()
		rep := k.report()
		k.mu.Unlock()
		if !k.out.response(r) {
			panic(http.ErrAbortHandler)
		}
		reply(w, 200, rep)
	})
	s := &http.Server{Handler: mux, ErrorLog: quietLog, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connStart{}, time.Now())
	}}
	go s.Serve(k.ln)
	go k.tickLoop()
	go k.reportLoop()
}

// die ends the machine and all that is on it.
func (k *worker) die() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dead = true
	k.drop("machine gone")
	k.ln.Close()
	k.cond.Broadcast()
	k.notify()
}

func (k *worker) setHung(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hung && !on {
		k.checkLease(time.Now()) // a sound worker looks at its lease before anything else
	}
	k.hung = on
	k.cond.Broadcast()
}

func (k *worker) setFaulty(on bool) { k.mu.Lock(); k.faulty = on; k.mu.Unlock() }

func (k *worker) awaitResumed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.hung && !k.dead {
		k.cond.Wait()
	}
	return !k.dead
}

func (k *worker) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

func (k *worker) drop(why string) {
	for _, t := range k.tasks {
		t.gen++
		k.off(t, why)
	}
	k.tasks = nil
}

func (k *worker) off(t *task, why string) {
	if t.on {
		t.on = false
		k.w.check.ended(k, t, why)
	}
}

func (k *worker) checkLease(now time.Time) {
	if now.Sub(k.leaseAt) > k.w.site.lease {
		if len(k.tasks) > 0 {
			k.w.rec("worker %s: lease over, session %d ends with %d tasks", k.id, k.shift, len(k.tasks))
		}
		k.drop("lease over")
		k.shift++
		k.leaseAt = now
		k.notify()
	}
}

func (k *worker) tickLoop() {
	for {
		time.Sleep(50 * time.Millisecond)
		k.mu.Lock()
		if k.dead {
			k.mu.Unlock()
			return
		}
		if !k.hung {
			now := time.Now()
			k.checkLease(now)
			for _, t := range k.tasks {
				k.advance(t, now)
			}
		}
		k.mu.Unlock()
	}
}

func (k *worker) advance(t *task, now time.Time) {
	switch t.Status {
	case "fetching":
		if ready, ok := k.images[t.job.Bundle]; !ok || now.Before(ready) {
			return
		}
		t.Status, t.begun, t.on = "running", now, true
		k.w.check.started(k, t)
		k.notify()
		if k.w.hasResult(t.Leg) {
			k.exit(t, "done")
		}
	case "running":
		if (t.job.mistake || k.faulty) && now.Sub(t.begun) > time.Second {
			k.exit(t, "error")
			return
		}
		if t.job.Shape == "array" && now.Sub(t.begun) >= t.job.run {
			k.w.setResult(t.Leg)
			k.exit(t, "done")
		}
	case "saving":
		if now.After(t.saveBy) {
			t.Stored = true
			k.exit(t, "halted")
		}
	}
}

func (k *worker) exit(t *task, cause string) {
	t.Status, t.Cause = "ended", cause
	k.off(t, cause)
	k.notify()
}

func (k *worker) report() report {
	k.tick++
	r := report{Nest: k.id, Address: k.addr, Build: k.typ.Label, Yard: k.yard, Loaners: k.spot, Shift: k.shift, Tick: k.tick, Baton: k.baton, Legs: []task{}}
	if k.recall != nil {
		s := max(0, time.Until(*k.recall).Seconds())
		r.RecallS = &s
	}
	for _, t := range k.tasks {
		r.Legs = append(r.Legs, *t)
	}
	return r
}

func (k *worker) reportLoop() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for {
		if !k.awaitResumed() {
			return
		}
		k.mu.Lock()
		rep := k.report()
		node := k.w.nodes[k.node]
		k.mu.Unlock()
		sent := time.Now()
		status, body := k.post(client, node, rep)
		if !k.awaitResumed() {
			return
		}
		wait := time.Duration(float64(k.w.site.report) * (0.75 + 0.5*rand.Float64()))
		k.mu.Lock()
		if status == 200 && time.Since(sent) < 4*time.Second {
			var in struct {
				Baton  uint64  `json:"baton"`
				Orders []order `json:"orders"`
			}
			if json.Unmarshal(body, &in) == nil && rep.Shift == k.shift && in.Baton >= k.baton {
				k.leaseAt = sent
				k.execute(in.Baton, in.Orders)
			}
			if len(body) > 64*1024 {
				k.w.violate("line", "a response to worker %s has %d bytes", k.id, len(body))
			}
		} else if status == 421 {
			var in struct {
				ReportsTo string `json:"reportsTo"`
			}
			_ = json.Unmarshal(body, &in)
			i := slices.IndexFunc(k.w.nodes, func(n *node2) bool { return n.name == in.ReportsTo })
			if i >= 0 && i != k.node {
				k.node, wait = i, time.Duration(rand.Float64()*0.5*float64(time.Second))
			} else {
				k.node, wait = (k.node+1)%len(k.w.nodes), time.Second
			}
			k.mu.Unlock()
			time.Sleep(wait)
			continue
		} else {
			k.node = (k.node + 1) % len(k.w.nodes)
			k.mu.Unlock()
			time.Sleep(time.Second)
			continue
		}
		k.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		select {
		case <-k.changed:
		case <-time.After(wait - 500*time.Millisecond):
		}
	}
}

// post sends a report and returns the status of the answer, 0 if there is none in 4 s.
func (k *worker) post(client *http.Client, n *node2, rep report) (int, []byte) {
	raw, _ := json.Marshal(rep)
	k.out.mu.Lock()
	mode := k.out.mode
	k.out.mu.Unlock()
	if mode == linkReset {
		return 0, nil
	}
	if mode == linkHold {
		go func() { // it arrives when the cut ends, and its answer finds nobody
			k.out.mu.Lock()
			for k.out.mode == linkHold {
				k.out.cond.Wait()
			}
			k.out.mu.Unlock()
			n.send(client, "POST", "/hello", raw, 4*time.Second)
		}()
		time.Sleep(4 * time.Second)
		return 0, nil
	}
	status, body, _ := n.send(client, "POST", "/hello", raw, 4*time.Second)
	k.in.mu.Lock()
	deaf := k.in.mode != linkOpen
	k.in.mu.Unlock()
	if deaf {
		time.Sleep(4 * time.Second)
		return 0, nil
	}
	return status, body
}

func (k *worker) do(w http.ResponseWriter, body []byte) {
	var in struct {
		Baton  *uint64 `json:"baton"`
		Shift  *uint64 `json:"shift"`
		Orders []order `json:"orders"`
	}
	if json.Unmarshal(body, &in) != nil || in.Baton == nil || in.Shift == nil {
		replyError(w, 400, "baton or shift is missing")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkLease(time.Now())
	if *in.Baton < k.baton || *in.Shift != k.shift {
		reply(w, 409, k.report())
		return
	}
	k.execute(*in.Baton, in.Orders)
	reply(w, 200, k.report())
}

func (k *worker) execute(baton uint64, orders []order) {
	now := time.Now()
	if baton > k.baton {
		k.baton = baton
		if now.Sub(k.batonAt) > k.w.site.lease/2 {
			k.batonAt = now
			k.notify()
		}
	}
	for _, o := range orders {
		i := slices.IndexFunc(k.tasks, func(t *task) bool { return t.Leg == o.Leg && t.Try == o.Try })
		switch o.Verb {
		case "launch":
			if i < 0 {
				k.launch(o, now)
			}
		case "stop":
			if i < 0 || k.tasks[i].Status == "ended" {
				continue
			}
			t := k.tasks[i]
			wind := 0.0
			if o.WindS != nil {
				wind = *o.WindS
			}
			if t.Status == "running" && t.job.WaypointS > 0 && wind >= t.job.StashS && wind > 0 {
				t.Status, t.saveBy = "saving", now.Add(time.Duration(t.job.StashS*float64(time.Second)))
				k.notify()
			} else if t.Status != "saving" || wind == 0 {
				k.exit(t, "halted")
			}
		case "clear":
			if i >= 0 && k.tasks[i].Status == "ended" {
				k.tasks = slices.Delete(k.tasks, i, i+1)
				k.notify()
			}
		}
	}
}

func (k *worker) launch(o order, now time.Time) {
	t := &task{Leg: o.Leg, Try: o.Try, Status: "ended"}
	refuse := func(cause string) {
		t.Cause = cause
		k.tasks = append(k.tasks, t)
		k.notify()
	}
	id, index, _ := strings.Cut(o.Leg, "/")
	t.index, _ = strconv.Atoi(index)
	t.job = k.w.job(id)
	if t.job == nil || t.index >= t.job.Legs {
		k.w.violate("invented", "worker %s is told to launch %s, which nobody submitted", k.id, o.Leg)
		refuse("unknown")
		return
	}
	cores, mem := t.job.Cores, t.job.MemoryGb
	for _, x := range k.tasks {
		if x.Status != "ended" {
			if x.Leg == o.Leg {
				refuse("in_use")
				return
			}
			cores += x.job.Cores
			mem += x.job.MemoryGb
		}
	}
	if cores > k.typ.Cores+1e-6 || mem > k.typ.MemoryGb+1e-6 {
		refuse("no_room")
		return
	}
	if _, ok := k.images[t.job.Bundle]; !ok {
		k.images[t.job.Bundle] = now.Add(k.w.fetchTime)
	}
	t.Status = "fetching"
	k.tasks = append(k.tasks, t)
	k.w.check.launched(k, t)
	k.notify()
}

func post(client *http.Client, method, url string, raw []byte, timeout time.Duration) (int, []byte, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, b, resp.Header
}
