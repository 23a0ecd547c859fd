// Package statecache keeps an in-memory view of the controllers' records in the key-value store
// up to date by watching the store, and commits compare-and-swap transactions to it.
package statecache
