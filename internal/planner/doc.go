// Package planner computes which machines to provision and which to terminate, given the
// waiting tasks and the existing machines. [Compute] is a pure function: each call plans one
// planning cycle, the scaling loop of docs/design.md.
//
// Terms: a demand is a number of tasks of one job that need capacity. A bin is an existing
// machine with the expected ends of its tasks. A pool is a machine type in a zone, spot or
// on-demand. Demands are covered by bin packing: tasks are assigned first to bins, then to new
// machines of the cheapest pool. Each task assigned to a pool adds load to it, in machines;
// the rounded-up load is the number of machines to provision. Headroom is capacity kept free
// for urgent jobs. Idle machines are scaled in near the end of a billing period.
//
// Times are float64 seconds from the time of planning, in names that end in Seconds. +Inf
// means never.
package planner
