package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// cloudService is a stand-in for the cloud of the protocol page.
type cloudService struct {
	w        *world
	mu       sync.Mutex
	types    []machineType
	hosts    map[string]*host
	hires    map[string][]string
	seq      int
	cap      map[string]int // free machines by type/zone/kind
	outage   bool
	rps      float64
	lag      time.Duration
	tokens   float64
	refilled time.Time
	history  []listing
	bootMin  time.Duration
	bootMax  time.Duration
	neverUp  float64
	calls    map[string]int
}

type machineType struct {
	Label       string   `json:"label"`
	Cores       float64  `json:"cores"`
	Gpus        float64  `json:"gpus"`
	MemoryGb    float64  `json:"memoryGb"`
	CacheGb     float64  `json:"cacheGb"`
	FetchGbPerS float64  `json:"fetchGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Yards       []string `json:"yards"`
}

type host struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Build   string  `json:"build"`
	Yard    string  `json:"yard"`
	Loaners bool    `json:"loaners"`
	Status  string  `json:"status"`
	HeldS   float64 `json:"heldS"`
	hiredAt time.Time
	worker  *worker
}

type listing struct {
	at    time.Time
	hosts []host
}

func poolKey(build, yard string, spot bool) string { return fmt.Sprintf("%s/%s/%v", build, yard, spot) }

func newCloud(w *world) *cloudService {
	c := &cloudService{w: w, types: w.site.types, hosts: map[string]*host{}, hires: map[string][]string{}, cap: map[string]int{},
		rps: w.site.cloudRPS, lag: w.site.listLag, refilled: time.Now(), bootMin: time.Second, bootMax: 2 * time.Second, calls: map[string]int{}}
	for k, v := range w.site.capacity {
		c.cap[k] = v
	}
	c.tokens = 2 * c.rps
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			c.snapshot()
		}
	}()
	return c
}

func (c *cloudService) snapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	l := listing{at: now}
	for _, h := range c.hosts {
		x := *h
		x.HeldS = now.Sub(h.hiredAt).Seconds()
		l.hosts = append(l.hosts, x)
	}
	sort.Slice(l.hosts, func(i, j int) bool { return l.hosts[i].ID < l.hosts[j].ID })
	c.history = append(c.history, l)
	for len(c.history) > 1 && now.Sub(c.history[0].at) > 3*c.lag {
		c.history = c.history[1:]
	}
}

func (c *cloudService) admit() int {
	if c.outage {
		return 503
	}
	now := time.Now()
	c.tokens = min(2*c.rps, c.tokens+now.Sub(c.refilled).Seconds()*c.rps)
	c.refilled = now
	if c.tokens < 1 {
		return 429
	}
	c.tokens--
	return 0
}

func (c *cloudService) handler(node string, l *link) http.Handler {
	mux := http.NewServeMux()
	gated := func(f func(w http.ResponseWriter, r *http.Request, body []byte)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if !l.request(r) {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(50 * time.Millisecond)
			b := &buffered{}
			c.mu.Lock()
			status := c.admit()
			c.calls[node]++
			c.mu.Unlock()
			if status != 0 {
				replyError(b, status, "trouble")
			} else {
				f(b, r, body)
			}
			if !l.response(r) {
				panic(http.ErrAbortHandler)
			}
			b.sendTo(w)
		}
	}
	mux.HandleFunc("GET /machine_types", gated(func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		reply(w, 200, map[string]any{"builds": c.types})
	}))
	mux.HandleFunc("POST /hosts", gated(func(w http.ResponseWriter, _ *http.Request, body []byte) { c.hire(w, node, body) }))
	mux.HandleFunc("POST /hosts/delete", gated(func(w http.ResponseWriter, _ *http.Request, body []byte) {
		var in struct {
			Nests []string `json:"nests"`
		}
		if json.Unmarshal(body, &in) != nil || len(in.Nests) > 100 {
			replyError(w, 400, "malformed")
			return
		}
		for _, id := range in.Nests {
			c.remove(id, "deleted by "+node)
		}
		reply(w, 200, struct{}{})
	}))
	mux.HandleFunc("GET /hosts", gated(func(w http.ResponseWriter, r *http.Request, _ []byte) {
		after := r.URL.Query().Get("after")
		most, _ := strconv.Atoi(r.URL.Query().Get("most"))
		lag := time.Duration(float64(c.lag) * (0.8 + 0.4*rand.Float64()))
		if rand.Float64() < 0.2 {
			lag = time.Duration(float64(c.lag) * (1 + rand.Float64()))
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		at, out, more := time.Now().Add(-lag), []host{}, false
		for i := len(c.history) - 1; i >= 0; i-- {
			if !c.history[i].at.After(at) {
				for _, h := range c.history[i].hosts {
					if h.ID <= after {
						continue
					}
					if len(out) == most {
						more = true
						break
					}
					out = append(out, h)
				}
				break
			}
		}
		reply(w, 200, map[string]any{"nests": out, "more": more})
	}))
	return mux
}

func (c *cloudService) hire(w http.ResponseWriter, node string, body []byte) {
	var in struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"howMany"`
	}
	if json.Unmarshal(body, &in) != nil || in.HowMany < 1 || in.HowMany > 50 || in.Hire == "" {
		replyError(w, 400, "malformed")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.hires[in.Hire]; ok {
		reply(w, 200, map[string]any{"nests": got})
		return
	}
	key := poolKey(in.Build, in.Yard, in.Loaners)
	n := min(in.HowMany, c.cap[key])
	if n <= 0 {
		replyError(w, 503, "no capacity")
		return
	}
	c.cap[key] -= n
	var mt *machineType
	for i := range c.types {
		if c.types[i].Label == in.Build {
			mt = &c.types[i]
		}
	}
	names := []string{}
	for range n {
		c.seq++
		h := &host{ID: fmt.Sprintf("i-%06d", c.seq), Build: in.Build, Yard: in.Yard, Loaners: in.Loaners, Status: "starting", hiredAt: time.Now()}
		c.hosts[h.ID] = h
		h.worker = newWorker(c.w, h.ID, *mt, in.Yard, in.Loaners)
		h.Address = h.worker.addr
		names = append(names, h.ID)
		if rand.Float64() >= c.neverUp {
			boot := c.bootMin + time.Duration(rand.Float64()*float64(c.bootMax-c.bootMin))
			time.AfterFunc(boot, func() {
				c.mu.Lock()
				if c.hosts[h.ID] == h {
					h.Status = "running"
					c.mu.Unlock()
					h.worker.start()
					return
				}
				c.mu.Unlock()
			})
		}
	}
	c.hires[in.Hire] = names
	c.w.rec("cloud: %s rents %v as %s", node, names, in.Hire)
	reply(w, 200, map[string]any{"nests": names})
}

// remove ends a machine and everything on it.
func (c *cloudService) remove(id, why string) {
	c.mu.Lock()
	h := c.hosts[id]
	delete(c.hosts, id)
	if h != nil {
		c.cap[poolKey(h.Build, h.Yard, h.Loaners)]++
	}
	c.mu.Unlock()
	if h != nil {
		c.w.rec("cloud: %s %s", id, why)
		h.worker.die()
	}
}

// fail stops a machine; it is listed as running for 30 s more and then as failed, until it is deleted.
func (c *cloudService) fail(id string) {
	c.mu.Lock()
	h := c.hosts[id]
	c.mu.Unlock()
	if h == nil {
		return
	}
	c.w.rec("cloud: %s has stopped on its own", id)
	h.worker.die()
	time.AfterFunc(30*time.Second, func() {
		c.mu.Lock()
		h.Status = "failed"
		c.mu.Unlock()
	})
}

func (c *cloudService) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*worker
	for _, h := range c.hosts {
		if h.Status == "running" && !h.worker.isDead() {
			out = append(out, h.worker)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
