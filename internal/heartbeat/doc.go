// Package heartbeat answers the workers' heartbeats. It renews their leases, sends them the
// commands that reconciliation calls for, and forwards the evidence of each heartbeat to the
// controller whose scheduler writes it to the store.
//
// A lease is renewed only while the view is fresh enough to know every cancellation in time. A
// worker that another controller can serve better is redirected to it.
package heartbeat
