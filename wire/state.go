package wire

import "encoding/json"

// Item is one key of the state service.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit,omitempty"`
}

// Items is a page of keys.
type Items struct {
	Items    []Item `json:"items"`
	More     bool   `json:"more"`
	Revision uint64 `json:"epoch"`
}

// Guard is a condition of a transaction: the key has this version, 0 for none.
type Guard struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Write is one change of a transaction: a put or a delete.
type Write struct {
	Put    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"permit,omitempty"`
	Delete string          `json:"remove,omitempty"`
}

// Key is the key that the write changes.
func (w *Write) Key() string {
	if w.Put != "" {
		return w.Put
	}
	return w.Delete
}

// Txn is a guarded set of writes.
type Txn struct {
	Guards []Guard `json:"guards"`
	Writes []Write `json:"writes,omitempty"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Put     string          `json:"set,omitempty"`
	Value   json.RawMessage `json:"data,omitempty"`
	Delete  string          `json:"remove,omitempty"`
	Version uint64          `json:"stamp"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"news"`
}

// LeaseRequest and LeaseReply create a lease.
type LeaseRequest struct {
	TTLms int64 `json:"lifeMs"`
}

// LeaseReply names a lease.
type LeaseReply struct {
	Lease uint64 `json:"permit"`
}
