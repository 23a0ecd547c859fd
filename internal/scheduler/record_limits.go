package scheduler

import "lynxledge/internal/config"

// Sizes of a group's record as shares of the store's limit of a value. Bindings may fill it up to
// bindingFillShare or highPriorityFillShare; the rest is for completions and terminations when the
// tasks end.
const (
	bindingFillShare      = 0.8
	highPriorityFillShare = 0.9 // for tasks of priority high and above, so that others don't use up their room
	compactionFillShare   = 0.7 // above it completions are moved to completion chunks
	mergeFillShare        = 0.6 // groups are merged up to this size
	splitFillShare        = 0.9 // above it a record is split
	fullSplitFillShare    = 0.7 // above it a record without room for another binding is split too
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

// txnOps returns the limit of writes in a transaction.
func (l recordLimits) txnOps() int { return l.store.TxnOpsLimit() }
