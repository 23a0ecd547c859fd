package place

import (
	"math"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// mine lists the teams that this process may place: their assignments name
// it, and the view has every bind made under earlier ones.
func (p *Placer) mine() map[string]*statecache.Assignment {
	out := map[string]*statecache.Assignment{}
	for team, h := range p.view.Assignments {
		if h.Incarnation == p.boot && p.epoch >= h.ModRevision {
			out[team] = h
		}
	}
	return out
}

type waiting struct {
	id         string
	job        *statecache.Job
	assignment uint64 // stamp of the team's assignment
	late       int    // how many of its deadlines it is not to keep
	deadline   float64
	claim      claimant
	most       int  // tasks to place at most
	goesFirst  bool // a service, while zones recover
}

// queue orders the jobs that have tasks to place: by priority, then earliest
// deadline first. Under overload plain EDF makes every job late; so the largest
// of those that can't all be in time give way. None gives way for ever: one that
// has waited for three leases without a single start goes first in its priority with
// one task, or the largest would starve behind all that are smaller. More than
// that would make the whole queue late again.
//
// While zones recover, services go before all arrays, whatever their priority.
func (p *Placer) queue(mine map[string]*statecache.Assignment, now time.Time) []waiting {
	if len(mine) == 0 {
		return nil
	}
	var q []waiting
	starved := 3 * p.cfg.Params.Workers.LeaseDuration
	for id, j := range p.active {
		if mine[j.Spec.Team] == nil {
			continue
		}
		left := p.view.PendingTasks(id, j)
		if left <= 0 {
			continue
		}
		if f := p.failed[id]; f != nil && now.Before(f.until) {
			continue
		}
		if now.Before(p.gaveWay[id]) {
			continue
		}
		w := waiting{id: id, job: j, assignment: mine[j.Spec.Team].ModRevision, most: left}
		if p.advice != nil && j.Spec.IsService() {
			w.goesFirst, w.deadline = true, float64(p.advice.Position(id))
			q = append(q, w)
			continue
		}
		run := p.runs.RunS(j.Spec)
		age := float64(now.UnixMilli()-j.RunnableSince()) / 1000
		if age > starved && left == j.TaskCount {
			w.late, w.deadline = -1, float64(j.RunnableSince())
			if !j.Spec.IsService() {
				w.most = 1
			}
			q = append(q, w)
			continue
		}
		w.claim = claimant{work: run * float64(left) / p.slots(j.Spec), run: run}
		for _, d := range Deadlines(p.cfg, j, run, age, age) {
			w.claim.due = append(w.claim.due, d-age)
		}
		q = append(q, w)
	}
	order(q) // a fixed order among equals
	// What runs already is half done, taken all together.
	from := 0.0
	for id, j := range p.active {
		if n := len(p.view.Bindings[id]); n > 0 && !j.Spec.IsService() {
			from += p.runs.RunS(j.Spec) / 2 * float64(n) / p.slots(j.Spec)
		}
	}
	for i := 0; i < len(q); {
		k := i
		for k < len(q) && q[k].goesFirst == q[i].goesFirst && q[k].job.Spec.Priority == q[i].job.Spec.Priority {
			k++
		}
		from = p.judgeRank(q[i:k], from, now)
		i = k
	}
	order(q)
	return q
}

// judgeRank tells of the waiting jobs of one priority which deadline each is to
// keep, given when the priorities above leave the cluster to it, and returns when
// this one does.
func (p *Placer) judgeRank(q []waiting, from float64, now time.Time) float64 {
	var claims []claimant
	var of []int
	for i := range q {
		if q[i].late < 0 {
			from += q[i].claim.work
		} else if !q[i].job.Spec.IsService() {
			claims = append(claims, q[i].claim)
			of = append(of, i)
		}
	}
	stage, end := stages(claims, from)
	for n, i := range of {
		w := &q[i]
		w.late = stage[n]
		if w.late < len(w.claim.due) {
			w.deadline = float64(now.UnixMilli())/1000 + w.claim.due[w.late]
		} else {
			w.deadline = w.claim.work
		}
	}
	return end
}

// slots is how many tasks of a job the machines that are up could run at once
// if they had nothing else to do but to keep the replicas they hold.
func (p *Placer) slots(j *wire.Job) float64 {
	sum := 1.0
	for k, s := range p.pools {
		if s.open > 0 && Allowed(j, k.typ, k.zone, k.spot) {
			limit := Capacity(p.types[k.typ])
			whole := float64(s.open) * math.Floor(1/RequestOf(j).Share(limit)+slack)
			sum += whole * max(0, 1-s.kept.Share(limit)/float64(s.open))
		}
	}
	return sum
}

// worthWaiting tells whether a job that could go elsewhere had better wait
// for a machine that is coming up than take room in a zone where little can
// be rented: that room is for jobs that must spread into it. Only a cluster
// that begins waits: later a replica can be moved.
func (p *Placer) worthWaiting(j *wire.Job, n *Node, now time.Time) bool {
	if n.Spot || j.SpreadZones && j.TaskCount > 1 || j.Zone != "" {
		return false
	}
	for k, s := range p.pools {
		if s.open > 0 && !k.spot && p.offers[k.zone] > p.offers[n.Zone] {
			return false
		}
	}
	for m, s := range p.starts {
		if !s.Spot && p.offers[s.Zone] > p.offers[n.Zone] && Allowed(j, s.Type.Name, s.Zone, s.Spot) && RequestOf(j).Fits(Capacity(s.Type)) &&
			now.Sub(time.UnixMilli(p.view.Machines[m].ProvisionedAt)) < config.Seconds(BootUsual*s.Type.BootTime) {
			return true
		}
	}
	return false
}

// BootUsual is how many times its boot time a machine usually takes at most.
const BootUsual = 1.6
