package rpc

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"fieldhill/internal/golden"
)

// frame is one frame in the terms of the package.
type frame[T any] struct {
	Kind    byte
	Number  uint64
	Message *T
}

// frames goes through a stream of frames, as the files hold them.
func frames[T any](t *testing.T, name string, want []frame[T], write func([]byte, *T) []byte,
	read func([]byte) (*T, error)) {
	t.Helper()
	golden.RoundTrip(t, name, want, func(all []frame[T]) (b []byte) {
		for _, f := range all {
			b = appendFrame(b, f.Kind, f.Number, write(nil, f.Message))
		}
		return b
	}, func(b []byte) (all []frame[T], err error) {
		for r := bytes.NewReader(b); r.Len() > 0; {
			kind, number, payload, err := readFrame(r)
			if err != nil {
				return nil, err
			}
			m, err := read(payload)
			if err != nil {
				return nil, err
			}
			all = append(all, frame[T]{kind, number, m})
		}
		return all, nil
	})
}

// TestGoldenFrames: requests with every operation, and responses, are written and read as they always were.
func TestGoldenFrames(t *testing.T) {
	ops := []Op{OpPing, OpSubmit, OpStatus, OpCancel, OpPendingReasons, OpQueue, OpRoleResult, OpRenewals, OpWatermark,
		OpRelayOffer, OpRelayReport, OpRelayOrders, OpRelayProbe}
	var requests []frame[Request]
	for i, op := range ops {
		if int(op) != i+1 {
			t.Errorf("operation %d has number %d", i+1, op)
		}
		request := &Request{Op: op, ID: fmt.Sprint("id-", i), Body: []byte{byte(i)}}
		requests = append(requests, frame[Request]{kindRequest, uint64(i) << 32, request})
	}
	requests = append(requests, frame[Request]{kindRequest, 1<<64 - 1, &Request{Op: OpPing, Body: []byte{}}},
		frame[Request]{kindRequest, 1, &Request{Op: OpSubmit, ID: "long", Body: []byte(strings.Repeat("body", 75))}})
	frames(t, "calls.hex", requests, appendRequest, readRequest)

	var responses []frame[Response]
	for i, status := range []int{200, 201, 400, 404, 409, 410, 421, 429, 500, 501, 503, 504} {
		response := &Response{Status: status, Body: []byte{}}
		responses = append(responses, frame[Response]{kindResponse, uint64(i + 1), response})
	}
	short := &Response{Status: 429, RetryAfter: 7, Body: []byte("seven")}
	long := &Response{Status: 503, RetryAfter: 3600, Body: []byte(strings.Repeat("body", 75))}
	responses = append(responses, frame[Response]{kindResponse, 13, short}, frame[Response]{kindResponse, 14, long})
	frames(t, "replies.hex", responses, appendResponse, readResponse)
}

// TestGoldenRefused: a frame of another version, and one over the limit, end the connection.
func TestGoldenRefused(t *testing.T) {
	good := golden.Read(t, "replies.hex")
	if _, _, _, err := readFrame(bytes.NewReader(good)); err != nil {
		t.Fatal(err)
	}
	later, long := bytes.Clone(good), bytes.Clone(good)
	later[4]++
	long[0] = 1 // 16 MiB
	for what, b := range map[string][]byte{"a frame of version 2": later, "a frame of 16 MiB": long} {
		if _, _, _, err := readFrame(bytes.NewReader(b)); err == nil {
			t.Errorf("%s is read", what)
		}
	}
}
