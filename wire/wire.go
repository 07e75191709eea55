// Package wire defines the messages of the platform's interfaces: the user API, the agents' heartbeats and commands,
// the cloud, the key-value store, and this service's own admin API. It defines names, limits and the validation of
// messages, and does not depend on the rest of the service, so that clients can import it.
//
// The platform has its own names for many concepts ("baton" for a fencing token, "shift" for an agent epoch). They
// occur only in the struct tags and constants of this package; the Go names are the usual terms, which docs/GLOSSARY.md
// lists. Fields whose names end in S are in seconds, and those whose names end in GB in gigabytes.
//
// Messages are MessagePack maps, except in the admin API, which uses JSON.
package wire

// ContentType is the media type of every message but those of the admin API.
const ContentType = "application/msgpack"

// MaxBody is the maximum size of a message in bytes, in either direction. The protocol counts a message's JSON form,
// which can be smaller than its MessagePack (MaxEncodedBody).
const MaxBody = 64 << 10

// MaxEncodedBody is the maximum size in bytes of a request in MessagePack. A number of one digit takes two bytes in
// JSON, with its separator, and up to nine in MessagePack.
const MaxEncodedBody = 5 * MaxBody

// Problem is the body of an error response on every interface but the admin API.
type Problem struct {
	Error string `msgpack:"error"`
}
