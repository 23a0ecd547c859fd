package main

import (
	"time"

	"pgregory.net/rapid"

	"lynxledge/internal/config"
	_ "lynxledge/internal/rapidseed"

	"lynxledge/internal/simulation"
	"lynxledge/wire"
)

// fault is one injected event: a fault, the end of one, or a user's request.
type fault struct {
	Kind      faultKind
	Target    int // selects the member, machine or job
	Magnitude int // its size or duration, and the time until the next event
}

type faultKind string

const (
	faultSubmitArray           faultKind = "submit array"
	faultSubmitService         faultKind = "submit service"
	faultSubmitPipeline        faultKind = "submit pipeline"
	faultResubmit              faultKind = "resubmit job"
	faultCancelJob             faultKind = "cancel job"
	faultCancelAll             faultKind = "cancel all arrays"
	faultPollJobs              faultKind = "poll jobs"
	faultPollUnknownJob        faultKind = "poll unknown job"
	faultSubmitMalformed       faultKind = "submit malformed job"
	faultRequestsAtCompletion  faultKind = "requests at completion"
	faultWait                  faultKind = "wait"
	faultCrashMember           faultKind = "crash member"
	faultCrashAll              faultKind = "crash all members"
	faultRestartAll            faultKind = "restart all members"
	faultFastRestart           faultKind = "fast restart of member"
	faultFastRestartLeader     faultKind = "fast restart of leader"
	faultPartitionMember       faultKind = "partition member"
	faultPartitionMemberHold   faultKind = "partition member, messages held"
	faultPartitionStore        faultKind = "partition member from store"
	faultPartitionStoreHold    faultKind = "partition member from store, messages held"
	faultIsolateMember         faultKind = "isolate member"
	faultPartitionMachine      faultKind = "partition machine"
	faultPartitionMachineHold  faultKind = "partition machine, messages held"
	faultInboundPartition      faultKind = "inbound partition of machine"
	faultOutboundPartition     faultKind = "outbound partition of machine"
	faultHealNetwork           faultKind = "heal network"
	faultMessageLoss           faultKind = "message loss"
	faultMessageDuplication    faultKind = "message duplication"
	faultEndLossAndDuplication faultKind = "end message loss and duplication"
	faultStoreOutage           faultKind = "store outage"
	faultEndStoreOutage        faultKind = "end store outage"
	faultStoreRefusesLeader    faultKind = "store unavailable for leader"
	faultSlowStore             faultKind = "slow store"
	faultDelayedCommits        faultKind = "delayed commits"
	faultHealStore             faultKind = "heal store"
	faultLowerStoreLimits      faultKind = "lower store limits"
	faultFailMachine           faultKind = "fail machine"
	faultReclaimMachine        faultKind = "reclaim machine"
	faultPreemptionNotice      faultKind = "preemption notice"
	faultStallBoots            faultKind = "stall boots"
	faultFastRestartMachine    faultKind = "fast restart of machine"
	faultPauseMachine          faultKind = "pause machine"
)

// faultKinds are the kinds to sample from; a kind listed several times is more likely. A change of
// the order changes every generated sequence.
var faultKinds = []faultKind{
	faultSubmitArray, faultSubmitArray, faultSubmitArray, faultSubmitService, faultResubmit, faultCancelJob, faultPollJobs, faultPollJobs,
	faultWait, faultWait, faultWait,
	faultCrashMember, faultCrashAll, faultRestartAll, faultPartitionMember, faultPartitionMemberHold, faultPartitionStore, faultPartitionStoreHold,
	faultIsolateMember, faultPartitionMachine, faultPartitionMachineHold,
	faultHealNetwork, faultHealNetwork, faultStoreOutage, faultEndStoreOutage, faultFailMachine, faultReclaimMachine, faultPreemptionNotice,
	faultMessageLoss, faultMessageDuplication, faultMessageDuplication, faultEndLossAndDuplication, faultPollUnknownJob, faultStallBoots,
	faultInboundPartition, faultInboundPartition, faultFastRestart, faultFastRestart, faultFastRestartMachine,
	faultStoreRefusesLeader, faultStoreRefusesLeader, faultHealStore, faultSlowStore, faultDelayedCommits,
	faultOutboundPartition, faultOutboundPartition, faultPauseMachine, faultPauseMachine,
	faultRequestsAtCompletion, faultSubmitMalformed, faultCancelAll, faultFastRestartLeader,
	faultSubmitPipeline, faultSubmitPipeline, faultSubmitPipeline, faultLowerStoreLimits,
}

func genFaults() *rapid.Generator[[]fault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{rapid.SampledFrom(faultKinds).Draw(t, "kind"), rapid.IntRange(0, 9).Draw(t, "target"), rapid.IntRange(0, 9).Draw(t, "magnitude")}
	}), 20, 60)
}

// injections maps each kind of fault to the function that injects it.
var injections = map[faultKind]func(*cluster, fault){
	faultSubmitArray:          (*cluster).submitRandomArray,
	faultSubmitService:        (*cluster).submitRandomService,
	faultSubmitPipeline:       (*cluster).submitPipeline,
	faultResubmit:             onJob((*cluster).resubmit),
	faultCancelJob:            onJob((*cluster).requestCancellation),
	faultCancelAll:            func(c *cluster, _ fault) { c.cancelAll() },
	faultPollJobs:             func(c *cluster, _ fault) { c.pollJobs() },
	faultPollUnknownJob:       func(c *cluster, f fault) { c.pollUnknownJob(f.Target) },
	faultSubmitMalformed:      func(c *cluster, f fault) { c.submitMalformed(f.Target) },
	faultRequestsAtCompletion: func(c *cluster, f fault) { c.requestAtCompletion(f.Target) },
	faultWait:                 func(*cluster, fault) {},

	faultCrashMember:         onMember((*cluster).crash),
	faultCrashAll:            func(c *cluster, _ fault) { c.crashAll() },
	faultRestartAll:          func(c *cluster, _ fault) { c.restartAll() },
	faultFastRestart:         onMember((*cluster).fastRestart),
	faultFastRestartLeader:   func(c *cluster, _ fault) { c.fastRestart(c.leader()) },
	faultPartitionMember:     onMember(func(c *cluster, member string) { c.network.Partition(member, "", false) }),
	faultPartitionMemberHold: onMember(func(c *cluster, member string) { c.network.Partition(member, "", true) }),
	faultPartitionStore:      onMember(func(c *cluster, member string) { c.network.Partition(member, simulation.StoreHost, false) }),
	faultPartitionStoreHold:  onMember(func(c *cluster, member string) { c.network.Partition(member, simulation.StoreHost, true) }),
	faultIsolateMember:       onMember((*cluster).isolate),

	faultHealNetwork:           func(c *cluster, _ fault) { c.network.HealAll() },
	faultMessageLoss:           func(c *cluster, _ fault) { c.network.SetLossAndDuplication(0.2, 0) },
	faultMessageDuplication:    func(c *cluster, _ fault) { c.network.SetLossAndDuplication(0.02, 0.3) },
	faultEndLossAndDuplication: func(c *cluster, _ fault) { c.network.SetLossAndDuplication(0, 0) },

	faultStoreOutage:        func(c *cluster, _ fault) { c.store.SetOutage(true) },
	faultEndStoreOutage:     func(c *cluster, _ fault) { c.store.SetOutage(false) },
	faultStoreRefusesLeader: func(c *cluster, _ fault) { c.store.SetUnavailableFor(c.leader(), true) },
	faultSlowStore:          func(c *cluster, f fault) { c.slowStore(time.Duration(200*(1+f.Target)) * time.Millisecond) },
	faultDelayedCommits:     func(c *cluster, _ fault) { c.store.SetDelayedCommits(0.2) },
	faultHealStore:          func(c *cluster, _ fault) { c.healStore() },
	faultLowerStoreLimits:   func(c *cluster, _ fault) { c.lowerStoreLimits() },

	faultPartitionMachine:     onMachine(func(c *cluster, machine wire.MachineID, _ fault) { c.network.Partition(string(machine), "", false) }),
	faultPartitionMachineHold: onMachine(func(c *cluster, machine wire.MachineID, _ fault) { c.network.Partition(string(machine), "", true) }),
	faultInboundPartition:     onMachine(func(c *cluster, machine wire.MachineID, _ fault) { c.network.PartitionInbound(string(machine)) }),
	faultOutboundPartition:    onMachine(func(c *cluster, machine wire.MachineID, _ fault) { c.network.PartitionOutbound(string(machine)) }),
	faultFailMachine:          func(c *cluster, f fault) { c.cloud.FailMachine(f.Target, false) },
	faultReclaimMachine:       func(c *cluster, f fault) { c.cloud.FailMachine(f.Target, true) },
	faultPreemptionNotice:     onMachine(func(c *cluster, machine wire.MachineID, _ fault) { c.cloud.NotifyPreemption(machine, 15) }),
	faultStallBoots:           func(c *cluster, f fault) { c.cloud.StallBoots(1 + f.Target%3) },
	faultFastRestartMachine:   onMachine(func(c *cluster, machine wire.MachineID, _ fault) { c.cloud.FastRestart(machine) }),
	faultPauseMachine: onMachine(func(c *cluster, machine wire.MachineID, f fault) {
		c.cloud.PauseMachine(machine, time.Duration(1+f.Magnitude*f.Magnitude)*time.Second)
	}),
}

// inject injects a fault, and lets time pass as its magnitude says.
func (c *cluster) inject(f fault) {
	injections[f.Kind](c, f)
	c.advance(time.Duration(1+f.Magnitude*f.Magnitude/4) * time.Second)
}

// onMember returns an injection into the member that the fault selects.
func onMember(inject func(c *cluster, member string)) func(*cluster, fault) {
	return func(c *cluster, f fault) { inject(c, c.members[f.Target%len(c.members)]) }
}

// onMachine returns an injection into the running machine that the fault selects, if any runs.
func onMachine(inject func(c *cluster, machine wire.MachineID, f fault)) func(*cluster, fault) {
	return func(c *cluster, f fault) {
		if machines := c.cloud.RunningMachines(); len(machines) > 0 {
			inject(c, machines[f.Target%len(machines)], f)
		}
	}
}

// onJob returns an injection that makes a user's request for the submitted job that the fault
// selects, if there is any.
func onJob(request func(c *cluster, j *wire.Job)) func(*cluster, fault) {
	return func(c *cluster, f fault) {
		if len(c.submitted) > 0 {
			request(c, c.submitted[f.Target%len(c.submitted)])
		}
	}
}

// crash stops a controller and closes its connections.
func (c *cluster) crash(member string) {
	if c.running[member] != nil {
		c.running[member]()
		c.connections.Crash(member)
		delete(c.running, member)
		c.handlers.set(member, nil)
		delete(c.peerHandlers, member)
	}
}

// crashAll crashes all controllers.
func (c *cluster) crashAll() {
	for _, member := range c.members {
		c.crash(member)
	}
}

// isolate partitions a controller from the store and its peers, but not from workers.
func (c *cluster) isolate(member string) {
	holdMessages := c.rng.IntN(2) == 0
	c.network.Partition(member, simulation.StoreHost, holdMessages)
	for _, other := range c.members {
		if other != member {
			c.network.Partition(member, other, holdMessages)
		}
	}
}

// restartAll starts every controller that is down.
func (c *cluster) restartAll() {
	for _, member := range c.members {
		if c.running[member] == nil {
			c.start(member)
		}
	}
}

// fastRestart crashes a controller and starts it again after 200 ms, while requests of its
// previous incarnation are still in flight.
func (c *cluster) fastRestart(member string) {
	if c.running[member] != nil {
		c.crash(member)
		time.Sleep(200 * time.Millisecond)
		c.start(member)
	}
}

// pause suspends a controller's actors for a while: messages queue up, and pending actions are
// late.
func (c *cluster) pause(member string, duration time.Duration) {
	if c.running[member] == nil {
		return
	}
	for _, actor := range c.actors[member] {
		actor.TrySend(func() { time.Sleep(duration) })
	}
}

// healStore ends all faults of the store except an outage.
func (c *cluster) healStore() {
	for _, member := range c.members {
		c.store.SetUnavailableFor(member, false)
	}
	c.store.SetDelayedCommits(0)
	c.network.SetMaxExtraLatency(simulation.StoreHost, 0)
}

// slowStore delays some requests to the store by up to maxExtra.
func (c *cluster) slowStore(maxExtra time.Duration) {
	c.network.SetMaxExtraLatency(simulation.StoreHost, maxExtra)
}

// lowerStoreLimits makes the store enforce the upcoming limits, if any were announced.
func (c *cluster) lowerStoreLimits() {
	if limits := c.upcomingLimits; limits != nil {
		c.store.SetLimits(simulation.StoreLimits{WriteRate: limits.WriteRate, MaxValueKB: limits.MaxValueKB, MaxTxnOps: limits.MaxTxnOps})
	}
}

// announceLowerStoreLimits makes the store enforce its present limits, and restarts all controllers
// with settings that announce lower ones.
func (c *cluster) announceLowerStoreLimits() {
	limits := c.cfg.Params.Store
	c.setStoreLimits()
	c.upcomingLimits = &config.UpcomingStoreLimits{
		WriteRate: limits.WriteRate / 2, MaxValueKB: max(1, limits.MaxValueKB/4), MaxTxnOps: max(4, limits.MaxTxnOps/2),
	}
	for _, member := range c.members {
		c.fastRestart(member)
	}
}

// setStoreLimits makes the store enforce the limits in the settings.
func (c *cluster) setStoreLimits() {
	limits := c.cfg.Params.Store
	c.store.SetLimits(simulation.StoreLimits{WriteRate: limits.WriteRate, MaxValueKB: limits.MaxValueKB, MaxTxnOps: limits.MaxTxnOps})
}
