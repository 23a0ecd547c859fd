package main

import "time"

// mistakes has three jobs that were submitted with a mistake fail on the only machine that they may use,
// cancels them, and looks whether a sound job that may use only that machine ever runs.
func mistakes(w *world, trouble bool, _ time.Duration) {
	w.begin()
	ruwi := "ruwi" // with a single machine that isn't cheap
	service := w.newJob(func(j *job) {
		j.Lane, j.Crew, j.Shape, j.Rank, j.ExpectS = "turn-service", "mapcraft", "service", "prod", 0
		j.Legs, j.Cores, j.MemoryGb, j.SizeGb, j.Scatter = 2, 2, 3.7, 0.7, true
	})
	w.submit(service)
	go w.follow(service)
	if !w.await("the service runs", 40*time.Second, func() bool { return w.check.onCount(service.ID, service.Legs) == service.Legs }) {
		fatal("the service does not run")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		var wrong []*job
		for range 3 {
			j := w.newJob(func(j *job) {
				j.Lane, j.Crew, j.Rank, j.Legs, j.Cores, j.MemoryGb, j.Yard = "reroute-batch", "dispatch", "normal", 1, 4, 4, &ruwi
				j.ExpectS, j.run, j.mistake = 30, 30*time.Second, true
			})
			w.submit(j)
			go w.follow(j)
			wrong = append(wrong, j)
		}
		time.Sleep(15 * time.Second)
		for _, j := range wrong {
			w.cancel(j)
		}
	}
	time.Sleep(5 * time.Second)
	sound := w.newJob(func(j *job) {
		j.Lane, j.Crew, j.Rank, j.Legs, j.Cores, j.MemoryGb, j.Yard = "urgent-reroute", "probes", "high", 2, 1, 1.5, &ruwi
		j.ExpectS, j.run = 2, 2*time.Second
	})
	w.submit(sound)
	go w.follow(sound)
	second := w.newJob(func(j *job) {
		j.Lane, j.Crew, j.Shape, j.Rank, j.ExpectS = "turn-service", "mapcraft", "service", "prod", 0
		j.Legs, j.Cores, j.MemoryGb, j.SizeGb, j.Scatter = 2, 2, 3.7, 0.7, true
	})
	w.submit(second)
	go w.follow(second)
	time.Sleep(time.Until(w.begun.Add(108 * time.Second)))
	w.rec("case: second service: %d of %d replicas run", w.check.onCount(second.ID, second.Legs), second.Legs)
	if w.check.doneCount(sound.ID) < sound.Legs {
		w.violate("accepted_job_must_run", "%s, accepted at the beginning of the last minute, has %d of %d tasks done and %d on machines", sound.ID, w.check.doneCount(sound.ID), sound.Legs, w.check.onCount(sound.ID, sound.Legs))
	}
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
