package main

import "time"

// fullRecord puts the many small replicas of a service on one machine, and a small array beside them,
// crashes the leader, and looks whether jobs whose tasks have completed are called done.
func fullRecord(w *world, trouble bool, _ time.Duration) {
	w.begin()
	ruwi := "ruwi" // with a single machine that isn't cheap
	service := w.newJob(func(j *job) {
		j.Lane, j.Crew, j.Shape, j.Rank, j.ExpectS = "turn-service", "mapcraft", "service", "prod", 0
		j.Legs, j.Cores, j.MemoryGb, j.SizeGb, j.Yard = 460, 0.1, 0.1, 0.7, &ruwi
		if w.site.nextValueKB > 0 {
			j.Legs, j.Cores, j.MemoryGb = 115, 0.5, 0.5
		}
	})
	array := w.newJob(func(j *job) {
		j.Lane, j.Crew, j.Rank, j.Legs, j.Cores, j.MemoryGb, j.Yard = "reroute-batch", "dispatch", "normal", 2, 0.1, 0.1, &ruwi
		j.ExpectS, j.run = 30, 30*time.Second
	})
	w.submit(service)
	go w.follow(service)
	w.submit(array)
	go w.follow(array)
	if !w.await("all replicas and the array run", 30*time.Second, func() bool {
		return w.check.onCount(service.ID, service.Legs) == service.Legs && w.check.onCount(array.ID, array.Legs) == array.Legs
	}) {
		fatal("the work does not run")
	}
	if n := w.leader(); trouble && n != nil {
		n.kill()
		time.Sleep(4 * time.Second)
		n.start()
	}
	w.await("the array's tasks have completed", 45*time.Second, func() bool { return w.check.doneCount(array.ID) == array.Legs })
	time.Sleep(3 * time.Second)
	// Work that has nothing to do with that machine, for the record.
	after := w.newJob(func(j *job) {
		j.Lane, j.Crew, j.Rank, j.Legs, j.Cores, j.MemoryGb = "urgent-reroute", "probes", "high", 4, 1, 1.5
		j.ExpectS, j.run, j.Loaners = 2, 2*time.Second, true
	})
	w.submit(after)
	go w.follow(after)
	time.Sleep(time.Until(w.begun.Add(105 * time.Second)))
	w.lateDone()
}

// lateDone reports jobs whose last task has completed at least 20 s ago and that are not called done:
// the page allows 3 s. Cancelled jobs don't count.
func (w *world) lateDone() {
	w.mu.Lock()
	list := append([]*job(nil), w.order...)
	w.mu.Unlock()
	for _, j := range list {
		w.check.mu.Lock()
		at := w.check.doneAt[j.ID]
		w.check.mu.Unlock()
		w.rec("case: %s (%s, %d tasks of %.1f cores): %d completed, %d on machines, last told %q", j.ID, j.Shape, j.Legs, j.Cores, w.check.doneCount(j.ID), w.check.onCount(j.ID, j.Legs), j.finalState())
		if !at.IsZero() && time.Since(at) > 20*time.Second && j.finalState() == "" {
			w.violate("done_after_3s", "all %d tasks of %s completed %.1f s ago, and its user is not told done", j.Legs, j.ID, time.Since(at).Seconds())
		}
	}
}
