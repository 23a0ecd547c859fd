package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/overload"
	"lynxledge/internal/planner"
)

// maxSkippedCycles is the maximum time, in planning cycles, that planning is put off while CPU time
// is short.
const maxSkippedCycles = 4

// runCycle runs one planning cycle: it lists the cloud's instances, calls the cloud for stored
// intents, and plans.
func (a *Autoscaler) runCycle() {
	if !a.isConfirmedLeader() || len(a.machineTypes.types) == 0 {
		return
	}
	a.listInstances()
	for name, intent := range a.view.ProvisioningIntents {
		a.provision(name, intent) // repeats a call whose outcome is unknown, of this leader or an earlier one
	}
	a.planAndApply()
}

// planAndApply computes a plan and carries it out.
func (a *Autoscaler) planAndApply() {
	if !a.isConfirmedLeader() || len(a.machineTypes.types) == 0 || a.deferPlanning() {
		return
	}
	now := time.Now()
	a.lastPlanned = now
	a.judgeFailedJobs(now)
	waits := a.jobs.dependencyWaits(a.view, now)
	a.logDeadlineRisks(waits, now)
	in := a.planningInput(now, waits)
	plan := planner.Compute(in)
	a.logPlanningCycle(&in, &plan)
	a.scaleOut(plan.ScaleOut)
	for _, machine := range plan.ScaleIn {
		a.scaleIn(machine, drainReasonIdle)
	}
	a.scaleInDrained()
}

// deferPlanning reports whether to put planning off, because CPU time is short and other work is
// more urgent.
func (a *Autoscaler) deferPlanning() bool {
	maxDelay := a.config.Operator.PlanningIntervals(maxSkippedCycles)
	return a.overload.Level() >= overload.Behind && time.Since(a.lastPlanned) < maxDelay
}

// logPlanningCycle logs the input and the result of a planning cycle.
func (a *Autoscaler) logPlanningCycle(in *planner.Input, plan *planner.Plan) {
	if !slog.Default().Enabled(a.ctx, slog.LevelDebug) {
		return
	}
	booting, idle, tasks := 0, 0, 0
	for i := range in.Machines {
		m := &in.Machines[i]
		tasks += len(m.Tasks)
		switch {
		case m.ReadyInSeconds > 0:
			booting++
		case len(m.Tasks) == 0:
			idle++
		}
	}
	waitingTasks, scaleOut := 0, 0
	for i := range in.Demands {
		waitingTasks += in.Demands[i].Count
	}
	for i := range plan.ScaleOut {
		scaleOut += plan.ScaleOut[i].Count
	}
	slog.Debug("planning cycle finished",
		"machines", len(in.Machines),
		"booting", booting,
		"idle", idle,
		"tasks", tasks,
		"demands", len(in.Demands),
		"waiting_tasks", waitingTasks,
		"scale_out", scaleOut,
		"scale_in", len(plan.ScaleIn),
		"unmet_tasks", plan.UnmetTasks)
}
