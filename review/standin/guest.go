package main

import "time"

// playGuest runs a job of large tasks, and then, on the machines rented for it, the small and long
// tasks of a guest team. Another job of large tasks follows.
func playGuest(w *World, trouble bool) error {
	if !w.awaitReady() {
		return errNotSetUp
	}
	kality := "kality"
	due := 65.0
	replay := func(id string, legs int, run time.Duration) *Job {
		return &Job{ID: id, Lane: "replay-scan", Crew: "matchmaking", Shape: "array", Rank: "normal", Legs: legs,
			Cores: 4, MemoryGB: 29, Bundle: "replay", SizeGB: 0.8, Builds: []string{"entoto-big"}, Yard: &kality, Loaners: true, ExpectS: 20, DueS: &due, RunFor: run}
	}
	first := replay("req-000001", 120, 8*time.Second)
	sweep := &Job{ID: "req-000002", Lane: "physics-sweep", Crew: "campus-lab", Shape: "array", Rank: "idle", Legs: 480,
		Cores: 1, MemoryGB: 7.2, Bundle: "sweep", SizeGB: 0.5, Builds: []string{"entoto-big"}, Yard: &kality, Loaners: true,
		ExpectS: 300, Waypoint: 30, Stash: 3, RunFor: 300 * time.Second}
	last := replay("req-000003", 4, 15*time.Second)
	if !w.submit(first) {
		return errNotSetUp
	}
	if !w.await("the first job runs", 40*time.Second, func() bool { return w.onMachines(first.ID) >= 60 }) {
		return errNotSetUp
	}
	if trouble && !w.submit(sweep) {
		return errNotSetUp
	}
	if !w.await("the first job is over", 60*time.Second, func() bool { _, n := w.counts(first.ID); return n == first.Legs }) {
		return errNotSetUp
	}
	time.Sleep(4 * time.Second)
	w.log("%d tasks of %s are on machines", w.onMachines(sweep.ID), sweep.ID)
	if !w.submit(last) {
		return errNotSetUp
	}
	return w.watch(118*time.Second-time.Since(w.begun), []string{last.ID}, &waitingCheck{world: w, job: last, teamMost: 1e9})
}
