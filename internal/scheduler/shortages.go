package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/wire"
)

// shortages is the services that found no node for a replica, each since it last did.
type shortages struct {
	byService      map[wire.JobID]*shortage
	reportAfter    time.Duration // a shorter one is not worth a log line
	reportInterval time.Duration // between two lines on a service
}

// shortage is one service's lack of a node.
type shortage struct {
	since    time.Time
	reportAt time.Time // the next log line is due
}

func newShortages(reportAfter, reportInterval time.Duration) *shortages {
	return &shortages{byService: map[wire.JobID]*shortage{}, reportAfter: reportAfter, reportInterval: reportInterval}
}

// record adds a service that finds no node, and reports whether a log line is due.
func (s *shortages) record(service wire.JobID, now time.Time) (since time.Time, due bool) {
	short := s.byService[service]
	if short == nil {
		short = &shortage{since: now, reportAt: now.Add(s.reportAfter)}
		s.byService[service] = short
	}
	if now.Before(short.reportAt) {
		return short.since, false
	}
	short.reportAt = now.Add(s.reportInterval)
	return short.since, true
}

// waitingTime is for how long a service has found no node.
func (s *shortages) waitingTime(service wire.JobID, now time.Time) time.Duration {
	short := s.byService[service]
	if short == nil {
		return 0
	}
	return now.Sub(short.since)
}

// forget drops a service that found a node, or is over.
func (s *shortages) forget(service wire.JobID) { delete(s.byService, service) }

// forgetShortageOnCommit has the service's lack of a node forgotten once what is planned is committed.
func (p *jobPlacement) forgetShortageOnCommit() {
	if p.shortages.byService[p.id] != nil {
		p.onCommitted = append(p.onCommitted, func() { p.shortages.forget(p.id) })
	}
}

// recordShortage notes that a service found no node for a replica, and logs now and then why.
func (p *jobPlacement) recordShortage() {
	if !p.spec.IsService() {
		return
	}
	since, due := p.shortages.record(p.id, p.now)
	if !due {
		return
	}
	p.updateVictimFacts(p.nodes.all)
	found := placement.FindObstacles(p.spec, p.zones, p.nodes.all, func(n *placement.Node) bool {
		return n.Schedulable && !p.backoff.avoids(n.Name, p.now) && p.advice.admits(n, p.spec)
	})
	slog.Info("service short of replicas",
		"job", p.id,
		"pending", p.view.PendingTasks(p.id, p.job)-p.placed[p.id],
		"waiting_seconds", int(p.now.Sub(since).Seconds()),
		"nodes_not_allowed", found.NotAllowed,
		"nodes_unavailable", found.Unavailable,
		"nodes_zone_excluded", found.ZoneExcluded,
		"nodes_full", found.Full,
		"nodes_free", found.Free,
		"movable_replicas", found.MovableReplicas)
}
