package config

import (
	"fmt"
	"math"
)

// Minimum resources with which a controller serves a deployment of a few hundred machines.
// docs/performance.md has the measurements.
const (
	minRecommendedCPU             = 0.02 // in CPUs
	minRecommendedMemoryMB        = 40.0
	minRecommendedFileDescriptors = 100 // for sockets; with fewer, commands and heartbeats have to wait for one
)

const (
	// RenewalsPerLeaseTTL is how many times a controller renews its membership lease within
	// the lease's time to live.
	RenewalsPerLeaseTTL = 3

	// leaseRenewalRateShare is the share of the store's request rate that lease renewals may
	// take. The rest is for transactions, watches and users' reads.
	leaseRenewalRateShare = 0.25
)

// Warnings lists settings that are probably inadequate, each as a comparison with the bound that it
// violates, such as "params.state.rps<4". They are not errors: the controller starts nevertheless.
func (c *Config) Warnings() []string {
	warnings := c.Params.Resources.Warnings()
	if needed := c.leaseRenewalRate() / leaseRenewalRateShare; c.Params.Store.RequestRateLimit() < needed {
		warnings = append(warnings, fmt.Sprintf("params.state.rps<%.0f", math.Ceil(needed)))
	}
	if s := c.Operator.Standby; s != nil && s.warning(c.Params.Workers) != "" {
		warnings = append(warnings, s.warning(c.Params.Workers))
	}
	return warnings
}

// leaseRenewalRate returns the rate of the lease renewals of all controllers, per second.
func (c *Config) leaseRenewalRate() float64 {
	leaseTTLSeconds := c.Params.Workers.HeartbeatInterval.Seconds() * c.Operator.MemberLeaseHeartbeats
	return float64(len(c.Peers)+1) * RenewalsPerLeaseTTL / leaseTTLSeconds
}

// Warnings lists resources that are probably too small, in the form of [Config.Warnings].
func (r ControllerResources) Warnings() []string {
	var warnings []string
	if r.CPUs < minRecommendedCPU {
		warnings = append(warnings, fmt.Sprintf("params.resources.cpu<%v", minRecommendedCPU))
	}
	if r.MemoryMB < minRecommendedMemoryMB {
		warnings = append(warnings, fmt.Sprintf("params.resources.memory_mb<%v", minRecommendedMemoryMB))
	}
	if r.FileDescriptorLimit > 0 && r.FileDescriptorLimit < minRecommendedFileDescriptors {
		warnings = append(warnings, fmt.Sprintf("params.resources.fd_limit<%v", minRecommendedFileDescriptors))
	}
	return warnings
}
