// Package planner computes which machines to provision and which to terminate, given the
// tasks that wait for machines and the machines there are. It is pure: one call of [Compute]
// plans one planning cycle, the scaling loop of docs/design.md.
//
// Terms: a demand is tasks of one job that wait. A capacity slot is an existing machine and
// when the tasks on it end. A pool is a machine type in a zone, spot or on demand. Demands
// are covered by bin packing, first on the slots, then on new machines of the cheapest pool.
// Each task covered by a pool adds load to it, a share of a machine; the rounded-up load is
// how many machines to scale out by. Headroom is capacity kept free for urgent jobs. Idle
// machines are scaled in near the end of a billing period.
//
// Times are float64 seconds counted from the time of planning, and named so. +Inf stands for
// an end that is not expected.
package planner
