// Package wire defines the messages of the platform's interfaces: the user API, the agents' heartbeats and commands,
// the cloud, the key-value store, and this service's own admin API. It owns spellings, protocol limits and the check
// whether a message is well formed, and knows nothing of what the service does with one, so that clients can import it
// by itself.
//
// The platform spells many things in words of its own ("baton" for a fencing token, "shift" for an agent epoch). These
// appear here alone, in struct tags and constants; the Go names are the terms of the field that docs/GLOSSARY.md lists.
// Times and durations are seconds in fields that end in S, and sizes are gigabytes in those that end in GB.
//
// Messages are MessagePack maps, except for the admin API, which speaks JSON.
package wire

// ContentType is the media type of every message but those of the admin API.
const ContentType = "application/msgpack"

// MaxBody is how many bytes of a message are read at most, in either direction.
const MaxBody = 64 << 10

// Problem is the body of a refusal on every interface but the admin API.
type Problem struct {
	Error string `msgpack:"error"`
}
