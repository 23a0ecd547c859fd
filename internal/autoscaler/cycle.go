package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/overload"
	"lynxledge/internal/planner"
)

// maxSkippedCycles bounds for how many planning cycles planning waits for processor time.
const maxSkippedCycles = 4

// runCycle is one cycle of the design's loop.
func (r *Autoscaler) runCycle() {
	if !r.isLeader() || len(r.machineTypes.types) == 0 {
		return
	}
	r.listInstances()
	for name, intent := range r.view.ProvisioningIntents {
		r.provision(name, intent) // repeats a lost call, of this leader or of an earlier one
	}
	r.planAndApply()
}

// planAndApply plans and acts on the plan.
func (r *Autoscaler) planAndApply() {
	if !r.isLeader() || len(r.machineTypes.types) == 0 || r.deferPlanning() {
		return
	}
	now := time.Now()
	r.lastPlanned = now
	waits := r.jobs.dependencyWaits(r.view, now)
	r.logDeadlineRisks(waits, now)
	in := r.planningInput(now, waits)
	plan := planner.Compute(in)
	r.logPlanningCycle(&in, &plan)
	r.scaleOut(plan.ScaleOut)
	for _, machine := range plan.ScaleIn {
		r.scaleIn(machine, drainReasonIdle)
	}
	r.scaleInDrained()
}

// deferPlanning tells whether planning should wait, because the processor has more urgent
// work to do.
func (r *Autoscaler) deferPlanning() bool {
	longest := r.config.Operator.PlanningIntervals(maxSkippedCycles)
	return r.overload.Level() >= overload.Behind && time.Since(r.lastPlanned) < longest
}

// logPlanningCycle logs what a planning cycle saw and decided.
func (r *Autoscaler) logPlanningCycle(in *planner.Input, plan *planner.Plan) {
	if !slog.Default().Enabled(r.ctx, slog.LevelDebug) {
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
