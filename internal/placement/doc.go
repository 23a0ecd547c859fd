// Package placement decides where a task may and should run: which machine types, zones and
// spot instances its job allows, which node with capacity suits it best, and which running
// tasks could be preempted or moved for it. It is pure: it holds no state and takes the nodes
// to choose among from its callers.
package placement
