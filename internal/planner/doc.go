// Package planner computes how many machines of which pool to provision and which to
// terminate, given the pending work and the machines there are. It is the scaling loop of
// docs/design.md, and pure.
package planner
