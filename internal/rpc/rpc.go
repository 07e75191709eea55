// Package peer carries requests between controllers in hand-written binary
// frames over one kept connection in each direction.
//
// A frame is: length (4 bytes, big endian, of what follows), version (1),
// kind (1), request number (8, big endian), payload. Frames of another version
// or over the size limit end the connection.
package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/platform/host"
)

const (
	protocolVersion = 1
	kindRequest     = 1
	kindResponse    = 2
	headerSize      = 10
	// maxPayload fits the largest request of a user with room for its envelope.
	maxPayload = 80 << 10
	// maxPending is more than the reports that a relay of a third of 10,000 machines has under way.
	maxPending = 4096
	// pingSlots is how many pings find room beside that: a link is not to count as down because it is busy.
	pingSlots = 16
	// maxBatchBytes is about how many bytes one write carries at most, and bufferSize how many one read takes.
	maxBatchBytes = 32 << 10
	bufferSize    = 16 << 10
	// MaxBody is how many bytes the ID and body of a call, or the body of a reply, have at most: the other side ends
	// the connection over a larger frame, and all calls on it are lost with it. The rest is for the envelope.
	MaxBody = maxPayload - 1<<10
	// writeGap is between two writes at least, so that on a busy link more frames share one.
	writeGap = 2 * time.Millisecond
)

// Op tells what a call asks for.
type Op uint8

// The operations.
const (
	OpPing Op = iota + 1
	OpSubmit
	OpStatus
	OpCancel
	OpPendingReasons // this and the next one: a node that does not know them answers 501
	OpQueue
	OpRoleResult  // what came of a duty, under its term
	OpRenewals    // when the leases of a zone's machines were last renewed, by a node that has applied a batch
	OpWatermark   // how old a process is, and what it has ever seen of the log
	OpRelayOffer  // to pass on workers' reports
	OpRelayReport // a worker's report that is passed on; ID is the node that does it
	OpRelayOrders // a direct command to the worker at the address ID
	OpRelayProbe  // a question to the worker at the address ID
)

// Request is a request to another controller.
type Request struct {
	Op   Op
	ID   string
	Body []byte
}

// Response is its answer: what is to be told to the user.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0: not given
	Body       []byte
}

// errNotConnected says that the other controller can't be reached now.
var errNotConnected = errors.New("peer: not connected")

// ErrTooLarge says that a call was not sent since it does not fit into a frame.
var ErrTooLarge = errors.New("peer: too large for a frame")

// IsNotSent tells whether a call's error means that the call surely was not sent.
func IsNotSent(err error) bool { return errors.Is(err, errNotConnected) || errors.Is(err, ErrTooLarge) }

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
	response := &Response{Status: r.Max(599), RetryAfter: r.Max(3600), Body: r.Bytes()}
	if !r.Done() || response.Status < 100 {
		return nil, codec.ErrShort
	}
	return response, nil
}

func appendFrame(b []byte, kind byte, id uint64, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headerSize+len(payload)))
	b = append(b, protocolVersion, kind)
	b = binary.BigEndian.AppendUint64(b, id)
	return append(b, payload...)
}

func readFrame(r io.Reader) (kind byte, id uint64, payload []byte, err error) {
	var head [4 + headerSize]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n < headerSize || n > headerSize+maxPayload {
		return 0, 0, nil, fmt.Errorf("peer: frame of %d bytes", n)
	}
	if head[4] != protocolVersion {
		return 0, 0, nil, fmt.Errorf("peer: frame of version %d", head[4])
	}
	payload = make([]byte, n-headerSize)
	_, err = io.ReadFull(r, payload)
	return head[5], binary.BigEndian.Uint64(head[6:]), payload, err
}

// Traffic counts what is written to other controllers.
type Traffic struct{ Frames, Bytes, Writes atomic.Int64 }

// Handler answers calls.
type Handler func(context.Context, *Request) *Response

// Serve answers other controllers until the context ends.
func Serve(ctx context.Context, ln net.Listener, handler Handler, traffic *Traffic, logger *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			logger.Warn("peer accept failed", "err", err)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		wg.Go(func() {
			if err := serveConn(
				ctx,
				conn,
				handler,
				traffic,
			); err != nil && !errors.Is(err, io.EOF) &&
				ctx.Err() == nil {
				logger.Debug("peer connection ended", "remote_addr", conn.RemoteAddr(), "err", err)
			}
		})
	}
}

// idleTimeout ends a connection over which nothing came for long: pings come often.
const idleTimeout = 30 * time.Second

func serveConn(ctx context.Context, conn net.Conn, handler Handler, traffic *Traffic) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	outgoing := make(chan []byte, maxPending+pingSlots)
	go func() {
		defer cancel()
		writeFrames(ctx, conn, outgoing, traffic)
	}()
	slots, pings := make(chan struct{}, maxPending), make(chan struct{}, pingSlots)
	r := bufio.NewReaderSize(conn, bufferSize)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		kind, id, payload, err := readFrame(r)
		if err != nil {
			return err
		}
		if kind != kindRequest {
			return fmt.Errorf("peer: frame of kind %d", kind)
		}
		request, err := readRequest(payload)
		if err != nil {
			return err
		}
		room := slots
		if request.Op == OpPing {
			room = pings
		}
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			defer func() { <-room }()
			reply := handler(ctx, request)
			if len(reply.Body) > MaxBody {
				reply = &Response{Status: http.StatusInternalServerError}
			}
			select {
			case outgoing <- appendFrame(nil, kindResponse, id, appendResponse(nil, reply)):
			case <-ctx.Done():
			}
		}()
	}
}

// writeFrames writes frames until the context ends or the other side stops taking
// them. Nobody else writes to the connection, so that nobody waits with a lock
// in hand for a peer that has stopped reading.
func writeFrames(ctx context.Context, conn net.Conn, outgoing <-chan []byte, traffic *Traffic) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-outgoing:
			if gap := writeGap - time.Since(last); gap > 0 {
				time.Sleep(gap)
			}
			last = time.Now()
			_ = conn.SetWriteDeadline(last.Add(5 * time.Second))
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

// Link is the connection to one other controller. Run keeps it up.
type Link struct {
	Node, Addr string
	// PingBody is what each ping says, nil: nothing; Hears, if there is one, is told what was answered, and Down that
	// nothing more comes over this connection. They are set before Run.
	PingBody func() []byte
	OnPong   func(said []byte)
	OnDown   func()
	// Traffic counts what is written.
	Traffic *Traffic
	network host.Net
	logger  *slog.Logger

	mu           sync.Mutex
	outgoing     chan []byte // nil: not connected
	lastID       uint64
	pending      map[uint64]chan *Response
	lastResponse time.Time
}

// NewLink makes a link that is down.
func NewLink(network host.Net, node, addr string, logger *slog.Logger) *Link {
	return &Link{
		Node:    node,
		Addr:    addr,
		network: network,
		logger:  logger,
		pending: map[uint64]chan *Response{},
		Traffic: &Traffic{},
	}
}

// LastResponse tells when the other side last answered anything.
func (l *Link) LastResponse() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastResponse
}

// Run connects, pings and reconnects until the context ends.
func (l *Link) Run(ctx context.Context) {
	const (
		pingEvery    = 500 * time.Millisecond
		firstBackoff = 30 * time.Millisecond // controllers that start together don't all listen yet
	)
	backoff := firstBackoff
	for ctx.Err() == nil {
		start := time.Now()
		conn, err := l.network.Dial(ctx, l.Addr, time.Second)
		if err == nil {
			l.runConn(ctx, conn, pingEvery)
			if time.Since(start) > pingEvery { // not one that is taken and closed at once
				backoff = firstBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(pingEvery, 2*backoff)
	}
}

// silenceTimeout is after how long without any answer a connection is given up: a peer
// without power says nothing at all.
const silenceTimeout = 2500 * time.Millisecond

func (l *Link) runConn(ctx context.Context, conn net.Conn, pingEvery time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	outgoing := make(chan []byte, maxPending+pingSlots)
	l.mu.Lock()
	l.outgoing = outgoing
	l.mu.Unlock()
	defer l.disconnect(conn)
	go func() {
		defer cancel()
		writeFrames(ctx, conn, outgoing, l.Traffic)
	}()
	go func() {
		defer cancel()
		ticker := time.NewTicker(pingEvery)
		defer ticker.Stop()
		activeSince := time.Now()
		for {
			pingedAt := time.Now()
			pingCtx, cancelPing := context.WithTimeout(ctx, silenceTimeout)
			go func() {
				defer cancelPing()
				ping := &Request{Op: OpPing}
				if l.PingBody != nil {
					ping.Body = l.PingBody()
				}
				if response, err := l.Do(pingCtx, ping); err == nil && l.OnPong != nil {
					l.OnPong(response.Body)
				}
			}()
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if time.Since(pingedAt) > 2*pingEvery {
				activeSince = time.Now() // this node stood still: answers wait to be read
			}
			if last := l.LastResponse(); time.Since(last) > silenceTimeout && time.Since(activeSince) > silenceTimeout {
				return
			}
		}
	}()
	r := bufio.NewReaderSize(conn, bufferSize)
	for {
		kind, id, payload, err := readFrame(r)
		if err != nil {
			l.logger.Debug("peer link down", "node", l.Node, "err", err)
			return
		}
		response, err := readResponse(payload)
		if err != nil || kind != kindResponse {
			l.logger.Warn("malformed peer response", "node", l.Node)
			return
		}
		l.mu.Lock()
		l.lastResponse = time.Now()
		waiter := l.pending[id]
		delete(l.pending, id)
		l.mu.Unlock()
		if waiter != nil {
			waiter <- response
		}
	}
}

func (l *Link) disconnect(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = nil
	l.lastResponse = time.Time{}
	for id, waiter := range l.pending {
		close(waiter)
		delete(l.pending, id)
	}
	conn.Close()
	if l.OnDown != nil {
		l.OnDown()
	}
}

// Do asks the other controller. An error for which IsNotSent holds means that the
// call surely was not sent; another one that its fate is unknown.
func (l *Link) Do(ctx context.Context, request *Request) (*Response, error) {
	if len(request.ID)+len(request.Body) > MaxBody {
		return nil, ErrTooLarge
	}
	waiter := make(chan *Response, 1)
	l.mu.Lock()
	if l.outgoing == nil || request.Op != OpPing && (len(l.pending) >= maxPending || len(l.outgoing) >= maxPending) {
		l.mu.Unlock()
		return nil, errNotConnected
	}
	l.lastID++
	id := l.lastID
	l.pending[id] = waiter
	select {
	case l.outgoing <- appendFrame(nil, kindRequest, id, appendRequest(nil, request)):
	default:
		delete(l.pending, id)
		l.mu.Unlock()
		return nil, errNotConnected
	}
	l.mu.Unlock()
	select {
	case response, ok := <-waiter:
		if !ok {
			return nil, errors.New("peer: connection lost")
		}
		return response, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
		return nil, ctx.Err()
	}
}
