// Package kvstore is the client of the consensus-backed key-value store. It keeps to this
// controller's share of the store's rates, and says of every failure whether the request may
// have been executed.
package kvstore
