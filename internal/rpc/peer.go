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
	version  = 1
	kindCall = 1
	kindBack = 2
	header   = 10
	// maxPayload fits the largest request of a user with room for its envelope.
	maxPayload = 80 << 10
	// maxPending is more than the reports that a relay of a third of 10,000 machines has under way.
	maxPending = 4096
	// pingRoom is how many pings find room beside that: a link is not to count as down because it is busy.
	pingRoom = 16
	// mostAtOnce is about how many bytes one write carries at most, and bufferSize how many one read takes.
	mostAtOnce = 32 << 10
	bufferSize = 16 << 10
	// MostBody is how many bytes the ID and body of a call, or the body of a reply, have at most: the other side ends the
	// connection over a larger frame, and all calls on it are lost with it. The rest is for the envelope.
	MostBody = maxPayload - 1<<10
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
	OpWhy // this and the next one: a node that does not know them answers 501
	OpQueue
	OpDuty    // what came of a duty, under its term
	OpRenewed // when the leases of a zone's machines were last renewed, by a node that has applied a batch
	OpVouch   // how old a process is, and what it has ever seen of the log
	OpOffer   // to pass on workers' reports
	OpReport  // a worker's report that is passed on; ID is the node that does it
	OpOrders  // a direct command to the worker at the address ID
	OpShow    // a question to the worker at the address ID
)

// Call is a request to another controller.
type Call struct {
	Op   Op
	ID   string
	Body []byte
}

// Reply is its answer: what is to be told to the user.
type Reply struct {
	Status     int
	RetryAfter int // seconds; 0: not given
	Body       []byte
}

// errDown says that the other controller can't be reached now.
var errDown = errors.New("peer: not connected")

// ErrTooLarge says that a call was not sent since it does not fit into a frame.
var ErrTooLarge = errors.New("peer: too large for a frame")

// IsDown tells whether a call's error means that the call surely was not sent.
func IsDown(err error) bool { return errors.Is(err, errDown) || errors.Is(err, ErrTooLarge) }

func appendCall(b []byte, c *Call) []byte {
	b = append(b, byte(c.Op))
	b = codec.String(b, c.ID)
	return codec.Bytes(b, c.Body)
}

func readCall(p []byte) (*Call, error) {
	if len(p) == 0 {
		return nil, codec.ErrShort
	}
	r := codec.Reader{B: p[1:]}
	c := &Call{Op: Op(p[0]), ID: r.String(), Body: r.Bytes()}
	if !r.Done() {
		return nil, codec.ErrShort
	}
	return c, nil
}

func appendReply(b []byte, a *Reply) []byte {
	b = codec.Uint(b, uint64(a.Status))
	b = codec.Uint(b, uint64(a.RetryAfter))
	return codec.Bytes(b, a.Body)
}

func readReply(p []byte) (*Reply, error) {
	r := codec.Reader{B: p}
	a := &Reply{Status: r.Max(599), RetryAfter: r.Max(3600), Body: r.Bytes()}
	if !r.Done() || a.Status < 100 {
		return nil, codec.ErrShort
	}
	return a, nil
}

func appendFrame(b []byte, kind byte, id uint64, payload []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(header+len(payload)))
	b = append(b, version, kind)
	b = binary.BigEndian.AppendUint64(b, id)
	return append(b, payload...)
}

func readFrame(r io.Reader) (kind byte, id uint64, payload []byte, err error) {
	var h [4 + header]byte
	if _, err = io.ReadFull(r, h[:]); err != nil {
		return
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n < header || n > header+maxPayload {
		return 0, 0, nil, fmt.Errorf("peer: frame of %d bytes", n)
	}
	if h[4] != version {
		return 0, 0, nil, fmt.Errorf("peer: frame of version %d", h[4])
	}
	payload = make([]byte, n-header)
	_, err = io.ReadFull(r, payload)
	return h[5], binary.BigEndian.Uint64(h[6:]), payload, err
}

// Traffic counts what is written to other controllers.
type Traffic struct{ Frames, Bytes, Writes atomic.Int64 }

// Handler answers calls.
type Handler func(context.Context, *Call) *Reply

// Serve answers other controllers until the context ends.
func Serve(ctx context.Context, ln net.Listener, h Handler, traffic *Traffic, logger *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			logger.Warn("peer listener", "err", err)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		wg.Go(func() {
			if err := serveConn(ctx, c, h, traffic); err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
				logger.Debug("peer connection ended", "from", c.RemoteAddr(), "err", err)
			}
		})
	}
}

// idle ends a connection over which nothing came for long: pings come often.
const idle = 30 * time.Second

func serveConn(ctx context.Context, c net.Conn, h Handler, traffic *Traffic) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	defer c.Close()
	out := make(chan []byte, maxPending+pingRoom)
	go func() {
		defer cancel()
		writeAll(ctx, c, out, traffic)
	}()
	slots, pings := make(chan struct{}, maxPending), make(chan struct{}, pingRoom)
	r := bufio.NewReaderSize(c, bufferSize)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idle))
		kind, id, p, err := readFrame(r)
		if err != nil {
			return err
		}
		if kind != kindCall {
			return fmt.Errorf("peer: frame of kind %d", kind)
		}
		call, err := readCall(p)
		if err != nil {
			return err
		}
		room := slots
		if call.Op == OpPing {
			room = pings
		}
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		go func() {
			defer func() { <-room }()
			reply := h(ctx, call)
			if len(reply.Body) > MostBody {
				reply = &Reply{Status: http.StatusInternalServerError}
			}
			select {
			case out <- appendFrame(nil, kindBack, id, appendReply(nil, reply)):
			case <-ctx.Done():
			}
		}()
	}
}

// writeAll writes frames until the context ends or the other side stops taking
// them. Nobody else writes to the connection, so that nobody waits with a lock
// in hand for a peer that has stopped reading.
func writeAll(ctx context.Context, c net.Conn, out <-chan []byte, traffic *Traffic) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-out:
			if early := writeGap - time.Since(last); early > 0 {
				time.Sleep(early)
			}
			last = time.Now()
			_ = c.SetWriteDeadline(last.Add(5 * time.Second))
			b, frames := withQueued(b, out)
			if _, err := c.Write(b); err != nil {
				return
			}
			traffic.Frames.Add(frames)
			traffic.Bytes.Add(int64(len(b)))
			traffic.Writes.Add(1)
		}
	}
}

// withQueued appends the frames that wait already, so that a busy link carries several in one write.
func withQueued(b []byte, out <-chan []byte) (all []byte, frames int64) {
	frames = 1
	for len(b) < mostAtOnce {
		select {
		case more := <-out:
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
	// Ask is what each ping says, nil: nothing; Hears, if there is one, is told what was answered, and Down that
	// nothing more comes over this connection. They are set before Run.
	Ask   func() []byte
	Hears func(said []byte)
	Down  func()
	// Traffic counts what is written.
	Traffic *Traffic
	via     host.Net
	logger  *slog.Logger

	mu      sync.Mutex
	out     chan []byte // nil: not connected
	next    uint64
	pending map[uint64]chan *Reply
	heard   time.Time
}

// NewLink makes a link that is down.
func NewLink(via host.Net, node, addr string, logger *slog.Logger) *Link {
	return &Link{Node: node, Addr: addr, via: via, logger: logger, pending: map[uint64]chan *Reply{}, Traffic: &Traffic{}}
}

// Heard tells when the other side last answered anything.
func (l *Link) Heard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

// Run connects, pings and reconnects until the context ends.
func (l *Link) Run(ctx context.Context) {
	const (
		pingEvery = 500 * time.Millisecond
		first     = 30 * time.Millisecond // controllers that start together don't all listen yet
	)
	again := first
	for ctx.Err() == nil {
		began := time.Now()
		c, err := l.via.Dial(ctx, l.Addr, time.Second)
		if err == nil {
			l.use(ctx, c, pingEvery)
			if time.Since(began) > pingEvery { // not one that is taken and closed at once
				again = first
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(again):
		}
		again = min(pingEvery, 2*again)
	}
}

// silent is after how long without any answer a connection is given up: a peer
// without power says nothing at all.
const silent = 2500 * time.Millisecond

func (l *Link) use(ctx context.Context, c net.Conn, pingEvery time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	out := make(chan []byte, maxPending+pingRoom)
	l.mu.Lock()
	l.out = out
	l.mu.Unlock()
	defer l.drop(c)
	go func() {
		defer cancel()
		writeAll(ctx, c, out, l.Traffic)
	}()
	go func() {
		defer cancel()
		t := time.NewTicker(pingEvery)
		defer t.Stop()
		began := time.Now()
		for {
			asked := time.Now()
			pctx, pc := context.WithTimeout(ctx, silent)
			go func() {
				defer pc()
				ping := &Call{Op: OpPing}
				if l.Ask != nil {
					ping.Body = l.Ask()
				}
				if a, err := l.Call(pctx, ping); err == nil && l.Hears != nil {
					l.Hears(a.Body)
				}
			}()
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if time.Since(asked) > 2*pingEvery {
				began = time.Now() // this node stood still: answers wait to be read
			}
			if last := l.Heard(); time.Since(last) > silent && time.Since(began) > silent {
				return
			}
		}
	}()
	r := bufio.NewReaderSize(c, bufferSize)
	for {
		kind, id, p, err := readFrame(r)
		if err != nil {
			l.logger.Debug("peer link down", "node", l.Node, "err", err)
			return
		}
		a, err := readReply(p)
		if err != nil || kind != kindBack {
			l.logger.Warn("peer answer malformed", "node", l.Node)
			return
		}
		l.mu.Lock()
		l.heard = time.Now()
		ch := l.pending[id]
		delete(l.pending, id)
		l.mu.Unlock()
		if ch != nil {
			ch <- a
		}
	}
}

func (l *Link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = nil
	l.heard = time.Time{}
	for id, ch := range l.pending {
		close(ch)
		delete(l.pending, id)
	}
	c.Close()
	if l.Down != nil {
		l.Down()
	}
}

// Call asks the other controller. An error for which IsDown holds means that the
// call surely was not sent; another one that its fate is unknown.
func (l *Link) Call(ctx context.Context, c *Call) (*Reply, error) {
	if len(c.ID)+len(c.Body) > MostBody {
		return nil, ErrTooLarge
	}
	ch := make(chan *Reply, 1)
	l.mu.Lock()
	if l.out == nil || c.Op != OpPing && (len(l.pending) >= maxPending || len(l.out) >= maxPending) {
		l.mu.Unlock()
		return nil, errDown
	}
	l.next++
	id := l.next
	l.pending[id] = ch
	select {
	case l.out <- appendFrame(nil, kindCall, id, appendCall(nil, c)):
	default:
		delete(l.pending, id)
		l.mu.Unlock()
		return nil, errDown
	}
	l.mu.Unlock()
	select {
	case a, ok := <-ch:
		if !ok {
			return nil, errors.New("peer: connection lost")
		}
		return a, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
		return nil, ctx.Err()
	}
}
