// Package autoscaler contains the leader's actor that provisions and terminates machines.
// It scales out by the planner's plan, adopts instances it did not ask for, and scales in
// machines that are idle, faulty or unreachable.
package autoscaler
