// Package zonehealth derives the health of a deployment's zones from evidence: which machines
// are reachable, which machine pools have no machines left in the cloud, and which controllers
// are down.
//
// A ReachabilityTracker collects evidence on machines, and a PhaseTracker runs one state machine
// for each zone. Neither does I/O or reads the clock: callers pass the time. The actor that owns
// them is in package zonecontrol.
package zonehealth
