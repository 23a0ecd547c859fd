// Package estimate predicts how long tasks run and when blocked jobs can start, and computes
// the deadlines of jobs.
package estimate
