package wire

import "encoding/json"

// KeyValue is one key of the key-value store.
type KeyValue struct {
	Key         string          `json:"path"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`            // revision of the key's last change
	LeaseID     uint64          `json:"permit,omitempty"` // the key is removed when this lease expires; 0: none
}

// RangeResponse is a page of the keys with a prefix, as of a revision of the store.
type RangeResponse struct {
	KeyValues []KeyValue `json:"items"`
	More      bool       `json:"more"`
	Revision  uint64     `json:"epoch"`
}

// Precondition is a condition of a transaction: the key has this modification revision.
type Precondition struct {
	Key         string `json:"path"`
	ModRevision uint64 `json:"stamp"` // 0: the key does not exist
}

// Write is one write of a transaction: a put, or a delete if PutKey is empty.
type Write struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"data,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"`
	DeleteKey string          `json:"remove,omitempty"`
}

// Key returns the key that is written.
func (w *Write) Key() string {
	if w.PutKey != "" {
		return w.PutKey
	}
	return w.DeleteKey
}

// Txn is a compare-and-swap transaction: all writes are made if all preconditions hold, and
// none otherwise.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Writes        []Write        `json:"writes,omitempty"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed,omitempty"` // whose preconditions do not hold
}

// Event is one change seen by a watch: a put, or a delete if PutKey is empty.
type Event struct {
	PutKey      string          `json:"set,omitempty"`
	Value       json.RawMessage `json:"data,omitempty"`
	DeletedKey  string          `json:"remove,omitempty"`
	ModRevision uint64          `json:"stamp"`
}

// WatchResponse answers a watch with all changes up to a revision.
type WatchResponse struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"news"`
}

// LeaseGrantRequest asks for a lease.
type LeaseGrantRequest struct {
	TTLMillis int64 `json:"lifeMs"` // time to live, in milliseconds
}

// LeaseGrantResponse names the lease that was granted.
type LeaseGrantResponse struct {
	LeaseID uint64 `json:"permit"`
}
