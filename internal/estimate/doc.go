// Package estimate predicts how long tasks run, when jobs that wait for dependencies can
// start, and by when a job has to be done.
package estimate
