// Package scheduler contains the actor that binds tasks to machines. In each scheduling
// cycle it applies the evidence from heartbeats, marks completed jobs as done, and places the
// queued tasks of the teams assigned to this controller, all in one compare-and-swap transaction.
//
// The actor, [Scheduler], subscribes to the state cache, commits the transactions and sends
// commands to workers. Its state is schedulingState: the view of the store, the node index, the
// image caches, the job queue, the backoff, the evidence to be written, the group layout and the
// write budget, each a type with a single responsibility. A cycle is planned from that state
// without I/O: it collects a transaction, the commands that result from it, and functions to call
// once it is committed.
package scheduler
