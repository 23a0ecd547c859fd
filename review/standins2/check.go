package main

import (
	"fmt"
	"sync"
	"time"
)

// checker checks the rules of the protocol page against what workers run and users are told.
type checker struct {
	w      *world
	mu     sync.Mutex
	on     map[string]map[string]*job // by leg: machines that it is on
	zones  map[string]map[string]int  // by job and zone: tasks on machines
	usage  map[string]float64         // cores by team
	starts int
	done   map[string]map[int]bool // by job: completed tasks
	doneAt map[string]time.Time    // when the last task of a job completed
}

func newChecker(w *world) *checker {
	c := &checker{w: w, on: map[string]map[string]*job{}, zones: map[string]map[string]int{}, usage: map[string]float64{}, done: map[string]map[int]bool{}, doneAt: map[string]time.Time{}}
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			c.checkCancelled()
		}
	}()
	return c
}

func (c *checker) launched(k *worker, t *task) {
	c.w.rec("worker %s: launch %s try %d", k.id, t.Leg, t.Try)
}

func (c *checker) started(k *worker, t *task) {
	c.w.rec("worker %s: start %s try %d", k.id, t.Leg, t.Try)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	for m := range c.on[t.Leg] {
		c.w.violate("ran_twice", "%s starts on %s while it is on %s", t.Leg, k.id, m)
	}
	if c.on[t.Leg] == nil {
		c.on[t.Leg] = map[string]*job{}
	}
	j := t.job
	zones := map[string]int{} // of the job's other tasks
	for z, n := range c.zones[j.ID] {
		zones[z] = n
	}
	if c.zones[j.ID] == nil {
		c.zones[j.ID] = map[string]int{}
	}
	c.zones[j.ID][k.yard]++
	c.on[t.Leg][k.id] = j
	c.usage[j.Crew] += j.Cores
	if limit := c.w.site.teamMax[j.Crew]; limit > 0 && c.usage[j.Crew] > limit+1e-6 {
		c.w.violate("quota", "team %s uses %.2f of %.2f cores as %s starts on %s", j.Crew, c.usage[j.Crew], limit, t.Leg, k.id)
	}
	if !j.Loaners && k.spot || j.Yard != nil && *j.Yard != k.yard || len(j.Builds) > 0 && !contains(j.Builds, k.typ.Label) {
		c.w.violate("wrong_place", "%s starts on %s (%s %s spot=%v)", t.Leg, k.id, k.typ.Label, k.yard, k.spot)
	}
	if j.Scatter && zones[k.yard]+1 > (j.Legs+1)/2 {
		c.w.violate("wrong_place", "%s starts on %s in %s beside %v of %d", t.Leg, k.id, k.yard, zones, j.Legs)
	}
	if j.OneZone {
		for z, n := range zones {
			if z != k.yard && n > 0 {
				c.w.violate("wrong_place", "%s starts on %s in %s beside %v", t.Leg, k.id, k.yard, zones)
			}
		}
	}
	for _, p := range j.Awaits {
		if d := c.w.job(p); d != nil && len(c.done[p]) < d.Legs {
			c.w.violate("too_early", "%s starts before %s is done", t.Leg, p)
		}
	}
	if told := j.cancelTold(); !told.IsZero() && time.Since(told) > c.w.site.cancel {
		c.w.violate("ran_cancelled", "%s starts on %s %.1f s after the user was told", t.Leg, k.id, time.Since(told).Seconds())
	}
}

func (c *checker) ended(k *worker, t *task, why string) {
	c.w.rec("worker %s: end %s try %d: %s", k.id, t.Leg, t.Try, why)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.on[t.Leg], k.id)
	c.zones[t.job.ID][k.yard]--
	c.usage[t.job.Crew] -= t.job.Cores
	if why == "done" {
		if c.done[t.job.ID] == nil {
			c.done[t.job.ID] = map[int]bool{}
		}
		c.done[t.job.ID][t.index] = true
		if len(c.done[t.job.ID]) == t.job.Legs && c.doneAt[t.job.ID].IsZero() {
			c.doneAt[t.job.ID] = time.Now()
		}
	}
}

func (c *checker) checkCancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l, machines := range c.on {
		for m, j := range machines {
			told := j.cancelTold()
			if !told.IsZero() && time.Since(told) > c.w.site.cancel+200*time.Millisecond && !j.flag("ran_cancelled") {
				c.w.violate("ran_cancelled", "%s is on %s %.1f s after its user was told", l, m, time.Since(told).Seconds())
			}
		}
	}
}

func (c *checker) doneCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.done[id])
}

func (c *checker) onCount(id string, legs int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range legs {
		if len(c.on[leg(id, i)]) > 0 {
			n++
		}
	}
	return n
}

func leg(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
