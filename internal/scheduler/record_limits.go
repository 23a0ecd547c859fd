package scheduler

import (
	"lynxledge/internal/config"
	"lynxledge/internal/statecache"
	"lynxledge/wire"
)

// Sizes of a group's record as shares of the store's limit of a value, besides those up to which
// bindings may fill it (statecache.BindingFillShareOf).
const (
	compactionFillShare = 0.7 // above it completions are moved to completion chunks
	mergeFillShare      = 0.6 // groups are merged up to this size, and are not split soon after
	splitFillShare      = 0.9 // above it a record is split
	fullSplitFillShare  = 0.7 // above it a record without room for another binding is split too
)

// recordLimits holds the limits of records and transactions in the store. They may be lowered while
// the process runs.
type recordLimits struct {
	store *config.StoreLimits
}

// valueBytes returns a share of the limit of a value in bytes.
func (l recordLimits) valueBytes(share float64) int {
	return int(float64(l.store.ValueSizeLimit()) * share)
}

// bindingBytes returns the size in bytes up to which bindings of tasks of a priority may fill a
// group's record.
func (l recordLimits) bindingBytes(priority wire.Priority) int {
	return l.valueBytes(statecache.BindingFillShareOf(priority))
}

// txnOps returns the limit of writes in a transaction.
func (l recordLimits) txnOps() int { return l.store.TxnOpsLimit() }
