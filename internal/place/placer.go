package place

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"lynxledge/internal/actor"
	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Commander sends commands straight to a worker.
type Commander interface {
	Do(ctx context.Context, addr string, cmd wire.CommandBatch) (*wire.Heartbeat, error)
}

// Placer is the actor that writes what is bound to machines: it places the
// tasks of the teams handed to it, and takes over what reports prove. The
// process that the teams are handed to writes at once; any other one only what
// nobody has written for a while.
type Placer struct {
	*actor.Actor
	ctx    context.Context
	cfg    *config.Config
	boot   uint64
	ledger *statecache.Cache
	worker Commander
	report func(*wire.Heartbeat) // takes what workers answer to commands
	rng    *rand.Rand
	pace   *rate.Limiter // of writes

	othersWrites writeMeter
	ownWrites    int // writes committed here that the ledger has not told of yet

	view       *statecache.View
	epoch      uint64
	fresh      time.Time
	types      map[string]*wire.MachineType
	offers     Offers
	active     map[string]*statecache.Job
	claims     claimList // of the active jobs
	runs       *Estimates
	low        map[string]int       // lowest task of a job that may not be done
	images     map[string][]image   // machine: images fetched there, newest first
	failed     map[string]*failure  // job: what went wrong lately
	unreliable map[string]time.Time // machine: not to be used until
	gaveWay    map[string]time.Time // array: not to be placed until, since a task of it gave way as soon as it was

	nodes  map[string]*Node
	all    []*Node
	roomy  []*Node // those with room
	pools  map[pool]poolStock
	starts map[string]*Node // machines that are coming up
	tally  Usage

	advisor  Advisor // nil: zones that recover are treated like any other
	advice   Advice  // of the last round; nil: no zone recovers
	reserved []*Node // those with reserved room

	observations        map[string]map[string]*pendingObservation // group, machine
	proved              time.Time                                 // when somebody last wrote what reports proved
	completeSince       map[string]time.Time                      // complete jobs that are not called done yet, since
	largeRecords        map[string]bool                           // groups whose records can hardly be written, or not at all
	fullRecords         map[string]bool                           // groups whose records are full before their machines are
	cancelledDependents map[string]*statecache.Job                // cancelled with a predecessor, which their own records don't say yet

	busy      bool
	scheduled bool
}

// Start runs a placer. report must not wait for the placer.
func Start(ctx context.Context, cfg *config.Config, boot uint64, l *statecache.Cache, w Commander, report func(*wire.Heartbeat)) *Placer {
	p := newPlacer(cfg, boot)
	p.Actor = actor.Start(ctx, "placer", 512)
	p.ctx = ctx
	p.ledger = l
	p.worker = w
	p.report = report
	l.Subscribe(func(d statecache.Update) { p.Send(func() { p.apply(d) }) })
	p.Every(p.reportS(1.0/6), p.schedule)
	return p
}

// newPlacer makes a placer that knows nothing yet and does not run.
func newPlacer(cfg *config.Config, boot uint64) *Placer {
	s := cfg.Params.Store
	p := &Placer{
		cfg:                 cfg,
		boot:                boot,
		rng:                 rand.New(rand.NewPCG(boot, 1)),
		pace:                rate.NewLimiter(rate.Limit(s.WriteRate*cfg.Operator.SchedulerWriteShare), s.TxnOpsLimit()),
		view:                statecache.NewUnfinishedView(statecache.ChunkTasks(s.MaxValueKB)),
		types:               map[string]*wire.MachineType{},
		active:              map[string]*statecache.Job{},
		runs:                NewEstimates(),
		low:                 map[string]int{},
		images:              map[string][]image{},
		failed:              map[string]*failure{},
		unreliable:          map[string]time.Time{},
		gaveWay:             map[string]time.Time{},
		nodes:               map[string]*Node{},
		pools:               map[pool]poolStock{},
		starts:              map[string]*Node{},
		tally:               Usage{},
		observations:        map[string]map[string]*pendingObservation{},
		completeSince:       map[string]time.Time{},
		largeRecords:        map[string]bool{},
		fullRecords:         map[string]bool{},
		cancelledDependents: map[string]*statecache.Job{},
	}
	p.othersWrites.window = p.reportS(meterReports)
	return p
}

// meterReports is over how many report intervals others' writes are averaged.
const meterReports = 1

// reportS is a multiple of the workers' report interval.
func (p *Placer) reportS(times float64) time.Duration {
	return config.Seconds(p.cfg.Params.Workers.HeartbeatInterval * times)
}

// SetTypes tells the placer of the machine types.
func (p *Placer) SetTypes(types []wire.MachineType) {
	p.Send(func() {
		p.offers = Offers{}
		most := 0.0
		for i := range types {
			p.types[types[i].Name] = &types[i]
			for _, z := range types[i].Zones {
				p.offers[z]++
				most = max(most, p.offers[z])
			}
		}
		for z := range p.offers {
			p.offers[z] /= most
		}
		for m, b := range p.view.Machines {
			p.renew(m, b)
		}
		p.schedule()
	})
}

func (p *Placer) apply(d statecache.Update) {
	now := time.Now()
	p.epoch, p.fresh = d.Revision, d.FreshAsOf
	p.countOthers(len(d.Changes), now)
	for _, c := range d.Changes {
		machines := p.view.Apply(c)
		switch c.Kind {
		case statecache.KindMachineGroup:
			for _, m := range machines {
				p.bindChanged(m, now)
			}
			if g, _ := c.Record.(*statecache.MachineGroup); g != nil {
				p.left(g, now)
				if delete(p.largeRecords, c.Name); g.RetainedSize() > p.valueBytes(splitFrom) {
					p.largeRecords[c.Name] = true
				}
				if len(g.Terminations) > 0 {
					p.proved = now
				}
				for job := range g.Completions {
					p.noteIfComplete(job, now)
				}
			} else {
				delete(p.observations, c.Name)
				delete(p.largeRecords, c.Name)
				delete(p.fullRecords, c.Name)
			}
		case statecache.KindCompletionChunk:
			job, _, _ := strings.Cut(c.Name, "/")
			p.noteIfComplete(job, now)
		case statecache.KindJob:
			j, _ := c.Record.(*statecache.Job)
			if j != nil && j.CancelledByDependency {
				p.cancelledDependents[c.Name] = j
			} else {
				delete(p.cancelledDependents, c.Name)
			}
			// A blocked job waits for others: it has no place in the queue, and counts
			// towards nothing. Only records that say done make it ready.
			if j != nil && j.Active() && j.Spec != nil && !j.Blocked {
				p.active[c.Name] = j
				p.claims.outdated = true
			} else {
				delete(p.active, c.Name)
				p.claims.outdated = true
				delete(p.low, c.Name)
				delete(p.failed, c.Name)
				delete(p.gaveWay, c.Name)
				delete(p.completeSince, c.Name)
				p.runs.Forget(c.Name)
			}
		}
	}
	if len(d.Changes) > 0 {
		p.schedule()
	}
}

func (p *Placer) noteIfComplete(job string, now time.Time) {
	if _, ok := p.completeSince[job]; !ok && p.view.AllTasksCompleted(job) {
		p.completeSince[job] = now
	}
}

func (p *Placer) schedule() {
	if p.busy || p.scheduled {
		return
	}
	p.scheduled = true
	// Changes that come together are written together.
	p.After(p.reportS(batchPause), func() {
		p.scheduled = false
		if !p.busy {
			p.round()
		}
	})
}

// batchPause is the pause before a round, in report intervals.
const batchPause = 1.0 / 100

func withImage(nodes []*Node, image string) []*Node {
	return slices.DeleteFunc(slices.Clone(nodes), func(n *Node) bool { return !n.Image(image) })
}

func (p *Placer) team(name string) config.TeamQuota {
	t, _ := p.cfg.Params.TeamQuota(name)
	t.Name = name
	return t
}
