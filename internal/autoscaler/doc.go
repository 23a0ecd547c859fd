// Package autoscaler contains the leader's actor that provisions and terminates machines. It
// scales out by the planner's plan, adopts instances that it did not provision, and scales in
// machines that are idle, faulty or unreachable.
//
// The [Autoscaler] owns the state and talks to the store, the cloud and the workers. Each kind
// of state is a type of its own: the jobs and their runtimes, the liveness of machines, the
// provisioning and the terminations under way, the machine updates that wait to be written.
package autoscaler
