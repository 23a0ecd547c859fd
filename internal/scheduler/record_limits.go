package scheduler

import "lynxledge/internal/config"

// Parts of the store's limit of a value. Bound tasks may fill the first; the rest is for what a
// record says when they end.
const (
	bindingFillShare      = 0.8
	highPriorityFillShare = 0.9 // for tasks of priority high and above: the others must not leave them without a record
	compactionFillShare   = 0.7 // completions are moved out of a record beyond
	mergeFillShare        = 0.6 // groups are merged up to here
	splitFillShare        = 0.9 // a record beyond is split
	fullSplitFillShare    = 0.7 // a record beyond that takes no more tasks is split too
)

// recordLimits is how much the store takes in a record and in a transaction. The limits may
// fall while the process runs.
type recordLimits struct {
	store *config.StoreLimits
}

// valueBytes is a part of the limit of a value.
func (l recordLimits) valueBytes(part float64) int {
	return int(float64(l.store.ValueSizeLimit()) * part)
}

// txnOps is the limit of writes of a transaction.
func (l recordLimits) txnOps() int { return l.store.TxnOpsLimit() }
