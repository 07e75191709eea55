package wire

import "github.com/vmihailenco/msgpack/v5"

// Paths of the key-value store's interface.
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/grants"
	PathWatch  = "/follow"
)

// LogValue is the only kind of value that this service stores: text behind a short header. What the text means is
// defined by the package that owns the key.
type LogValue struct {
	Version int    `msgpack:"v"` // of the format
	Term    uint64 `msgpack:"t"` // of the leader that wrote it
	Node    string `msgpack:"n,omitempty"`
	Lease   uint64 `msgpack:"l,omitempty"`
	Seq     uint64 `msgpack:"s,omitempty"`
	Count   int    `msgpack:"c,omitempty"`
	Data    string `msgpack:"d,omitempty"`
}

// Item is a key of the store with its value, which another client may have written in any form.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version uint64             `msgpack:"stamp"`            // changes with every write of the key
	Lease   uint64             `msgpack:"permit,omitempty"` // with whose expiry the key is deleted; 0 for none
}

// Items is a page of keys in their order.
type Items struct {
	Items    []Item `msgpack:"items"`
	More     bool   `msgpack:"truncated"`
	Revision uint64 `msgpack:"ledger"` // of the whole store, at which the page was read
}

// Condition makes a transaction depend on a key being at a version; 0 demands that it does not exist.
type Condition struct {
	Key     string `msgpack:"key"`
	Version uint64 `msgpack:"stamp"`
}

// Write is one change of a transaction: either Put, with a value and perhaps a lease, or Delete names the key.
type Write struct {
	Put    string    `msgpack:"put,omitempty"`
	Value  *LogValue `msgpack:"value,omitempty"`
	Lease  uint64    `msgpack:"permit,omitempty"`
	Delete string    `msgpack:"delete,omitempty"`
}

// Txn is a compare-and-swap over several keys: all writes are carried out if all conditions hold, and none otherwise.
type Txn struct {
	If   []Condition `msgpack:"guards"`
	Then []Write     `msgpack:"writes"`
}

// TxnResponse is the outcome of a transaction: the store's revision after it, or the keys whose conditions failed.
type TxnResponse struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

// LeaseResponse names a granted lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"permit"`
}

// Event is one change seen by a watch: either Put or Delete names the key.
type Event struct {
	Put     string             `msgpack:"put,omitempty"`
	Delete  string             `msgpack:"delete,omitempty"`
	Value   msgpack.RawMessage `msgpack:"value,omitempty"`
	Version uint64             `msgpack:"stamp"`
}

// Events is the answer of a watch: the changes up to a revision, from which the next watch goes on.
type Events struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}
