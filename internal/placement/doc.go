// Package placement decides where a task may and should run: whether its job's constraints allow
// a machine type, zone and spot machines, which node with capacity suits it best, and which running
// tasks could be preempted or moved for it. It holds no state. Nodes belong to the callers; only
// FindReplicaToMove modifies one, by claiming capacity on it.
package placement
