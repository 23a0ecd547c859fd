package main

import (
	"fmt"
	"syscall"
	"time"
)

func pick[T any](w *world, list ...T) T {
	w.mu.Lock()
	defer w.mu.Unlock()
	return list[rng.IntN(len(list))]
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rng.Float64() < p
}

func (w *world) uniform(a, b float64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a + (b-a)*rng.Float64()
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// hunt runs random work with random troubles, and then waits for all work to end.
func hunt(w *world, trouble bool, d time.Duration) {
	w.begin()
	w.cloud.neverUp = 0.05
	end := time.Now().Add(d)
	go func() {
		for time.Now().Before(end) {
			go w.randomWork(end)
			time.Sleep(secs(w.uniform(0.2, 1.6)))
		}
	}()
	if w.site.nextValueKB > 0 {
		go func() {
			time.Sleep(secs(w.uniform(10, d.Seconds()*0.8)))
			w.state.lowerLimits(w.site)
		}()
	}
	if trouble {
		for i := 0; i < 3; i++ {
			go func() {
				for time.Now().Before(end.Add(-5 * time.Second)) {
					time.Sleep(secs(w.uniform(1, 8)))
					w.randomTrouble()
				}
			}()
		}
	}
	time.Sleep(time.Until(end))
	w.heal()
	rest := 2*w.site.lease + 40*time.Second
	settled := func() bool {
		w.mu.Lock()
		list := append([]*job(nil), w.order...)
		w.mu.Unlock()
		for _, j := range list {
			if !j.wasAccepted() || w.fails(j) {
				continue
			}
			if j.finalState() != "" {
				continue
			}
			if j.Shape == "service" && w.check.onCount(j.ID, j.Legs) == j.Legs {
				continue
			}
			return false
		}
		return true
	}
	if !w.await("all work is done", rest, settled) {
		w.mu.Lock()
		list := append([]*job(nil), w.order...)
		w.mu.Unlock()
		for _, j := range list {
			if j.wasAccepted() && !w.fails(j) && j.finalState() == "" {
				n := w.check.onCount(j.ID, j.Legs)
				if j.Shape == "service" && n == j.Legs {
					continue
				}
				w.violate("stuck", "%s %s %s legs %d cores %.1f mem %.1f builds %v yard %v scatter %v onezone %v spot %v awaits %v: done %d, on %d", j.ID, j.Shape, j.Crew, j.Legs, j.Cores, j.MemoryGb, j.Builds, deref(j.Yard), j.Scatter, j.OneZone, j.Loaners, j.Awaits, w.check.doneCount(j.ID), n)
			}
		}
	}
}

func deref(s *string) string {
	if s == nil {
		return "-"
	}
	return *s
}

func (w *world) randomWork(end time.Time) {
	cores := pick(w, 1.0, 1.0, 2.0, 4.0, 16.0)
	j := w.newJob(func(j *job) {
		j.Crew = pick(w, w.site.teams...)
		j.Cores, j.MemoryGb = cores, cores
		j.Bundle = fmt.Sprintf("img-%02d", pick(w, 1, 2, 3))
		j.Loaners = w.chance(0.5)
		j.Rank = pick(w, "idle", "normal", "high")
		j.Legs = pick(w, 1, 2, 3, 8, 20, 40)
		if w.chance(0.1) {
			j.Cores, j.MemoryGb, j.Legs = 0.5, 0.5, pick(w, 40, 80)
		}
		if cores > 4 {
			j.Legs, j.Cores, j.MemoryGb = pick(w, 1, 2), cores, cores
		}
		j.run = secs(w.uniform(0.5, 8))
		j.ExpectS = j.run.Seconds()
		if w.chance(0.2) {
			j.WaypointS, j.StashS = 2, 1
		}
		j.mistake = w.chance(0.04)
		if w.chance(0.3) {
			due := j.ExpectS*3 + 20
			j.DueS = &due
		}
		if w.chance(0.25) {
			j.Shape, j.Rank, j.ExpectS, j.Legs, j.Loaners, j.Lane = "service", "prod", 0, pick(w, 1, 2, 3), false, "turn-service"
			j.DueS = nil
			j.Scatter = w.chance(0.6)
			j.Cores, j.MemoryGb = 1, pick(w, 1.0, 3.7)
		} else if w.chance(0.15) {
			j.OneZone = true
		} else if w.chance(0.1) {
			z := pick(w, w.site.zones...)
			if len(w.site.zones) == 2 {
				j.Yard = &z
			}
		}
	})
	if w.chance(0.3) {
		w.mu.Lock()
		for i := len(w.order) - 2; i >= 0 && i > len(w.order)-12; i-- {
			p := w.order[i]
			if p.Shape == "array" && p.wasAccepted() && rng.Float64() < 0.3 {
				j.Awaits = append(j.Awaits, p.ID)
			}
		}
		w.mu.Unlock()
	}
	if !w.submit(j) {
		return
	}
	go w.follow(j)
	if j.Shape == "service" && w.chance(0.6) || w.chance(0.2) {
		go func() {
			time.Sleep(secs(w.uniform(0, 20)))
			w.cancel(j)
		}()
	}
}

func (w *world) heal() {
	w.rec("trouble: all ends")
	w.state.setOutage(false)
	for _, n := range w.nodes {
		w.state.setRefused(n.name, false)
		n.stateLink.set(linkOpen, linkOpen)
		n.cloudLink.set(linkOpen, linkOpen)
		for _, p := range n.peers {
			p.set(linkOpen)
		}
		n.cutUsers(linkOpen)
		n.signal(syscall.SIGCONT)
		n.start()
	}
	w.state.mu.Lock()
	w.state.slow = 0
	w.state.mu.Unlock()
	for _, k := range w.cloud.workers() {
		k.out.set(linkOpen, linkOpen)
		k.in.set(linkOpen, linkOpen)
		k.setHung(false)
		k.setFaulty(false)
	}
}

func (w *world) randomTrouble() {
	n := pick(w, w.nodes...)
	if w.chance(0.5) {
		if x := w.scheduler(); x != nil {
			n = x
		}
	} else if w.chance(0.5) {
		if x := w.leader(); x != nil {
			n = x
		}
	}
	report := w.site.report.Seconds()
	d := secs(w.uniform(0.5, 1) * pick(w, report, report*4, w.site.lease.Seconds()))
	kind := pick(w, "crash", "crash", "crashall", "roll", "pause", "pause", "cutstate", "cutstate", "ackloss", "ackloss", "refused", "outage", "slow", "cutpeers", "cutall", "cutusers",
		"hang", "deaf", "mute", "cutmachine", "die", "spot", "spotwave", "cloudout", "cutcloud", "cutzone", "faulty")
	w.rec("trouble: %s %s for %.1f s", kind, n.name, d.Seconds())
	ks := w.cloud.workers()
	var k *worker
	if len(ks) > 0 {
		k = pick(w, ks...)
	}
	mode := pick(w, linkHold, linkReset)
	switch kind {
	case "crash":
		n.kill()
		time.Sleep(secs(pick(w, 0.05, 0.3, 2, 4)))
		n.start()
	case "crashall":
		for _, x := range w.nodes {
			x.kill()
		}
		for _, x := range w.nodes {
			time.Sleep(secs(w.uniform(0, 1)))
			x.start()
		}
	case "roll":
		for _, x := range w.nodes {
			x.kill()
			time.Sleep(secs(pick(w, 0.3, 2)))
			x.start()
			time.Sleep(secs(report))
		}
	case "pause":
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
	case "cutstate":
		n.stateLink.set(mode, mode)
		time.Sleep(d)
		n.stateLink.set(linkOpen, linkOpen)
	case "ackloss":
		n.stateLink.set(linkOpen, mode)
		time.Sleep(d)
		n.stateLink.set(linkOpen, linkOpen)
	case "refused":
		w.state.setRefused(n.name, true)
		time.Sleep(d)
		w.state.setRefused(n.name, false)
	case "outage":
		w.state.setOutage(true)
		time.Sleep(d)
		w.state.setOutage(false)
	case "slow":
		w.state.mu.Lock()
		w.state.slow = secs(w.uniform(0.1, 0.8) * report / 3)
		w.state.mu.Unlock()
		time.Sleep(d)
		w.state.mu.Lock()
		w.state.slow = 0
		w.state.mu.Unlock()
	case "cutpeers":
		for _, p := range n.peers {
			p.set(mode)
		}
		time.Sleep(d)
		for _, p := range n.peers {
			p.set(linkOpen)
		}
	case "cutall":
		n.stateLink.set(mode, mode)
		n.cloudLink.set(mode, mode)
		n.cutUsers(mode)
		for _, x := range w.nodes {
			for to, p := range x.peers {
				if x == n || to == n.name {
					p.set(mode)
				}
			}
		}
		time.Sleep(d)
		n.stateLink.set(linkOpen, linkOpen)
		n.cloudLink.set(linkOpen, linkOpen)
		n.cutUsers(linkOpen)
		for _, x := range w.nodes {
			for to, p := range x.peers {
				if x == n || to == n.name {
					p.set(linkOpen)
				}
			}
		}
	case "cutusers":
		n.cutUsers(mode)
		time.Sleep(d)
		n.cutUsers(linkOpen)
	case "cutcloud":
		n.cloudLink.set(mode, pick(w, linkOpen, mode))
		time.Sleep(d)
		n.cloudLink.set(linkOpen, linkOpen)
	case "cloudout":
		w.cloud.mu.Lock()
		w.cloud.outage = true
		w.cloud.mu.Unlock()
		time.Sleep(d)
		w.cloud.mu.Lock()
		w.cloud.outage = false
		w.cloud.mu.Unlock()
	case "cutzone":
		z := pick(w, w.site.zones...)
		for _, x := range ks {
			if x.yard == z {
				x.out.set(linkHold, linkHold)
				x.in.set(linkHold, linkHold)
			}
		}
		for _, x := range w.nodes {
			if x.zone == z {
				x.stateLink.set(mode, mode)
				x.cutUsers(mode)
			}
		}
		time.Sleep(d)
		for _, x := range ks {
			x.out.set(linkOpen, linkOpen)
			x.in.set(linkOpen, linkOpen)
		}
		for _, x := range w.nodes {
			x.stateLink.set(linkOpen, linkOpen)
			x.cutUsers(linkOpen)
		}
	case "spotwave":
		for _, x := range ks {
			if x.spot && w.chance(0.5) {
				w.cloud.remove(x.id, "taken back")
			}
		}
	}
	if k == nil {
		return
	}
	switch kind {
	case "faulty":
		k.setFaulty(true)
		time.Sleep(d)
		k.setFaulty(false)
	case "hang":
		k.setHung(true)
		time.Sleep(d)
		k.setHung(false)
	case "deaf":
		k.in.set(linkHold, linkHold)
		time.Sleep(d)
		k.in.set(linkOpen, linkOpen)
	case "mute":
		k.out.set(linkHold, linkHold)
		time.Sleep(d)
		k.out.set(linkOpen, linkOpen)
	case "cutmachine":
		k.out.set(linkHold, linkHold)
		k.in.set(linkHold, linkHold)
		time.Sleep(d)
		k.out.set(linkOpen, linkOpen)
		k.in.set(linkOpen, linkOpen)
	case "die":
		w.cloud.fail(k.id)
	case "spot":
		if k.spot {
			at := time.Now().Add(secs(report))
			k.mu.Lock()
			k.recall = &at
			k.mu.Unlock()
			k.notify()
			time.Sleep(time.Until(at))
			w.cloud.remove(k.id, "taken back after notice")
		}
	}
}

// fails reports whether a job, or one that it needs, was submitted with a mistake.
func (w *world) fails(j *job) bool {
	if j.mistake {
		return true
	}
	for _, p := range j.Awaits {
		if d := w.job(p); d != nil && w.fails(d) {
			return true
		}
	}
	return false
}
