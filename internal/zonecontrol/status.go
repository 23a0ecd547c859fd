package zonecontrol

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"lynxledge/internal/placement"
	"lynxledge/internal/statecache"
	"lynxledge/internal/zonehealth"
	"lynxledge/wire"
)

// StatusPath is the path on a controller's peer address that serves its Status.
const StatusPath = "/status/zones"

// Status describes, as one controller sees them, the zones and the services that wait for their
// recovery.
type Status struct {
	Member string `json:"member"`
	Leader string `json:"leader,omitempty"`
	// RecordSupported reports whether all members support the recovery record and this one can read
	// it. Only then does evaluation have any effect.
	RecordSupported bool            `json:"recorded"`
	Zones           []ZoneStatus    `json:"zones"`
	Services        []ServiceStatus `json:"services"`
}

// ZoneStatus is the state of a zone.
type ZoneStatus struct {
	Zone  wire.Zone `json:"zone"`
	Phase string    `json:"phase"`
	Since time.Time `json:"since,omitzero"`
	// TransitionEvidence is the evidence that caused the last transition, and CurrentEvidence
	// what this controller sees now.
	TransitionEvidence string    `json:"evidence,omitempty"`
	CurrentEvidence    string    `json:"now"`
	Losses             int       `json:"losses,omitempty"`
	HoldUntil          time.Time `json:"holdUntil,omitzero"`
	// AdmittedServices and AdmittedArrays are the shares of the zone's machines that accept new
	// tasks of services and of arrays.
	AdmittedServices float64 `json:"admittedServices"`
	AdmittedArrays   float64 `json:"admittedArrays"`
}

// ServiceStatus describes a service with pending or at-risk replicas.
type ServiceStatus struct {
	Service wire.JobID `json:"service"`
	Class   string     `json:"class"`
	Pending int        `json:"waiting"`
	AtRisk  int        `json:"atRisk"`
	// Placeable counts the pending and at-risk replicas for which there is capacity now.
	Placeable int `json:"placeable"`
	// PendingReason says why the others find no capacity or, if all do, what those at risk wait for.
	PendingReason string `json:"waitsFor,omitempty"`
}

// statusTimeout bounds how long a status request waits for the actors.
const statusTimeout = 2 * time.Second

// ServeHTTP writes the Status as JSON.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := c.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // an error means that the client has disconnected
}

// ErrBusy is returned by Status if the actors don't answer in time.
var ErrBusy = errors.New("the controller is too busy to tell")

// Status collects the status from this actor and the scheduler's.
func (c *Controller) Status(ctx context.Context) (*Status, error) {
	zones := make(chan *Status, 1)
	services := make(chan []ServiceStatus, 1)
	queued := c.TrySend(func() { zones <- c.statusWithoutServices(time.Now()) }) &&
		c.scheduler.WithClusterState(func(cluster placement.ClusterState) { services <- serviceStatuses(cluster) })
	if !queued {
		return nil, ErrBusy
	}
	var status *Status
	var affected []ServiceStatus
	for status == nil || affected == nil {
		select {
		case status = <-zones:
		case affected = <-services:
		case <-ctx.Done():
			return nil, ErrBusy
		}
	}
	status.Services = affected
	return status, nil
}

// statusWithoutServices returns the Status with Services left empty.
func (c *Controller) statusWithoutServices(now time.Time) *Status {
	status := &Status{
		Member:          c.config.MemberName,
		RecordSupported: c.view.AllMembersSupport(statecache.CapabilityZoneRecovery) && !c.recordUnreadable,
	}
	if c.view.Leader != nil {
		status.Leader = c.view.Leader.Member
	}
	evidence := c.evidence(now) // includes every recorded zone
	recorded := statusesOf(c.view.ZoneRecoveries)
	for _, name := range slices.Sorted(maps.Keys(evidence)) {
		status.Zones = append(status.Zones, c.zoneStatus(name, recorded[name], evidence[name]))
	}
	return status
}

// zoneStatus returns a zone's status, given its recorded status and the current evidence.
func (c *Controller) zoneStatus(name wire.Zone, recorded zonehealth.Status, current zonehealth.Evidence) ZoneStatus {
	zone := ZoneStatus{
		Zone:             name,
		Phase:            recorded.Phase.String(),
		Since:            recorded.Since,
		CurrentEvidence:  current.String(),
		Losses:           recorded.Losses,
		HoldUntil:        recorded.HoldUntil,
		AdmittedServices: recorded.AdmittedShare(c.policy.AdmissionSteps, true),
		AdmittedArrays:   recorded.AdmittedShare(c.policy.AdmissionSteps, false),
	}
	if recorded.Phase != zonehealth.Healthy {
		zone.TransitionEvidence = recorded.Evidence.String()
	}
	return zone
}
