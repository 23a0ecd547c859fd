package main

import (
	"fmt"
	"time"
)

// playFaultyMachine runs three services of six replicas, three of each in either zone. The first
// machine in one zone fails every task, until the controllers return it.
func playFaultyMachine(w *World, trouble bool) error {
	if !w.awaitReady() {
		return errNotSetUp
	}
	const faultyZone = "ruwi"
	var faulty *Worker
	w.mu.Lock()
	w.onUp = func(m *Worker) {
		if trouble && faulty == nil && m.pool.yard == faultyZone {
			faulty = m
			m.faulty = true
			w.logLocked("worker %s is faulty", m.id)
		}
	}
	w.mu.Unlock()
	var ids []string
	var checks []*waitingCheck
	for i := range 3 {
		service := &Job{ID: fmt.Sprintf("req-%06d", i+1), Lane: "turn-service", Crew: "platform", Shape: "service", Rank: "prod", Legs: 6,
			Cores: 2, MemoryGB: 3.7, Bundle: "turn", SizeGB: 0.7, Scatter: true}
		if !w.submit(service) {
			return errNotSetUp
		}
		ids = append(ids, service.ID)
		checks = append(checks, &waitingCheck{world: w, job: service, teamMost: 900})
	}
	if trouble {
		returned := func() bool {
			w.mu.Lock()
			m := faulty
			w.mu.Unlock()
			if m == nil {
				return false
			}
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.dead
		}
		if !w.await("the faulty machine is returned", 60*time.Second, returned) {
			return errNotSetUp
		}
	}
	return w.watch(118*time.Second-time.Since(w.begun), ids, checks...)
}
