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

// Version and sizes of frames; the sizes are in bytes.
const (
	protocolVersion = 1
	lengthSize      = 4
	headerSize      = 10 // version, kind and request number
	// maxPayload is the maximum size of a payload. The largest user request (wire.MaxBody) fits with its other fields.
	maxPayload = 80 << 10
	// MaxBody is the maximum size of a request's ID and body together, or of a response's body; the rest of the payload
	// is for the other fields. A larger message is never sent, because the peer closes the connection on a frame over
	// its limit, which fails every request in flight on it.
	MaxBody = maxPayload - 1<<10
)

// Frame kinds.
const (
	kindRequest  = 1
	kindResponse = 2
)

// Connection limits.
const (
	// maxPending is the maximum number of requests in flight on a connection. It is greater than the number of
	// heartbeats that a controller relaying for a third of 10,000 machines has in flight at once.
	maxPending = 4096
	// pingSlots is the number of queue slots reserved for pings in addition to maxPending. Without them, pings would
	// fail on a link at its request limit, and the link would be closed as dead.
	pingSlots = 16
	// maxBatchBytes is the size at which no further queued frames are added to a write. The last frame added may exceed
	// it.
	maxBatchBytes  = 32 << 10
	readBufferSize = 16 << 10
	// minWriteInterval is the minimum time between writes, so that on a busy link several frames share one write.
	minWriteInterval = 2 * time.Millisecond
	// writeTimeout is the time after which a blocked write fails, which closes the connection to a peer that has
	// stopped reading.
	writeTimeout = 5 * time.Second
)

// FrameSizeError reports a frame length that is below the header size or above the limit.
type FrameSizeError struct{ Bytes uint32 }

// Error names the invalid length.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("rpc: invalid frame length of %d bytes", e.Bytes)
}

// FrameVersionError reports a frame of an unsupported protocol version.
type FrameVersionError struct{ Version byte }

// Error names the unsupported version.
func (e *FrameVersionError) Error() string {
	return fmt.Sprintf("rpc: unsupported frame version %d", e.Version)
}

// FrameKindError reports a frame of an unknown kind, or of a kind that the sender must not use, such as a response from
// the client side of a connection.
type FrameKindError struct{ Kind byte }

// Error names the unexpected kind.
func (e *FrameKindError) Error() string { return fmt.Sprintf("rpc: unexpected frame kind %d", e.Kind) }

func appendFrame(b []byte, kind byte, id uint64, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headerSize+len(payload)))
	b = append(b, protocolVersion, kind)
	b = binary.BigEndian.AppendUint64(b, id)
	return append(b, payload...)
}

func readFrame(r io.Reader) (kind byte, id uint64, payload []byte, err error) {
	var header [lengthSize + headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, nil, err
	}
	size, version := binary.BigEndian.Uint32(header[:lengthSize]), header[lengthSize]
	if size < headerSize || size > headerSize+maxPayload {
		return 0, 0, nil, &FrameSizeError{Bytes: size}
	}
	if version != protocolVersion {
		return 0, 0, nil, &FrameVersionError{Version: version}
	}
	payload, err = readPayload(r, int(size-headerSize))
	return header[lengthSize+1], binary.BigEndian.Uint64(header[lengthSize+2:]), payload, err
}

// readPayload reads a payload of the given size. The memory that it takes grows with what has arrived, not with what
// the sender announces.
func readPayload(r io.Reader, size int) ([]byte, error) {
	if size <= readBufferSize {
		payload := make([]byte, size)
		_, err := io.ReadFull(r, payload)
		return payload, err
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && len(payload) < size {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}

// Traffic counts the frames and bytes sent to other controllers, and the write calls that sent them.
type Traffic struct{ Frames, Bytes, Writes atomic.Int64 }

// writeFrames writes queued frames until the context is done or a write fails. It is the connection's only writer, so
// no lock is held while a write blocks on a peer that has stopped reading.
func writeFrames(ctx context.Context, conn net.Conn, outgoing <-chan []byte, traffic *Traffic) {
	var lastWrite time.Time
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-outgoing:
			if wait := minWriteInterval - time.Since(lastWrite); wait > 0 {
				timer.Reset(wait)
				select {
				case <-ctx.Done():
					return
				case <-timer.C:
				}
			}
			lastWrite = time.Now()
			_ = conn.SetWriteDeadline(lastWrite.Add(writeTimeout)) // if this fails, the write fails too
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

// appendQueued appends queued frames to a first frame, without waiting for more, so that a busy link sends several
// frames in one write. It returns the number of frames, including the first.
func appendQueued(b []byte, outgoing <-chan []byte) (batch []byte, frames int64) {
	frames = 1
	for len(b) < maxBatchBytes {
		select {
		case frame := <-outgoing:
			b = append(b, frame...)
			frames++
		default:
			return b, frames
		}
	}
	return b, frames
}
