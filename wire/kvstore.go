package wire

import "github.com/vmihailenco/msgpack/v5"

// Paths of the key-value store's API.
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/grants"
	PathWatch  = "/follow"
)

// LogValue is the format of every value that this service stores: a short header and Data, whose encoding is defined by
// the package that owns the key.
type LogValue struct {
	Version int    `msgpack:"v"` // format version
	Term    uint64 `msgpack:"t"` // term of the leader that wrote it
	Node    string `msgpack:"n,omitempty"`
	Lease   uint64 `msgpack:"l,omitempty"`
	Seq     uint64 `msgpack:"s,omitempty"`
	Count   int    `msgpack:"c,omitempty"`
	Data    string `msgpack:"d,omitempty"`
}

// Item is a key of the store with its value. The value is not decoded, because other clients may use other formats.
type Item struct {
	Key     string             `msgpack:"key"`
	Value   msgpack.RawMessage `msgpack:"value"`
	Version uint64             `msgpack:"stamp"`            // changes with each write of the key
	Lease   uint64             `msgpack:"permit,omitempty"` // lease on whose expiry the key is deleted; 0 for none
}

// Items is a page of items in key order.
type Items struct {
	Items    []Item `msgpack:"items"`
	More     bool   `msgpack:"truncated"`
	Revision uint64 `msgpack:"ledger"` // store revision at which the page was read
}

// Condition requires a key to be at a version; version 0 requires that it does not exist.
type Condition struct {
	Key     string `msgpack:"key"`
	Version uint64 `msgpack:"stamp"`
}

// Write is one write of a transaction. Either Put names the key, with a value and optionally a lease, or Delete does.
type Write struct {
	Put    string    `msgpack:"put,omitempty"`
	Value  *LogValue `msgpack:"value,omitempty"`
	Lease  uint64    `msgpack:"permit,omitempty"`
	Delete string    `msgpack:"delete,omitempty"`
}

// Txn is an atomic transaction over several keys: all writes are applied if all conditions hold, otherwise none.
type Txn struct {
	If   []Condition `msgpack:"guards"`
	Then []Write     `msgpack:"writes"`
}

// TxnResponse is the result of a transaction: the store's revision after it, or the keys whose conditions failed.
type TxnResponse struct {
	Revision uint64   `msgpack:"ledger"`
	Failed   []string `msgpack:"failed"`
}

// LeaseRequest requests a new lease.
type LeaseRequest struct {
	TTLMillis int64 `msgpack:"ttl_ms"`
}

// LeaseResponse returns the id of a granted lease.
type LeaseResponse struct {
	Lease uint64 `msgpack:"permit"`
}

// Event is one change of a watched key. Either Put or Delete names the key.
type Event struct {
	Put     string             `msgpack:"put,omitempty"`
	Delete  string             `msgpack:"delete,omitempty"`
	Value   msgpack.RawMessage `msgpack:"value,omitempty"`
	Version uint64             `msgpack:"stamp"`
}

// Events is the response to a watch: the changes up to Revision, from which the next watch continues.
type Events struct {
	Revision uint64  `msgpack:"ledger"`
	Events   []Event `msgpack:"news"`
}
