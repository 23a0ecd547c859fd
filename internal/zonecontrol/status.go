package zonecontrol

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/recovery"
	"lynxledge/internal/scheduler"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// StatusPath is where a controller answers with its Status, on its mesh address.
const StatusPath = "/status/zones"

// Status is what a controller knows of the zones and of what waits for their recovery.
type Status struct {
	Member string `json:"member"`
	Leader string `json:"leader,omitempty"`
	// Recorded: all members know the record, so that what is judged is also followed.
	Recorded bool            `json:"recorded"`
	Zones    []ZoneStatus    `json:"zones"`
	Services []ServiceStatus `json:"services"`
}

// ZoneStatus is the state of a zone.
type ZoneStatus struct {
	Zone  wire.Zone `json:"zone"`
	Phase string    `json:"phase"`
	Since time.Time `json:"since,omitzero"`
	// Evidence is that of the last change; Now is what this controller sees.
	Evidence  string    `json:"evidence,omitempty"`
	Now       string    `json:"now"`
	Losses    int       `json:"losses,omitempty"`
	HoldUntil time.Time `json:"holdUntil,omitzero"`
	// Admitted are the shares of the zone's machines that take new tasks.
	AdmittedServices float64 `json:"admittedServices"`
	AdmittedArrays   float64 `json:"admittedArrays"`
}

// ServiceStatus is a service that lacks replicas, or is about to.
type ServiceStatus struct {
	Service wire.JobID `json:"service"`
	Class   string     `json:"class"`
	Waiting int        `json:"waiting"`
	AtRisk  int        `json:"atRisk"`
	// Placeable is how many of them have room now.
	Placeable int `json:"placeable"`
	// WaitsFor says what the others wait for.
	WaitsFor string `json:"waitsFor,omitempty"`
}

// statusWait bounds for how long a status waits for the actors.
const statusWait = 2 * time.Second

// ServeHTTP answers with the Status.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusWait)
	defer cancel()
	status, err := c.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // the client may have gone
}

// Status asks the actors for what they know.
func (c *Controller) Status(ctx context.Context) (*Status, error) {
	zones := make(chan *Status, 1)
	services := make(chan []ServiceStatus, 1)
	asked := c.Post(func() { zones <- c.zoneStatus(time.Now()) }) &&
		c.scheduler.WithClusterState(func(cluster scheduler.ClusterState) { services <- serviceStatus(cluster) })
	if !asked {
		return nil, errBusy
	}
	var status *Status
	var waiting []ServiceStatus
	for status == nil || waiting == nil {
		select {
		case status = <-zones:
		case waiting = <-services:
		case <-ctx.Done():
			return nil, errBusy
		}
	}
	status.Services = waiting
	return status, nil
}

var errBusy = fmt.Errorf("the controller is too busy to tell")

func (c *Controller) zoneStatus(now time.Time) *Status {
	status := &Status{Member: c.config.MemberName, Recorded: c.view.AllMembersSupport(statecache.CapabilityZoneRecovery) && !c.unreadable}
	if c.view.Leader != nil {
		status.Leader = c.view.Leader.Member
	}
	evidence := c.evidence(now)
	recorded := statusesOf(c.view.ZoneRecoveries)
	names := slices.Collect(maps.Keys(evidence))
	for name := range recorded {
		if _, seen := evidence[name]; !seen {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		s := recorded[name]
		zone := ZoneStatus{
			Zone:             name,
			Phase:            s.Phase.String(),
			Since:            s.Since,
			Now:              evidence[name].String(),
			Losses:           s.Losses,
			HoldUntil:        s.HoldUntil,
			AdmittedServices: s.AdmittedShare(c.policy.Steps, true),
			AdmittedArrays:   s.AdmittedShare(c.policy.Steps, false),
		}
		if s.Phase != zonehealth.Healthy {
			zone.Evidence = s.Evidence.String()
		}
		status.Zones = append(status.Zones, zone)
	}
	return status
}

// serviceStatus says of each service that lacks replicas what it waits for.
func serviceStatus(cluster scheduler.ClusterState) []ServiceStatus {
	services := recovery.Services(cluster.View, cluster.ActiveJobs)
	var nodes []*placement.Node
	for _, n := range cluster.Nodes {
		if n.Schedulable {
			nodes = append(nodes, n)
		}
	}
	plan := recovery.Compute(recovery.Input{Services: services, Nodes: nodes, Usage: cluster.Usage, TeamQuota: cluster.TeamQuota})
	placeable := map[*recovery.Service]int{}
	for _, p := range plan.Placements {
		placeable[p.Service]++
	}
	causes := map[*recovery.Service]recovery.Cause{}
	for _, s := range plan.Shortfalls {
		causes[s.Service] = s.Cause
	}
	out := make([]ServiceStatus, 0, len(services))
	for _, s := range services {
		status := ServiceStatus{
			Service:   s.Job.ID,
			Class:     s.Job.Class,
			Waiting:   s.Waiting,
			AtRisk:    s.AtRiskCount(),
			Placeable: placeable[s],
			WaitsFor:  string(causes[s]),
		}
		if status.WaitsFor == "" && status.AtRisk > 0 {
			status.WaitsFor = "proof that its replicas in the lost zone are gone"
		}
		out = append(out, status)
	}
	return out
}
