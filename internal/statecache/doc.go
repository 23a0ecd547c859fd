// Package statecache keeps a watched, in-memory view of the controllers' records in the
// key-value store, and commits compare-and-swap transactions to it.
package statecache
