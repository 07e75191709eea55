package wire

import "github.com/vmihailenco/msgpack/v5"

// Paths of the key-value store's API.
const (
	PathKeys   = "/keys"
	PathTxn    = "/multi"
	PathLeases = "/grants"
	PathWatch  = "/follow"
)

// LogValue is the format of every value that this service stores: header fields, of which each kind of key uses some,
// and Data, whose encoding is defined by the package that owns the key.
type LogValue struct {
	Version int    `msgpack:"v"`           // format version
	Term    uint64 `msgpack:"t"`           // term of the leader that wrote the value
	Node    string `msgpack:"n,omitempty"` // controller that the value is about
	Lease   uint64 `msgpack:"l,omitempty"` // lease that the key is attached to
	Seq     uint64 `msgpack:"s,omitempty"` // log position
	Count   int    `msgpack:"c,omitempty"` // for example the number of parts of a snapshot
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

// Condition requires a key to be at a version; version 0 requires that the key does not exist.
type Condition struct {
	Key     string `msgpack:"key"`
	Version uint64 `msgpack:"stamp"`
}

// Write is one write of a transaction. Either Put names a key to set to Value, attached to a lease unless Lease is 0,
// or Delete names a key to delete.
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

// Event is one change of a watched key. Either Put names the key that was set to Value, or Delete the key that was
// deleted.
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
