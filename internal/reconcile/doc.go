// Package reconcile compares a machine's stored record with a heartbeat of its worker. The result
// says which tasks have certainly terminated, what has to be updated in the record, and which
// commands the worker needs. Its functions have no side effects.
package reconcile
