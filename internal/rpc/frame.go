package rpc

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	protocolVersion = 1
	lengthSize      = 4
	headerSize      = 10 // version, kind and request number
	// maxPayload fits the largest request of a user with room for its envelope.
	maxPayload = 80 << 10
	// MaxBody is how many bytes the ID and body of a request, or the body of a response, have at most: the other side
	// ends the connection over a larger frame, and all requests on it are lost with it. The rest is for the envelope.
	MaxBody = maxPayload - 1<<10
)

// The kinds of frames.
const (
	kindRequest  = 1
	kindResponse = 2
)

// Bounds of a connection.
const (
	// maxPending is more than the heartbeats that a relay of a third of 10,000 machines has in flight.
	maxPending = 4096
	// pingSlots is how many pings find room beside that: a link is not to count as down because it is busy.
	pingSlots = 16
	// maxBatchBytes is about how many bytes one write carries at most, and bufferSize how many one read takes.
	maxBatchBytes = 32 << 10
	bufferSize    = 16 << 10
	// writeGap is between two writes at least, so that on a busy link more frames share one.
	writeGap = 2 * time.Millisecond
	// writeTimeout is after how long a peer that does not take what is written loses the connection.
	writeTimeout = 5 * time.Second
)

// FrameSizeError says that the length of a frame is impossible.
type FrameSizeError struct{ Bytes uint32 }

// Error implements error.
func (e *FrameSizeError) Error() string { return fmt.Sprintf("rpc: frame of %d bytes", e.Bytes) }

// FrameVersionError says that a frame is of a version that this one does not read.
type FrameVersionError struct{ Version byte }

// Error implements error.
func (e *FrameVersionError) Error() string { return fmt.Sprintf("rpc: frame of version %d", e.Version) }

// FrameKindError says that a frame is not of the kind that the other side may send.
type FrameKindError struct{ Kind byte }

// Error implements error.
func (e *FrameKindError) Error() string { return fmt.Sprintf("rpc: frame of kind %d", e.Kind) }

func appendFrame(b []byte, kind byte, id uint64, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headerSize+len(payload)))
	b = append(b, protocolVersion, kind)
	b = binary.BigEndian.AppendUint64(b, id)
	return append(b, payload...)
}

func readFrame(r io.Reader) (kind byte, id uint64, payload []byte, err error) {
	var head [lengthSize + headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, 0, nil, err
	}
	size, version := binary.BigEndian.Uint32(head[:lengthSize]), head[lengthSize]
	if size < headerSize || size > headerSize+maxPayload {
		return 0, 0, nil, &FrameSizeError{Bytes: size}
	}
	if version != protocolVersion {
		return 0, 0, nil, &FrameVersionError{Version: version}
	}
	payload = make([]byte, size-headerSize)
	_, err = io.ReadFull(r, payload)
	return head[lengthSize+1], binary.BigEndian.Uint64(head[lengthSize+2:]), payload, err
}

// Traffic counts what is written to other controllers.
type Traffic struct{ Frames, Bytes, Writes atomic.Int64 }

// writeFrames writes frames until the context ends or the other side stops taking them. Nobody else writes to the
// connection, so that nobody holds a lock while waiting for a peer that has stopped reading.
func writeFrames(ctx context.Context, conn net.Conn, outgoing <-chan []byte, traffic *Traffic) {
	var last time.Time
	gapTimer := time.NewTimer(0)
	defer gapTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-outgoing:
			if gap := writeGap - time.Since(last); gap > 0 {
				gapTimer.Reset(gap)
				select {
				case <-ctx.Done():
					return
				case <-gapTimer.C:
				}
			}
			last = time.Now()
			_ = conn.SetWriteDeadline(last.Add(writeTimeout)) // fails on a closed connection, as the write then does
			b, frames := appendQueued(b, outgoing)
			if _, err := conn.Write(b); err != nil {
				return
			}
			traffic.Frames.Add(frames)
			traffic.Bytes.Add(int64(len(b)))
			traffic.Writes.Add(1)
		}
	}
}

// appendQueued appends the frames that wait already, so that a busy link carries several in one write.
func appendQueued(b []byte, outgoing <-chan []byte) (all []byte, frames int64) {
	frames = 1
	for len(b) < maxBatchBytes {
		select {
		case more := <-outgoing:
			b = append(b, more...)
			frames++
		default:
			return b, frames
		}
	}
	return b, frames
}
