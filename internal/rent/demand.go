package rent

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"lynxledge/internal/place"
	"lynxledge/internal/plan"
	"lynxledge/internal/recovery"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// logPass logs what a pass saw.
func (r *Renter) logPass(in *plan.Input, p *plan.Plan) {
	if !slog.Default().Enabled(r.ctx, slog.LevelDebug) {
		return
	}
	starting, idle, tasks, waiting := 0, 0, 0, 0
	for i := range in.Machines {
		m := &in.Machines[i]
		tasks += len(m.Tasks)
		switch {
		case m.ReadyS > 0:
			starting++
		case len(m.Tasks) == 0:
			idle++
		}
	}
	for i := range in.Demands {
		waiting += in.Demands[i].Count
	}
	rents := 0
	for _, rent := range p.Rent {
		rents += rent.Count
	}
	slog.Debug("pass", "machines", len(in.Machines), "starting", starting, "idle", idle, "tasks", tasks, "demands", len(in.Demands),
		"waiting", waiting, "rent", rents, "return", len(p.Return), "unmet", p.Unmet)
}

// input puts together what the plan looks at.
func (r *Renter) input() plan.Input {
	now := time.Now()
	ops := r.cfg.Operator
	in := plan.Input{
		Types: r.types, LagS: ops.BootLag, PassS: ops.PlanningInterval, BillingS: ops.BillingPeriod, Headroom: ops.HeadroomShare, Premium: ops.MaxPriceMultiple,
		Refused: func(p plan.Pool) bool { return now.Before(r.refused[p]) },
	}
	if recovery.Recovering(r.view.ZoneRecoveries) {
		in.Avoided = func(zone string) bool { return r.zones.Lost(r.view.ZoneRecoveries, zone) }
	}
	withheld := r.zones.WithheldS(now, r.view)
	pools := map[plan.Pool]bool{}
	for _, b := range r.view.Machines {
		if b.Schedulable() {
			pools[plan.Pool{Type: b.MachineType, Zone: b.Zone, Spot: b.Spot}] = true
		}
	}
	add := func(id string, j *statecache.Job, startS float64) {
		n := r.view.PendingTasks(id, j)
		if n <= 0 {
			return
		}
		// The first deadline that a machine rented now can still keep.
		age, due := float64(now.UnixMilli()-j.RunnableSince())/1000, 0.0
		run := r.runs.RunS(j.Spec)
		deadlines := place.Deadlines(r.cfg, j, run, age, age+startS)
		for _, d := range deadlines {
			if due = d - age; ops.BootLag+run <= due {
				break
			}
		}
		in.Demands = append(in.Demands, plan.Demand{
			Job: j.Spec, Count: r.limited(j, n), RunS: run, Zones: place.ZonesOf(r.view, id),
			DeadlineS: due, Late: !j.Spec.IsService() && ops.BootLag+run > due, Overdue: age > overdueTimes*deadlines[len(deadlines)-1] && !r.served(j.Spec, pools),
		})
	}
	for id, j := range r.active {
		add(id, j, 0)
	}
	// A stage that is not ready yet has its load in its own window: its machines are
	// rented when they would be up as it becomes ready, not long before.
	for id, h := range r.readyIn(now) {
		r.reportLateness(id, h, now)
		if h.S <= ops.BootLag+ops.PlanningInterval {
			add(id, r.blocked[id], h.S)
		}
	}
	for name, b := range r.view.Machines {
		m := plan.Machine{
			Name: name, Pool: plan.Pool{Type: b.MachineType, Zone: b.Zone, Spot: b.Spot},
			AgeS: (float64(now.UnixMilli()) - float64(b.ProvisionedAt)) / 1000, Open: b.DrainReason == "" && !b.Terminating && !b.Suspected,
		}
		if b.Incarnation == 0 {
			m.ReadyS = math.Max(0, r.bootS(b.MachineType)-m.AgeS)
			// A boot that drags on may never end: it covers no load any more.
			m.Open = m.Open && !r.bootOverdue(b, now)
		}
		m.ReadyS = max(m.ReadyS, withheld[name])
		for i := range b.Bindings {
			t := &b.Bindings[i]
			j := r.view.Jobs[t.Job]
			if j == nil || j.Spec == nil {
				continue
			}
			if b.Suspected && j.Active() && j.Spec.IsService() { // may have to be replaced
				zones := place.ZonesOf(r.view, t.Job)
				zones[b.Zone]--
				in.Demands = append(in.Demands, plan.Demand{Job: j.Spec, Count: 1, Zones: zones})
			}
			left := math.Inf(1)
			if !j.Spec.IsService() {
				left = math.Max(0, r.runs.RunS(j.Spec)-now.Sub(r.since[t.TaskName()]).Seconds())
			}
			m.Tasks = append(m.Tasks, plan.Held{Job: j.Spec, LeftS: left})
		}
		in.Machines = append(in.Machines, m)
	}
	for _, intent := range r.view.ProvisioningIntents { // rented, though not known by name yet
		for i := range intent.Count {
			in.Machines = append(in.Machines, plan.Machine{
				Name: fmt.Sprintf("rented-%d", i), Pool: poolOf(intent), Open: true,
				ReadyS: r.bootS(intent.MachineType),
			})
		}
	}
	return in
}

// readyIn tells in how many seconds each blocked job could run.
func (r *Renter) readyIn(now time.Time) map[string]place.Held {
	if len(r.blocked) == 0 {
		return nil
	}
	run := func(id string) float64 {
		if j := r.view.Jobs[id]; j != nil && j.Spec != nil {
			return r.runs.RunS(j.Spec)
		}
		return 0
	}
	left := func(id string) float64 {
		j, whole := r.active[id], run(id)
		if j == nil {
			return 0
		}
		if r.view.PendingTasks(id, j) > 0 {
			return whole
		}
		most := 0.0
		for n := range r.view.Bindings[id] {
			most = max(most, whole-now.Sub(r.since[wire.TaskName(id, n)]).Seconds())
		}
		return most
	}
	return place.ReadyIn(r.blocked, r.view.Active, left, run)
}

// reportLateness says early that a pipeline will miss its deadline, and which stage makes
// it: once for each change.
func (r *Renter) reportLateness(last string, h place.Held, now time.Time) {
	j := r.blocked[last]
	if j.Spec.Deadline == nil {
		return
	}
	end := float64(now.UnixMilli()-j.SubmittedAt)/1000 + h.S + r.runs.RunS(j.Spec)
	late := end - *j.Spec.Deadline
	by := ""
	if late > 0 {
		by = h.By
	}
	if r.latePipelines[last] == by {
		return
	}
	if by == "" {
		delete(r.latePipelines, last)
		slog.Info("pipeline is in time again", "last", last, "class", j.Spec.Class)
		return
	}
	r.latePipelines[last] = by
	slog.Info("pipeline will miss its deadline", "last", last, "class", j.Spec.Class, "held_up_by", by, "late_s", math.Ceil(late))
}

// overdueTimes is how many times its last deadline a job may wait for cheap
// machines before any machine will do.
const overdueTimes = 4

// served tells whether any machine that is up may run the job's tasks: then it
// waits its turn, however late it is. Dearer machines would not make it any
// less late.
func (r *Renter) served(j *wire.Job, pools map[plan.Pool]bool) bool {
	for i := range r.types {
		t := &r.types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if pools[plan.Pool{Type: t.Name, Zone: z, Spot: spot}] && place.Allowed(j, t.Name, z, spot) && place.RequestOf(j).Fits(place.Capacity(t)) {
					return true
				}
			}
		}
	}
	return false
}

// limited is how many of n waiting tasks the team's limit lets run at once.
func (r *Renter) limited(j *statecache.Job, n int) int {
	team, ok := r.cfg.Params.TeamQuota(j.Spec.Team)
	if ok && team.MaxCPUs > 0 {
		n = min(n, int(team.MaxCPUs/j.Spec.CPUs))
	}
	if ok && team.MaxGPUs > 0 && j.Spec.GPUs > 0 {
		n = min(n, int(team.MaxGPUs/j.Spec.GPUs))
	}
	return n
}
