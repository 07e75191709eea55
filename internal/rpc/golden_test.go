package rpc

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"fieldhill/internal/golden"
)

// frame is one decoded frame.
type frame[T any] struct {
	Kind    byte
	Number  uint64
	Message *T
}

// checkFrames checks that a sequence of frames is encoded as in a golden file and decoded from it.
func checkFrames[T any](t *testing.T, name string, want []frame[T], write func([]byte, *T) []byte,
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

// TestGoldenFrames checks the encoding of requests with every operation, and of responses, against the golden files.
func TestGoldenFrames(t *testing.T) {
	ops := []Op{OpPing, OpSubmit, OpStatus, OpCancel, OpPendingReasons, OpQueue, OpRoleResult, OpRenewals, OpWatermark,
		OpRelayOffer, OpRelayHeartbeat, OpRelayCommands, OpRelayProbe}
	var requests []frame[Request]
	for i, op := range ops {
		if int(op) != i+1 {
			t.Errorf("operation at index %d: got number %d, want %d", i, op, i+1)
		}
		request := &Request{Op: op, ID: fmt.Sprint("id-", i), Body: []byte{byte(i)}}
		requests = append(requests, frame[Request]{kindRequest, uint64(i) << 32, request})
	}
	requests = append(requests, frame[Request]{kindRequest, 1<<64 - 1, &Request{Op: OpPing, Body: []byte{}}},
		frame[Request]{kindRequest, 1, &Request{Op: OpSubmit, ID: "long", Body: []byte(strings.Repeat("body", 75))}})
	checkFrames(t, "calls.hex", requests, appendRequest, readRequest)

	var responses []frame[Response]
	for i, status := range []int{200, 201, 400, 404, 409, 410, 421, 429, 500, 501, 503, 504} {
		response := &Response{Status: status, Body: []byte{}}
		responses = append(responses, frame[Response]{kindResponse, uint64(i + 1), response})
	}
	short := &Response{Status: 429, RetryAfter: 7, Body: []byte("seven")}
	long := &Response{Status: 503, RetryAfter: 3600, Body: []byte(strings.Repeat("body", 75))}
	responses = append(responses, frame[Response]{kindResponse, 13, short}, frame[Response]{kindResponse, 14, long})
	checkFrames(t, "replies.hex", responses, appendResponse, readResponse)
}

// TestGoldenInvalidFrames checks that reading a frame of another version, or one over the size limit, is an error.
func TestGoldenInvalidFrames(t *testing.T) {
	good := golden.Read(t, "replies.hex")
	if _, _, _, err := readFrame(bytes.NewReader(good)); err != nil {
		t.Fatal(err)
	}
	otherVersion, oversized := bytes.Clone(good), bytes.Clone(good)
	otherVersion[4]++
	oversized[0] = 1 // a length of more than 16 MiB
	for name, b := range map[string][]byte{"frame of version 2": otherVersion, "frame of 16 MiB": oversized} {
		if _, _, _, err := readFrame(bytes.NewReader(b)); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}
