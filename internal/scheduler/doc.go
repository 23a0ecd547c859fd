// Package scheduler contains the actor that binds tasks to machines. In each scheduling
// cycle it applies the evidence from heartbeats, finishes jobs, and places the queued tasks
// of the teams assigned to this controller, all in one compare-and-swap transaction.
package scheduler
