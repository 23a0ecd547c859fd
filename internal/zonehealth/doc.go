// Package zonehealth judges the health of a deployment's zones from evidence: which machines
// are reachable, which machine pools the cloud has exhausted, and which controllers are down.
//
// The package is pure: a ReachabilityTracker collects evidence on machines, a PhaseTracker runs
// one state machine for each zone, and both are told the time. The actor that owns them is in
// package zonecontrol.
package zonehealth
