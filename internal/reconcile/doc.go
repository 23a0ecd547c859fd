// Package reconcile compares a machine's stored record with the heartbeat of its worker. The
// result says which tasks have certainly terminated, what the record has to be updated with,
// and which commands the worker needs. It is pure.
package reconcile
