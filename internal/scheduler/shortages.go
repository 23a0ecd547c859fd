package scheduler

import (
	"log/slog"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/wire"
)

// shortages holds the services that currently find no node for a replica.
type shortages struct {
	byService      map[wire.JobID]*shortage
	reportAfter    time.Duration // shorter shortages are not logged
	reportInterval time.Duration // between two log lines on the same service
}

// shortage is one service's lack of a node.
type shortage struct {
	since    time.Time // when the service first found no node after it had last found one
	reportAt time.Time // when the next log line is due
}

func newShortages(reportAfter, reportInterval time.Duration) *shortages {
	return &shortages{byService: map[wire.JobID]*shortage{}, reportAfter: reportAfter, reportInterval: reportInterval}
}

// record records that a service finds no node. It returns since when, and whether a log line is due.
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

// waitingTime returns for how long a service has found no node.
func (s *shortages) waitingTime(service wire.JobID, now time.Time) time.Duration {
	short := s.byService[service]
	if short == nil {
		return 0
	}
	return now.Sub(short.since)
}

// forget drops a service that found a node, has ended or is blocked.
func (s *shortages) forget(service wire.JobID) { delete(s.byService, service) }

// forgetShortageOnCommit ends the job's shortage, if any, once the cycle is committed.
func (p *jobPlacement) forgetShortageOnCommit() {
	if p.shortages.byService[p.id] != nil {
		p.onCommitted = append(p.onCommitted, func() { p.shortages.forget(p.id) })
	}
}

// recordShortage records that a service found no node for a replica, and logs the reasons at
// intervals.
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
		return n.Schedulable && !p.backoff.avoids(n.Name, p.now) && p.advice.admits(n, p.spec) &&
			(!n.HasCapacityFor(p.spec, p.need) || p.recordTakes(n, 0))
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
