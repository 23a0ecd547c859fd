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
	// listRateShare is the share of the leader's request rate to the cloud that listing the
	// instances may use: the list of a large deployment has many pages, and provisioning calls
	// queue behind them.
	listRateShare = 0.25

	// adoptionDelayLags is the time after its start, in list lags, during which this process
	// adopts no instances: machines terminated before the start may still be listed.
	adoptionDelayLags = 3

	// terminatedRetentionLags is how long, in list lags, a terminated machine is remembered, so
	// that it isn't adopted from a list that still contains it.
	terminatedRetentionLags = 6
)

// instanceListing tracks when the cloud's instances are listed.
type instanceListing struct {
	processStartedAt time.Time
	inFlight         bool
	lastStarted      time.Time
}

// begin records the start of a listing. It returns false if one is in flight, or if the last one
// started less than interval ago.
func (l *instanceListing) begin(interval time.Duration) bool {
	if l.inFlight || time.Since(l.lastStarted) < interval {
		return false
	}
	l.inFlight, l.lastStarted = true, time.Now()
	return true
}

// listInterval returns the minimum time between the starts of two listings of that many machines.
func listInterval(cfg *config.Config, machines int) time.Duration {
	pages := machines/wire.MaxInstancesPerPage + 1
	return config.Seconds(float64(pages) / (cfg.Params.Cloud.RequestRate * cfg.Operator.CloudRateShare * listRateShare))
}

// listInstances lists the cloud's instances and reconciles them with the view.
func (a *Autoscaler) listInstances() {
	if !a.instances.begin(listInterval(a.config, len(a.view.Machines))) {
		return
	}
	callAsync(a, a.cloud.List, a.handleListed)
}

// handleListed handles the result of listing the instances.
func (a *Autoscaler) handleListed(instances []wire.Instance, err error) {
	a.instances.inFlight = false
	if err != nil {
		slog.Info("instances not listed", "error", err)
		return
	}
	if lead, ok := a.leadership(); ok {
		a.reconcileInstances(lead, instances)
	}
}

// reconcileInstances adopts instances that have no record and scales in failed ones.
func (a *Autoscaler) reconcileInstances(lead election.Leadership, instances []wire.Instance) {
	now := time.Now()
	a.terminations.forgetOlder(terminatedRetentionLags*a.config.Params.Cloud.ListLag, now)
	provisioning := map[resources.Pool]bool{}
	for _, intent := range a.view.ProvisioningIntents {
		provisioning[intentPool(intent)] = true
	}
	c := statecache.Commit{Preconditions: []wire.Precondition{lead.Precondition()}}
	for i := range instances {
		instance := &instances[i]
		if a.view.Machines[instance.ID] != nil {
			if instance.State == wire.InstanceFailed {
				a.scaleIn(instance.ID, statecache.DrainFailed)
			}
			continue
		}
		if len(c.Puts) < a.config.Params.Store.TxnOpsLimit() && !provisioning[instancePool(instance)] && a.mayAdopt(instance, now) {
			a.addAdopted(&c, instance, now)
		}
	}
	if len(c.Puts) > 0 {
		a.commit(c, func(statecache.Outcome) {})
	}
}

// mayAdopt reports whether to adopt an instance that has no record. The cloud goes on listing
// terminated machines for a while: this process remembers those whose termination it saw, and
// after its start waits until the others are no longer listed.
func (a *Autoscaler) mayAdopt(instance *wire.Instance, now time.Time) bool {
	return !a.terminations.wasTerminated(instance.ID) &&
		now.Sub(a.instances.processStartedAt) >= adoptionDelayLags*a.config.Params.Cloud.ListLag &&
		wire.ValidMachineName(string(instance.ID))
}

// addAdopted adds a group record for an adopted instance to a commit.
func (a *Autoscaler) addAdopted(c *statecache.Commit, instance *wire.Instance, now time.Time) {
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
		FencingToken:  statecache.FirstToken(a.term),
	})
	c.Preconditions = append(c.Preconditions, wire.Precondition{Key: key})
	c.Puts = append(c.Puts, statecache.Put{Key: key, Record: record})
}
