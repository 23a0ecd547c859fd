package scheduler

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/estimate"
	"lynxledge/internal/overload"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/internal/storelimits"
	"lynxledge/wire"
)

// CommandSender sends commands straight to a worker.
type CommandSender interface {
	SendCommands(ctx context.Context, addr string, cmd wire.CommandBatch) (*wire.Heartbeat, error)
}

// Scheduler is the actor that writes what is bound to machines: it places the
// tasks of the teams handed to it, and takes over what reports prove. The
// process that the teams are handed to writes at once; any other one only what
// nobody has written for a while.
type Scheduler struct {
	*actor.Actor
	ctx               context.Context
	config            *config.Config
	incarnation       uint64
	cache             *statecache.Cache
	workers           CommandSender
	onCommandResponse func(*wire.Heartbeat) // takes what workers answer to commands
	storeLimits       *storelimits.Tracker
	overload          *overload.Gauge
	rng               *rand.Rand
	writeLimiter      *rate.Limiter // of writes

	otherWriters     writeRateMeter
	pendingOwnWrites int // writes committed here that the ledger has not told of yet

	view                *statecache.View
	revision            uint64
	freshAsOf           time.Time
	machineTypes        map[string]*wire.MachineType
	zoneOffers          ZoneOffers
	activeJobs          map[wire.JobID]*statecache.Job
	quotaClaims         quotaClaimList // of the active jobs
	runtimes            *estimate.RuntimeEstimator
	firstIncompleteTask map[wire.JobID]int               // lowest task of a job that may not be done
	imageCaches         map[wire.MachineID][]cachedImage // machine: images fetched there, newest first
	failures            map[wire.JobID]*jobFailures      // job: what went wrong lately
	avoidUntil          map[wire.MachineID]time.Time     // machine: not to be used until
	preemptedUntil      map[wire.JobID]time.Time         // array: not to be placed until, since a task of it gave way as soon as it was

	nodes             map[wire.MachineID]*Node
	allNodes          []*Node
	nodesWithCapacity []*Node // those with room
	pools             map[nodePool]poolCapacity
	startingNodes     map[wire.MachineID]*Node // machines that are coming up
	usage             resources.Usage

	advisor              Advisor // nil: zones that recover are treated like any other
	advice               Advice  // of the last round; nil: no zone recovers
	nodesWithReservation []*Node // those with reserved room

	pendingEvidence     map[string]map[wire.MachineID]*pendingEvidence // group, machine
	lastTermination     time.Time                                      // when somebody last wrote what reports proved
	fullyCompletedSince map[wire.JobID]time.Time                       // complete jobs that are not called done yet, since
	oversizedGroups     map[string]bool                                // groups whose records can hardly be written, or not at all
	crowdedGroups       map[string]bool                                // groups whose records are full before their machines are
	cancelledDependents map[wire.JobID]*statecache.Job                 // cancelled with a predecessor, which their own records don't say yet

	commitInFlight bool
	cycleScheduled bool
}

// Options are what a Scheduler works with.
type Options struct {
	Config            *config.Config
	Incarnation       uint64 // of this process
	Cache             *statecache.Cache
	Workers           CommandSender
	OnCommandResponse func(*wire.Heartbeat) // takes what workers answer to commands; must not wait for the scheduler
	StoreLimits       *storelimits.Tracker  // nil: the limits are as configured
	Overload          *overload.Gauge       // nil: this process is never overloaded
}

// Start runs a scheduler until ctx ends.
func Start(ctx context.Context, o Options) *Scheduler {
	p := newScheduler(o.Config, o.Incarnation)
	p.storeLimits = o.StoreLimits
	p.overload = o.Overload
	p.Actor = actor.Start(ctx, "placer", 512)
	p.ctx = ctx
	p.cache = o.Cache
	p.workers = o.Workers
	p.onCommandResponse = o.OnCommandResponse
	o.Cache.Subscribe(func(d statecache.Update) { p.Send(func() { p.apply(d) }) })
	p.Every(p.config.Params.Workers.Heartbeats(1.0/6), p.schedule)
	return p
}

// newScheduler makes a placer that knows nothing yet and does not run.
func newScheduler(cfg *config.Config, boot uint64) *Scheduler {
	s := cfg.Params.Store
	p := &Scheduler{
		config:              cfg,
		incarnation:         boot,
		rng:                 rand.New(rand.NewPCG(boot, 1)),
		writeLimiter:        rate.NewLimiter(rate.Limit(s.WriteRate*cfg.Operator.SchedulerWriteShare), s.TxnOpsLimit()),
		view:                statecache.NewUnfinishedView(statecache.ChunkTasks(s.MaxValueKB)),
		machineTypes:        map[string]*wire.MachineType{},
		activeJobs:          map[wire.JobID]*statecache.Job{},
		runtimes:            estimate.NewRuntimeEstimator(),
		firstIncompleteTask: map[wire.JobID]int{},
		imageCaches:         map[wire.MachineID][]cachedImage{},
		failures:            map[wire.JobID]*jobFailures{},
		avoidUntil:          map[wire.MachineID]time.Time{},
		preemptedUntil:      map[wire.JobID]time.Time{},
		nodes:               map[wire.MachineID]*Node{},
		pools:               map[nodePool]poolCapacity{},
		startingNodes:       map[wire.MachineID]*Node{},
		usage:               resources.Usage{},
		pendingEvidence:     map[string]map[wire.MachineID]*pendingEvidence{},
		fullyCompletedSince: map[wire.JobID]time.Time{},
		oversizedGroups:     map[string]bool{},
		crowdedGroups:       map[string]bool{},
		cancelledDependents: map[wire.JobID]*statecache.Job{},
	}
	p.otherWriters.window = p.config.Params.Workers.Heartbeats(writeMeterHeartbeats)
	return p
}

// writeMeterHeartbeats is over how many report intervals others' writes are averaged.
const writeMeterHeartbeats = 1

// SetMachineTypes tells the placer of the machine types.
func (p *Scheduler) SetMachineTypes(types []wire.MachineType) {
	p.Send(func() {
		p.zoneOffers = ZoneOffers{}
		most := 0.0
		for i := range types {
			p.machineTypes[types[i].Name] = &types[i]
			for _, z := range types[i].Zones {
				p.zoneOffers[z]++
				most = max(most, p.zoneOffers[z])
			}
		}
		for z := range p.zoneOffers {
			p.zoneOffers[z] /= most
		}
		for m, b := range p.view.Machines {
			p.refreshNode(m, b)
		}
		p.schedule()
	})
}

func (p *Scheduler) apply(d statecache.Update) {
	now := time.Now()
	p.revision, p.freshAsOf = d.Revision, d.FreshAsOf
	p.observeOtherWrites(len(d.Changes), now)
	for _, c := range d.Changes {
		machines := p.view.Apply(c)
		switch c.Kind {
		case statecache.KindMachineGroup:
			for _, m := range machines {
				p.applyMachineChange(m, now)
			}
			if g, _ := c.Record.(*statecache.MachineGroup); g != nil {
				p.learnFromTerminations(g, now)
				if delete(p.oversizedGroups, c.Name); g.RetainedSize() > p.valueSizeShare(splitFillShare) {
					p.oversizedGroups[c.Name] = true
				}
				if len(g.Terminations) > 0 {
					p.lastTermination = now
				}
				for job := range g.Completions {
					p.noteIfCompleted(job, now)
				}
			} else {
				delete(p.pendingEvidence, c.Name)
				delete(p.oversizedGroups, c.Name)
				delete(p.crowdedGroups, c.Name)
			}
		case statecache.KindCompletionChunk:
			job, _, _ := strings.Cut(c.Name, "/")
			p.noteIfCompleted(wire.JobID(job), now)
		case statecache.KindJob:
			id := wire.JobID(c.Name)
			j, _ := c.Record.(*statecache.Job)
			if j != nil && j.CancelledByDependency {
				p.cancelledDependents[id] = j
			} else {
				delete(p.cancelledDependents, id)
			}
			// A blocked job waits for others: it has no place in the queue, and counts
			// towards nothing. Only records that say done make it ready.
			if j != nil && j.Active() && j.Spec != nil && !j.Blocked {
				p.activeJobs[id] = j
				p.quotaClaims.outdated = true
			} else {
				delete(p.activeJobs, id)
				p.quotaClaims.outdated = true
				delete(p.firstIncompleteTask, id)
				delete(p.failures, id)
				delete(p.preemptedUntil, id)
				delete(p.fullyCompletedSince, id)
				p.runtimes.Forget(id)
			}
		}
	}
	if len(d.Changes) > 0 {
		p.schedule()
	}
}

func (p *Scheduler) noteIfCompleted(job wire.JobID, now time.Time) {
	if _, ok := p.fullyCompletedSince[job]; !ok && p.view.AllTasksCompleted(job) {
		p.fullyCompletedSince[job] = now
	}
}

func (p *Scheduler) schedule() {
	if p.commitInFlight || p.cycleScheduled {
		return
	}
	p.cycleScheduled = true
	// Changes that come together are written together.
	p.After(p.config.Params.Workers.Heartbeats(batchDelayHeartbeats), func() {
		p.cycleScheduled = false
		if !p.commitInFlight {
			p.runCycle()
		}
	})
}

// batchDelayHeartbeats is the pause before a round, in report intervals.
const batchDelayHeartbeats = 1.0 / 100

func withImage(nodes []*Node, image string) []*Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return !n.HasImage(image) })
}

func (p *Scheduler) teamQuota(name wire.TeamName) config.TeamQuota {
	t, _ := p.config.Params.TeamQuota(name)
	t.Name = name
	return t
}
