package autoscaler

import (
	"log/slog"
	"time"

	"lynxledge/internal/config"
	"lynxledge/internal/election"
	"lynxledge/internal/resources"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

const (
	// listRateShare is the part of the leader's calls to the cloud that listing the instances
	// may take: the list of a large deployment has many pages, and provisioning waits behind
	// them.
	listRateShare = 0.25

	// adoptionDelayLags, in list lags, is for how long after its start this process adopts
	// nothing: machines that were terminated before are no longer listed then.
	adoptionDelayLags = 3

	// terminatedRetentionLags, in list lags, is for how long a terminated machine is
	// remembered, so that it isn't adopted from a list that still shows it.
	terminatedRetentionLags = 6
)

// instanceListing is when the cloud's instances were listed.
type instanceListing struct {
	startedAt   time.Time // start of this process
	inFlight    bool
	lastStarted time.Time
}

// begin takes note that the instances are listed now; false if a listing is under way or the
// last one is too recent.
func (l *instanceListing) begin(interval time.Duration) bool {
	if l.inFlight || time.Since(l.lastStarted) < interval {
		return false
	}
	l.inFlight, l.lastStarted = true, time.Now()
	return true
}

// listInterval is the least time between two listings of so many machines.
func listInterval(cfg *config.Config, machines int) time.Duration {
	pages := machines/wire.MaxInstancesPerPage + 1
	return config.Seconds(float64(pages) / (cfg.Params.Cloud.RequestRate * cfg.Operator.CloudRateShare * listRateShare))
}

// listInstances lists the cloud's instances and reconciles them with the view.
func (r *Autoscaler) listInstances() {
	if !r.instances.begin(listInterval(r.config, len(r.view.Machines))) {
		return
	}
	callOutside(r, r.cloud.List, r.handleListed)
}

// handleListed takes the cloud's list of instances.
func (r *Autoscaler) handleListed(instances []wire.Instance, err error) {
	r.instances.inFlight = false
	if err != nil {
		slog.Info("instances not listed", "error", err)
		return
	}
	if lead, ok := r.leadership(); ok {
		r.reconcileInstances(lead, instances)
	}
}

// reconcileInstances adopts unexpected instances and scales in failed ones.
func (r *Autoscaler) reconcileInstances(lead election.Leadership, instances []wire.Instance) {
	now := time.Now()
	r.terminations.forgetOlder(terminatedRetentionLags*r.config.Params.Cloud.ListLag, now)
	provisioning := map[resources.Pool]bool{}
	for _, intent := range r.view.ProvisioningIntents {
		provisioning[intentPool(intent)] = true
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for i := range instances {
		instance := &instances[i]
		if r.view.Machines[instance.ID] != nil {
			if instance.State == wire.InstanceFailed {
				r.scaleIn(instance.ID, statecache.DrainFailed)
			}
			continue
		}
		if len(c.Puts) < r.config.Params.Store.TxnOpsLimit() && !provisioning[instancePool(instance)] && r.mayAdopt(instance, now) {
			r.addAdopted(&c, instance, now)
		}
	}
	if len(c.Puts) > 0 {
		r.commit(c, func(statecache.Outcome) {})
	}
}

// mayAdopt tells whether an instance that has no record is to be adopted. A machine that was
// terminated is listed for a while: those whose termination this process saw it remembers; for
// the rest it waits until no list shows them.
func (r *Autoscaler) mayAdopt(instance *wire.Instance, now time.Time) bool {
	return !r.terminations.wasTerminated(instance.ID) &&
		now.Sub(r.instances.startedAt) >= adoptionDelayLags*r.config.Params.Cloud.ListLag &&
		wire.ValidMachineName(string(instance.ID))
}

// addAdopted adds the record of an adopted instance to a commit.
func (r *Autoscaler) addAdopted(c *statecache.Commit, instance *wire.Instance, now time.Time) {
	slog.Info("unexpected machine adopted",
		"machine", instance.ID,
		"machine_type", instance.MachineType,
		"zone", instance.Zone,
		"spot", instance.Spot)
	group := statecache.AdoptedGroupName(instance.ID)
	key := statecache.Key(statecache.KindMachineGroup, group)
	provisionedAt := statecache.TimestampOf(now) - statecache.Timestamp(float64(instance.Age)*1000)
	record := statecache.NewMachineGroup(statecache.GroupOptions{
		Name:          group,
		MachineType:   instance.MachineType,
		Zone:          instance.Zone,
		Spot:          instance.Spot,
		ProvisionedAt: provisionedAt,
		Machines:      []wire.MachineID{instance.ID},
		FencingToken:  statecache.FirstToken(r.term),
	})
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key})
	c.Puts = append(c.Puts, statecache.Put{Key: key, Record: record})
}
