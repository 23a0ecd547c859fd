// Package heartbeat answers the workers' heartbeats. It renews their leases, sends them the
// commands that reconciliation calls for, and forwards the evidence in each heartbeat to the
// active scheduler, which writes it to the store.
//
// A lease is renewed only while the view is fresh enough to include every cancellation in time. A
// controller with an old view redirects workers to one that has a fresh view.
package heartbeat
