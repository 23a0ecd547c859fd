package wire

import "encoding/json"

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key         string          `json:"path"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`            // revision of the key's last modification
	LeaseID     uint64          `json:"permit,omitempty"` // the key is deleted when this lease expires; 0: no lease
}

// RangeResponse is a page of the keys with a prefix, at a revision of the store.
type RangeResponse struct {
	KeyValues []KeyValue `json:"items"`
	More      bool       `json:"more"`
	Revision  uint64     `json:"epoch"`
}

// Precondition is a condition of a transaction: the key must have this modification revision.
type Precondition struct {
	Key         string `json:"path"`
	ModRevision uint64 `json:"stamp"` // 0: the key does not exist
}

// Write is a write of a transaction: a put, or a delete if PutKey is empty.
type Write struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"data,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"`
	DeleteKey string          `json:"remove,omitempty"`
}

// Key returns the key that is put or deleted.
func (w *Write) Key() string {
	if w.PutKey != "" {
		return w.PutKey
	}
	return w.DeleteKey
}

// Txn is a compare-and-swap transaction: all writes are applied if all preconditions hold, and
// none otherwise.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Writes        []Write        `json:"writes,omitempty"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed,omitempty"` // keys whose preconditions do not hold
}

// Event is a change of a watched key: a put, or a delete if PutKey is empty.
type Event struct {
	PutKey      string          `json:"set,omitempty"`
	Value       json.RawMessage `json:"data,omitempty"`
	DeletedKey  string          `json:"remove,omitempty"`
	ModRevision uint64          `json:"stamp"`
}

// WatchResponse is the response to a watch: all changes up to a revision.
type WatchResponse struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"news"`
}

// LeaseGrantRequest asks for a lease.
type LeaseGrantRequest struct {
	TTLMillis int64 `json:"lifeMs"` // time to live, in milliseconds
}

// LeaseGrantResponse is the response to a LeaseGrantRequest.
type LeaseGrantResponse struct {
	LeaseID uint64 `json:"permit"`
}
