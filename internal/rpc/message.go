// Package rpc carries requests between controllers in binary frames over one connection in each direction, which is
// kept up.
//
// A frame is: length (4 bytes, big endian, of what follows), version (1), kind (1), request number (8, big endian),
// payload. Frames of another version or over the size limit end the connection.
//
// Serve answers the requests of other controllers, a Link sends requests to one of them.
package rpc

import (
	"errors"

	"fieldhill/internal/codec"
)

// Op tells what a request asks for.
type Op uint8

// The operations. Their numbers are on the wire. A node that does not know one answers 501.
const (
	OpPing           Op = iota + 1
	OpSubmit            // a submission, for the leader
	OpStatus            // the status of a job
	OpCancel            // a cancellation, for the leader
	OpPendingReasons    // why a job waits
	OpQueue             // what waits
	OpRoleResult        // the result of a singleton role, under its term
	OpRenewals          // when the leases of a zone's machines were last renewed, by a node that has applied a batch
	OpWatermark         // how old a process is, and what it has ever seen of the log
	OpRelayOffer        // to relay heartbeats of agents
	OpRelayReport       // a heartbeat that is relayed; ID is the node that does it
	OpRelayOrders       // a direct command to the agent at the address ID
	OpRelayProbe        // a probe of the agent at the address ID
)

// Request is a request to another controller.
type Request struct {
	Op   Op
	ID   string // of what the operation is about
	Body []byte // as the operation has it
}

// Response is its answer. Most are passed on to a user, so it is an HTTP response without headers.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0: not given
	Body       []byte
}

// The limits of a response's numbers.
const (
	minStatus     = 100
	maxStatus     = 599
	maxRetryAfter = 3600
)

// Errors of a request.
var (
	// ErrNotConnected says that the other controller can't be reached now, or that too many requests wait for it.
	ErrNotConnected = errors.New("not connected")
	// ErrTooLarge says that a request was not sent since it does not fit into a frame.
	ErrTooLarge = errors.New("too large for a frame")
	// ErrConnectionLost says that the connection ended before the response came.
	ErrConnectionLost = errors.New("connection lost")
)

// IsNotSent tells whether a request's error means that it surely was not sent.
func IsNotSent(err error) bool { return errors.Is(err, ErrNotConnected) || errors.Is(err, ErrTooLarge) }

func appendRequest(b []byte, request *Request) []byte {
	b = append(b, byte(request.Op))
	b = codec.String(b, request.ID)
	return codec.Bytes(b, request.Body)
}

func readRequest(payload []byte) (*Request, error) {
	if len(payload) == 0 {
		return nil, codec.ErrShort
	}
	r := codec.Reader{Data: payload[1:]}
	request := &Request{Op: Op(payload[0]), ID: r.String(), Body: r.Bytes()}
	if !r.Done() {
		return nil, codec.ErrShort
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
		return nil, codec.ErrShort
	}
	return response, nil
}
