package autoscaler

import (
	"fmt"
	"log/slog"
	"math"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/placement"
	"lynxledge/internal/planner"
	"lynxledge/internal/recovery"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// logPlanningCycle logs what a pass saw.
func (r *Autoscaler) logPlanningCycle(in *planner.Input, p *planner.Plan) {
	if !slog.Default().Enabled(r.ctx, slog.LevelDebug) {
		return
	}
	starting, idle, tasks, waiting := 0, 0, 0, 0
	for i := range in.Machines {
		m := &in.Machines[i]
		tasks += len(m.Tasks)
		switch {
		case m.ReadyIn > 0:
			starting++
		case len(m.Tasks) == 0:
			idle++
		}
	}
	for i := range in.Demands {
		waiting += in.Demands[i].Count
	}
	rents := 0
	for _, rent := range p.ScaleOut {
		rents += rent.Count
	}
	slog.Debug("pass", "machines", len(in.Machines), "starting", starting, "idle", idle, "tasks", tasks, "demands", len(in.Demands),
		"waiting", waiting, "rent", rents, "return", len(p.ScaleIn), "unmet", p.Unmet)
}

// planningInput puts together what the plan looks at.
func (r *Autoscaler) planningInput() planner.Input {
	now := time.Now()
	ops := r.config.Operator
	in := planner.Input{
		Types: r.machineTypes, BootLag: ops.BootLag.Seconds(), PlanningInterval: ops.PlanningInterval.Seconds(), BillingPeriod: ops.BillingPeriod.Seconds(), HeadroomShare: ops.HeadroomShare, MaxPriceMultiple: ops.MaxPriceMultiple,
		Refused: func(p resources.Pool) bool { return now.Before(r.exhaustedPools[p]) },
	}
	if recovery.Recovering(r.view.ZoneRecoveries) {
		in.Avoided = func(zone wire.Zone) bool { return r.zoneRecovery.IsLost(r.view.ZoneRecoveries, zone) }
	}
	withheld := r.zoneRecovery.WithheldFor(now, r.view)
	pools := map[resources.Pool]bool{}
	for _, b := range r.view.Machines {
		if b.Schedulable() {
			pools[resources.Pool{MachineType: b.MachineType, Zone: b.Zone, Spot: b.Spot}] = true
		}
	}
	add := func(id wire.JobID, j *statecache.Job, wait time.Duration) {
		n := r.view.PendingTasks(id, j)
		if n <= 0 {
			return
		}
		// The first deadline that a machine rented now can still keep.
		age, due := config.Milliseconds(int64(statecache.TimestampOf(now)-j.RunnableSince())), time.Duration(0)
		runSeconds := r.runtimes.Estimate(j.Spec)
		run := config.Seconds(runSeconds)
		deadlines := estimate.Deadlines(r.config, j, run, age, age+wait)
		for _, d := range deadlines {
			if due = d - age; ops.BootLag+run <= due {
				break
			}
		}
		in.Demands = append(in.Demands, planner.Demand{
			Job: j.Spec, Count: r.limitedByQuota(j, n), Runtime: runSeconds, Zones: placement.ZoneCountsOf(r.view, id),
			Deadline: due.Seconds(), Late: !j.Spec.IsService() && ops.BootLag+run > due, Overdue: age > overdueDeadlineMultiple*deadlines[len(deadlines)-1] && !r.hasSuitableMachine(j.Spec, pools),
		})
	}
	for id, j := range r.activeJobs {
		add(id, j, 0)
	}
	// A stage that is not ready yet has its load in its own window: its machines are
	// rented when they would be up as it becomes ready, not long before.
	for id, h := range r.dependencyWaits(now) {
		r.logDeadlineRisk(id, h, now)
		if wait := config.Seconds(h.Wait); wait <= ops.BootLag+ops.PlanningInterval {
			add(id, r.blockedJobs[id], wait)
		}
	}
	for name, b := range r.view.Machines {
		m := planner.Machine{
			Name: name, Pool: resources.Pool{MachineType: b.MachineType, Zone: b.Zone, Spot: b.Spot},
			Age: (float64(now.UnixMilli()) - float64(b.ProvisionedAt)) / 1000, Schedulable: b.DrainReason == "" && !b.Terminating && !b.Suspected,
		}
		if b.Incarnation == 0 {
			m.ReadyIn = math.Max(0, r.bootSeconds(b.MachineType)-m.Age)
			// A boot that drags on may never end: it covers no load any more.
			m.Schedulable = m.Schedulable && !r.isBootOverdue(b, now)
		}
		m.ReadyIn = max(m.ReadyIn, withheld[name])
		for i := range b.Bindings {
			t := &b.Bindings[i]
			j := r.view.Jobs[t.Job]
			if j == nil || j.Spec == nil {
				continue
			}
			if b.Suspected && j.Active() && j.Spec.IsService() { // may have to be replaced
				zones := placement.ZoneCountsOf(r.view, t.Job)
				zones[b.Zone]--
				in.Demands = append(in.Demands, planner.Demand{Job: j.Spec, Count: 1, Zones: zones})
			}
			left := math.Inf(1)
			if !j.Spec.IsService() {
				left = math.Max(0, r.runtimes.Estimate(j.Spec)-now.Sub(r.boundSince[t.TaskID()]).Seconds())
			}
			m.Tasks = append(m.Tasks, planner.RunningTask{Job: j.Spec, Remaining: left})
		}
		in.Machines = append(in.Machines, m)
	}
	for _, intent := range r.view.ProvisioningIntents { // rented, though not known by name yet
		for i := range intent.Count {
			in.Machines = append(in.Machines, planner.Machine{
				Name: wire.MachineID(fmt.Sprintf("rented-%d", i)), Pool: poolOf(intent), Schedulable: true,
				ReadyIn: r.bootSeconds(intent.MachineType),
			})
		}
	}
	return in
}

// dependencyWaits tells in how many seconds each blocked job could run.
func (r *Autoscaler) dependencyWaits(now time.Time) map[wire.JobID]estimate.DependencyWait {
	if len(r.blockedJobs) == 0 {
		return nil
	}
	run := func(id wire.JobID) float64 {
		if j := r.view.Jobs[id]; j != nil && j.Spec != nil {
			return r.runtimes.Estimate(j.Spec)
		}
		return 0
	}
	left := func(id wire.JobID) float64 {
		j, whole := r.activeJobs[id], run(id)
		if j == nil {
			return 0
		}
		if r.view.PendingTasks(id, j) > 0 {
			return whole
		}
		most := 0.0
		for n := range r.view.Bindings[id] {
			most = max(most, whole-now.Sub(r.boundSince[wire.NewTaskID(id, n)]).Seconds())
		}
		return most
	}
	return estimate.DependencyWaits(r.blockedJobs, r.view.Active, left, run)
}

// logDeadlineRisk says early that a pipeline will miss its deadline, and which stage makes
// it: once for each change.
func (r *Autoscaler) logDeadlineRisk(last wire.JobID, h estimate.DependencyWait, now time.Time) {
	j := r.blockedJobs[last]
	if j.Spec.Deadline == nil {
		return
	}
	end := float64(statecache.TimestampOf(now)-j.SubmittedAt)/1000 + h.Wait + r.runtimes.Estimate(j.Spec)
	late := end - float64(*j.Spec.Deadline)
	by := wire.JobID("")
	if late > 0 {
		by = h.BlockedBy
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

// overdueDeadlineMultiple is how many times its last deadline a job may wait for cheap
// machines before any machine will do.
const overdueDeadlineMultiple = 4

// hasSuitableMachine tells whether any machine that is up may run the job's tasks: then it
// waits its turn, however late it is. Dearer machines would not make it any
// less late.
func (r *Autoscaler) hasSuitableMachine(j *wire.Job, pools map[resources.Pool]bool) bool {
	for i := range r.machineTypes {
		t := &r.machineTypes[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				if pools[resources.Pool{MachineType: t.Name, Zone: z, Spot: spot}] && placement.Allowed(j, t.Name, z, spot) && resources.OfTask(j).Fits(resources.OfMachineType(t)) {
					return true
				}
			}
		}
	}
	return false
}

// limitedByQuota is how many of n waiting tasks the team's limit lets run at once.
func (r *Autoscaler) limitedByQuota(j *statecache.Job, n int) int {
	team, ok := r.config.Params.TeamQuota(j.Spec.Team)
	if ok && team.MaxCPUs > 0 {
		n = min(n, int(team.MaxCPUs/j.Spec.CPUs))
	}
	if ok && team.MaxGPUs > 0 && j.Spec.GPUs > 0 {
		n = min(n, int(team.MaxGPUs/j.Spec.GPUs))
	}
	return n
}
