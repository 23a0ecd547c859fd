// Package failuredetector classifies the other controllers as alive, suspect or failed by
// their heartbeats and connections. It has no goroutines and no clock of its own; package standby
// feeds it and acts on its verdicts. A verdict is a reason to act early, never a proof: every
// write that follows from it is conditional on the store's records.
package failuredetector
