// Package rpc implements request-response calls between controllers: binary frames over one persistent connection in
// each direction.
//
// A frame consists of the length of the rest (4 bytes, big endian), the version (1 byte), the kind (1 byte), the
// request number (8 bytes, big endian) and the payload. The receiver of a frame of another version or over the size
// limit closes the connection.
//
// Serve handles the requests of other controllers; a Link sends requests to one of them.
package rpc

import (
	"errors"

	"fieldhill/internal/codec"
)

// Op identifies the operation of a request.
type Op uint8

// Operations. Their numbers are part of the protocol. A controller that does not know an operation responds with status
// 501.
const (
	OpPing           Op = iota + 1
	OpSubmit            // submits a job to the leader
	OpStatus            // returns the status of a job
	OpCancel            // cancels a job at the leader
	OpPendingReasons    // explains why a job is pending
	OpQueue             // lists the pending jobs
	OpRoleResult        // reports the result of work under a singleton role, with the role's term
	OpRenewals          // returns the last lease renewals of a zone's machines, after applying a given log batch
	OpWatermark         // returns the process's age and the highest log position that it has seen
	OpRelayOffer        // offers to relay agents' heartbeats
	OpRelayHeartbeat    // relays a heartbeat; ID is the relaying node
	OpRelayCommands     // relays commands to the agent at the address ID
	OpRelayProbe        // probes the agent at the address ID
)

// Request is a request to another controller.
type Request struct {
	Op   Op
	ID   string // job, node or address, depending on the operation
	Body []byte // encoding depends on the operation
}

// Response is the response to a Request. It mirrors an HTTP response without headers, because most responses are passed
// on to users over HTTP.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0 for none
	Body       []byte
}

// Valid range of a response's status, and maximum of its Retry-After in seconds.
const (
	minStatus     = 100
	maxStatus     = 599
	maxRetryAfter = 3600
)

// Errors that Link.Do wraps in an error that names the operation and the node.
var (
	// ErrNotConnected means that the request was not sent because there is no connection to the peer, or because too
	// many requests to the peer are pending.
	ErrNotConnected = errors.New("not connected")
	// ErrTooLarge means that the request was not sent because it exceeds MaxBody.
	ErrTooLarge = errors.New("request too large for a frame")
	// ErrConnectionLost means that the connection ended before the response was received.
	ErrConnectionLost = errors.New("connection lost")
)

// IsNotSent reports whether an error returned by Link.Do means that the request was certainly not sent.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotConnected) || errors.Is(err, ErrTooLarge) }

func appendRequest(b []byte, request *Request) []byte {
	b = append(b, byte(request.Op))
	b = codec.String(b, request.ID)
	return codec.Bytes(b, request.Body)
}

func readRequest(payload []byte) (*Request, error) {
	if len(payload) == 0 {
		return nil, codec.ErrMalformed
	}
	r := codec.Reader{Data: payload[1:]}
	request := &Request{Op: Op(payload[0]), ID: r.String(), Body: r.Bytes()}
	if !r.Done() {
		return nil, codec.ErrMalformed
	}
	return request, nil
}

func appendResponse(b []byte, response *Response) []byte {
	b = codec.Uint(b, uint64(response.Status))
	b = codec.Uint(b, uint64(response.RetryAfter))
	return codec.Bytes(b, response.Body)
}

func readResponse(payload []byte) (*Response, error) {
	r := codec.Reader{Data: payload}
	response := &Response{Status: r.Max(maxStatus), RetryAfter: r.Max(maxRetryAfter), Body: r.Bytes()}
	if !r.Done() || response.Status < minStatus {
		return nil, codec.ErrMalformed
	}
	return response, nil
}
