// Package failuredetector classifies the other controllers as alive, suspect or failed by
// their heartbeats and connections. It has no goroutines and no clock of its own; package standby
// feeds it events and acts on its verdicts. A verdict may be wrong: it justifies acting early, but
// every write based on it must be conditional on the records in the store.
package failuredetector
