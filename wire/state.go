package wire

import "encoding/json"

// KeyValue is one key of the state service.
type KeyValue struct {
	Key         string          `json:"path"`
	Value       json.RawMessage `json:"data"`
	ModRevision uint64          `json:"stamp"`
	LeaseID     uint64          `json:"permit,omitempty"`
}

// RangeResponse is a page of keys.
type RangeResponse struct {
	KeyValues []KeyValue `json:"items"`
	More      bool       `json:"more"`
	Revision  uint64     `json:"epoch"`
}

// Precondition is a condition of a transaction: the key has this version, 0 for none.
type Precondition struct {
	Key         string `json:"path"`
	ModRevision uint64 `json:"stamp"`
}

// Write is one change of a transaction: a put or a delete.
type Write struct {
	PutKey    string          `json:"set,omitempty"`
	Value     json.RawMessage `json:"data,omitempty"`
	LeaseID   uint64          `json:"permit,omitempty"`
	DeleteKey string          `json:"remove,omitempty"`
}

// Key is the key that the write changes.
func (w *Write) Key() string {
	if w.PutKey != "" {
		return w.PutKey
	}
	return w.DeleteKey
}

// Txn is a guarded set of writes.
type Txn struct {
	Preconditions []Precondition `json:"guards"`
	Writes        []Write        `json:"writes,omitempty"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	PutKey      string          `json:"set,omitempty"`
	Value       json.RawMessage `json:"data,omitempty"`
	DeletedKey  string          `json:"remove,omitempty"`
	ModRevision uint64          `json:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"news"`
}

// LeaseGrantRequest and LeaseReply create a lease.
type LeaseGrantRequest struct {
	TTLMillis int64 `json:"lifeMs"`
}

// LeaseGrantResponse names a lease.
type LeaseGrantResponse struct {
	LeaseID uint64 `json:"permit"`
}
