// Package scheduler contains the actor that binds tasks to machines. In each scheduling
// cycle it applies the evidence from heartbeats, finishes jobs, and places the queued tasks
// of the teams assigned to this controller, all in one compare-and-swap transaction.
//
// The actor, [Scheduler], subscribes to the state cache, commits the transactions and sends
// commands to workers. What it knows is schedulingState: the view of the store, and beside it the
// node index, the image caches, the job queue, the backoff, the evidence that waits to be
// written, the group layout and the write budget, each a type with one job. A cycle is planned
// from that state without input or output: it collects a transaction, the commands that follow
// from it, and what is to be done once it is committed.
package scheduler
