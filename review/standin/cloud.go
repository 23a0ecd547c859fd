package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// MachineType is a machine type that the cloud offers.
type MachineType struct {
	Label       string   `json:"label"`
	Cores       float64  `json:"cores"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Hourly      float64  `json:"hourly"`
	MarketPrice float64  `json:"marketPrice"`
	BootS       float64  `json:"bootS"`
	Yards       []string `json:"yards"`
}

// pool names the machines of one type, zone and kind.
type pool struct {
	build, yard string
	loaners     bool
}

// Cloud is a stand-in for the cloud.
type Cloud struct {
	world    *World
	types    []MachineType
	listLag  time.Duration
	bootTime time.Duration
	requests bucket

	mu       sync.Mutex
	capacity map[pool]int
	hires    map[string][]string
	machines map[string]*cloudMachine
	count    int
}

type cloudMachine struct {
	id, address        string
	pool               pool
	rented, up, gone   time.Time
	worker             *Worker
	isGone, workerIsUp bool
}

func newCloud(world *World, types []MachineType, capacity map[pool]int, l limits, bootTime time.Duration) *Cloud {
	return &Cloud{
		world: world, types: types, capacity: capacity, bootTime: bootTime,
		listLag: l.listLag, requests: bucket{perSecond: 2 * l.cloudRPS, tokens: 2 * l.cloudRPS, last: time.Now()},
		hires: map[string][]string{}, machines: map[string]*cloudMachine{},
	}
}

func (c *Cloud) typeOf(label string) *MachineType {
	for i := range c.types {
		if c.types[i].Label == label {
			return &c.types[i]
		}
	}
	return nil
}

// ServeHTTP serves the API.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(1) {
		writeJSON(w, 429, errorBody("too many requests"))
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		writeJSON(w, 200, map[string]any{"builds": c.types})
	case "POST /hosts":
		c.hire(w, r)
	case "POST /hosts/delete":
		var in struct {
			Nests []string `json:"nests"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Nests) > 100 {
			writeJSON(w, 400, errorBody("malformed"))
			return
		}
		for _, id := range in.Nests {
			c.remove(id)
		}
		writeJSON(w, 200, struct{}{})
	case "GET /hosts":
		c.list(w, r)
	default:
		writeJSON(w, 404, errorBody("no such path"))
	}
}

func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		HowMany int    `json:"howMany"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.HowMany < 1 || in.HowMany > 50 || c.typeOf(in.Build) == nil || in.Hire == "" {
		writeJSON(w, 400, errorBody("malformed"))
		return
	}
	if nests, ok := c.hires[in.Hire]; ok {
		writeJSON(w, 200, map[string]any{"nests": nests})
		return
	}
	p := pool{in.Build, in.Yard, in.Loaners}
	n := min(in.HowMany, c.capacity[p])
	if n == 0 {
		writeJSON(w, 503, errorBody("no capacity"))
		return
	}
	c.capacity[p] -= n
	nests := []string{}
	for range n {
		c.count++
		m := &cloudMachine{id: fmt.Sprintf("i-%06d", c.count), pool: p, rented: time.Now()}
		m.worker = newWorker(c.world, m.id, p, c.typeOf(p.build))
		m.address = m.worker.address
		c.machines[m.id] = m
		nests = append(nests, m.id)
		time.AfterFunc(c.bootTime, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !m.isGone {
				m.up, m.workerIsUp = time.Now(), true
				m.worker.start()
			}
		})
	}
	c.hires[in.Hire] = nests
	c.world.log("cloud: rented %v of %+v as %s", nests, p, in.Hire)
	writeJSON(w, 200, map[string]any{"nests": nests})
}

// remove ends a machine and all that is on it.
func (c *Cloud) remove(id string) {
	m := c.machines[id]
	if m == nil || m.isGone {
		return
	}
	m.isGone, m.gone = true, time.Now()
	c.capacity[m.pool]++
	m.worker.destroy()
	c.world.log("cloud: deleted %s", id)
}

// list serves the list as it was listLag ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	asOf := time.Now().Add(-c.listLag)
	after := r.URL.Query().Get("after")
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	var ids []string
	for id, m := range c.machines {
		if id > after && m.rented.Before(asOf) && (!m.isGone || m.gone.After(asOf)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	more := len(ids) > min(most, 500)
	nests := []map[string]any{}
	for _, id := range ids[:min(len(ids), most, 500)] {
		m := c.machines[id]
		status := "starting"
		if m.workerIsUp && m.up.Before(asOf) {
			status = "running"
		}
		nests = append(nests, map[string]any{"id": id, "address": m.address, "build": m.pool.build, "yard": m.pool.yard,
			"loaners": m.pool.loaners, "status": status, "heldS": asOf.Sub(m.rented).Seconds()})
	}
	writeJSON(w, 200, map[string]any{"nests": nests, "more": more})
}
