package main

import (
	"errors"
	"time"
)

// Errors of a case that could not run.
var (
	errNotSetUp = errors.New("the deployment did not reach the state that the case begins with")
	errTooLate  = errors.New("the deployment reached the state that the case begins with too late")
)

func (w *World) awaitReady() bool {
	for _, n := range w.nodes {
		if !w.await(n.name+" ready", 15*time.Second, func() bool { return w.ready(n) }) {
			return false
		}
	}
	return true
}

// watch polls jobs every 5 s and checks that none is left waiting, until each check's job has all
// its tasks on machines or completed, or limit is over. It fails if limit is too short for the bound.
func (w *World) watch(limit time.Duration, ids []string, checks ...*waitingCheck) error {
	if limit < waitBound+time.Second {
		return errTooLate
	}
	lastPoll := time.Time{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		waiting := false
		for _, c := range checks {
			waiting = waiting || c.isWaiting()
			if c.observe() >= waitBound {
				w.violate("%s has been left waiting for %v, while %s has room and its team is under its limit", c.job.ID, waitBound, c.roomOn())
				return nil
			}
		}
		if !waiting {
			w.log("all tasks are on machines or completed")
			return nil
		}
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			for _, id := range ids {
				w.poll(id)
			}
		}
	}
	w.log("the watch is over")
	return nil
}

// playFullRecord runs many small tasks on one machine, ends all controllers, which are back 4 s
// later, and then asks for more work on another machine that has room.
func playFullRecord(w *World, trouble bool) error {
	if !w.awaitReady() {
		return errNotSetUp
	}
	ruwi, seeb := "ruwi", "seeb"
	service := &Job{ID: "req-000001", Lane: "turn-service", Crew: "platform", Shape: "service", Rank: "prod", Legs: 1,
		Cores: 2, MemoryGB: 3.7, Bundle: "turn", SizeGB: 0.7, Builds: []string{"dhow-mid"}, Yard: &seeb, Scatter: true}
	short := &Job{ID: "req-000002", Lane: "urgent-reroute", Crew: "dispatch", Shape: "array", Rank: "high", Legs: 4,
		Cores: 1, MemoryGB: 1.5, Bundle: "corridor", SizeGB: 0.5, Builds: []string{"dhow-large"}, Yard: &ruwi, Loaners: true, ExpectS: 15, RunFor: 10 * time.Second}
	small := &Job{ID: "req-000003", Lane: "corridor-sim", Crew: "dispatch", Shape: "array", Rank: "normal", Legs: 110,
		Cores: 0.25, MemoryGB: 0.45, Bundle: "corridor", SizeGB: 0.5, Builds: []string{"dhow-large"}, Yard: &ruwi, Loaners: true, ExpectS: 300, RunFor: 300 * time.Second}
	late := &Job{ID: "req-000004", Lane: "urgent-reroute", Crew: "platform", Shape: "array", Rank: "high", Legs: 1,
		Cores: 1, MemoryGB: 1.5, Bundle: "turn", SizeGB: 0.7, Builds: []string{"dhow-mid"}, Yard: &seeb, ExpectS: 15, RunFor: 15 * time.Second}
	for _, j := range []*Job{short, small, service} {
		if !w.submit(j) {
			return errNotSetUp
		}
	}
	filled := func() bool {
		started, _ := w.counts(small.ID)
		s, _ := w.counts(short.ID)
		return w.onMachines(service.ID) == 1 && s == 4 && started >= 95
	}
	if !w.await("the tasks run", 30*time.Second, filled) {
		return errNotSetUp
	}
	if trouble {
		for _, n := range w.nodes {
			w.kill(n)
		}
		time.Sleep(4 * time.Second)
		for _, n := range w.nodes {
			if err := w.start(n); err != nil {
				return err
			}
		}
		if !w.awaitReady() {
			return errNotSetUp
		}
	}
	if !w.await("the tasks of "+short.ID+" are completed", 20*time.Second, func() bool { _, ended := w.counts(short.ID); return ended == short.Legs }) {
		return errNotSetUp
	}
	time.Sleep(2 * time.Second) // the report of that has arrived
	if !w.submit(late) {
		return errNotSetUp
	}
	return w.watch(118*time.Second-time.Since(w.begun), []string{short.ID, late.ID}, &waitingCheck{world: w, job: late, teamMost: 900})
}
