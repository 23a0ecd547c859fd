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

// StatusPath is where a controller answers with its Status, on its peer address.
const StatusPath = "/status/zones"

// Status is what a controller knows of the zones, and of the services that wait for their
// recovery.
type Status struct {
	Member string `json:"member"`
	Leader string `json:"leader,omitempty"`
	// RecordSupported: all members know the record, so that what is evaluated is also followed.
	RecordSupported bool            `json:"recorded"`
	Zones           []ZoneStatus    `json:"zones"`
	Services        []ServiceStatus `json:"services"`
}

// ZoneStatus is the state of a zone.
type ZoneStatus struct {
	Zone  wire.Zone `json:"zone"`
	Phase string    `json:"phase"`
	Since time.Time `json:"since,omitzero"`
	// TransitionEvidence is that of the last transition; CurrentEvidence is what this controller
	// sees now.
	TransitionEvidence string    `json:"evidence,omitempty"`
	CurrentEvidence    string    `json:"now"`
	Losses             int       `json:"losses,omitempty"`
	HoldUntil          time.Time `json:"holdUntil,omitzero"`
	// AdmittedServices and AdmittedArrays are the shares of the zone's machines that take new
	// tasks.
	AdmittedServices float64 `json:"admittedServices"`
	AdmittedArrays   float64 `json:"admittedArrays"`
}

// ServiceStatus is a service that lacks replicas, or is about to.
type ServiceStatus struct {
	Service wire.JobID `json:"service"`
	Class   string     `json:"class"`
	Pending int        `json:"waiting"`
	AtRisk  int        `json:"atRisk"`
	// Placeable is how many of both find capacity now.
	Placeable int `json:"placeable"`
	// PendingReason says what the others wait for.
	PendingReason string `json:"waitsFor,omitempty"`
}

// statusTimeout bounds for how long a status waits for the actors.
const statusTimeout = 2 * time.Second

// ServeHTTP answers with the Status.
func (c *Controller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := c.Status(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // the client may have gone
}

// ErrBusy is the error of a status that the actors don't answer in time.
var ErrBusy = errors.New("the controller is too busy to tell")

// Status asks the actors for what they know.
func (c *Controller) Status(ctx context.Context) (*Status, error) {
	zones := make(chan *Status, 1)
	services := make(chan []ServiceStatus, 1)
	asked := c.Post(func() { zones <- c.zoneStatus(time.Now()) }) &&
		c.scheduler.WithClusterState(func(cluster placement.ClusterState) { services <- serviceStatuses(cluster) })
	if !asked {
		return nil, ErrBusy
	}
	var status *Status
	var pending []ServiceStatus
	for status == nil || pending == nil {
		select {
		case status = <-zones:
		case pending = <-services:
		case <-ctx.Done():
			return nil, ErrBusy
		}
	}
	status.Services = pending
	return status, nil
}

// zoneStatus returns the status without the services.
func (c *Controller) zoneStatus(now time.Time) *Status {
	status := &Status{
		Member:          c.config.MemberName,
		RecordSupported: c.view.AllMembersSupport(statecache.CapabilityZoneRecovery) && !c.recordUnreadable,
	}
	if c.view.Leader != nil {
		status.Leader = c.view.Leader.Member
	}
	evidence := c.evidence(now) // of the recorded zones too
	recorded := statusesOf(c.view.ZoneRecoveries)
	for _, name := range slices.Sorted(maps.Keys(evidence)) {
		status.Zones = append(status.Zones, c.statusOfZone(name, recorded[name], evidence[name]))
	}
	return status
}

// statusOfZone returns a zone's status, given what is recorded and what is seen now.
func (c *Controller) statusOfZone(name wire.Zone, recorded zonehealth.Status, current zonehealth.Evidence) ZoneStatus {
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
