// Package autoscaler contains the leader's actor that provisions and terminates machines. It
// scales out according to the planner's plan, adopts instances that have no record, and scales in
// machines that are idle, faulty or unreachable.
//
// The [Autoscaler] owns the state and talks to the store, the cloud and the workers. Each part of
// the state has a type of its own: the jobs and their runtimes, the liveness of machines, the
// provisioning and the terminations in flight, and the machine updates to be written.
package autoscaler
