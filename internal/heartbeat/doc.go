// Package heartbeat answers the workers' heartbeats. It renews their leases, sends them the
// commands that reconciliation calls for, and forwards the evidence of each heartbeat to the
// controller whose scheduler writes it.
package heartbeat
