package rpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"fieldhill/internal/platform/host"
)

// Times of a link.
const (
	pingInterval = 500 * time.Millisecond
	dialTimeout  = time.Second
	// The pauses between two tries to connect double from firstBackoff, which is short since controllers that start
	// together don't all listen yet, to a ping's interval.
	firstBackoff = 30 * time.Millisecond
	maxBackoff   = pingInterval
	// silenceTimeout is after how long without any response a connection counts as dead: a peer without power sends
	// nothing at all.
	silenceTimeout = 2500 * time.Millisecond
)

// Link is the connection to one other controller. Run keeps it up.
type Link struct {
	// Node and Addr say which controller it is and where it listens.
	Node, Addr string
	// PingBody gives the body of each ping, nil for an empty one. OnPong, if set, is called with the body of each
	// response to one, and OnDown whenever a connection has ended. They are set before Run.
	PingBody func() []byte
	OnPong   func(body []byte)
	OnDown   func()
	// Traffic counts what is written.
	Traffic *Traffic
	network host.Net
	logger  *slog.Logger

	mu           sync.Mutex
	outgoing     chan []byte // frames for the writer; nil: not connected
	lastID       uint64
	pending      map[uint64]chan *Response // closed when the connection ends
	lastResponse time.Time                 // over this connection
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

// LastResponse tells when the other side last answered anything; the zero time while the link is down.
func (l *Link) LastResponse() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastResponse
}

// Run connects, pings and reconnects until the context ends.
func (l *Link) Run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		start := time.Now()
		conn, err := l.network.Dial(ctx, l.Addr, dialTimeout)
		if err == nil {
			l.runConn(ctx, conn)
			if time.Since(start) > pingInterval { // not one that is accepted and closed at once
				backoff = firstBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// errMalformedResponse says that the other side does not keep to the protocol.
var errMalformedResponse = errors.New("malformed response")

// runConn uses a connection until it ends, and waits for the goroutines that write and ping.
func (l *Link) runConn(ctx context.Context, conn net.Conn) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // makes reads and writes return
	defer stop()
	outgoing := l.connect()
	defer l.disconnect(conn)
	wg.Go(func() {
		defer cancel()
		writeFrames(ctx, conn, outgoing, l.Traffic)
	})
	wg.Go(func() {
		defer cancel()
		l.pingUntilSilent(ctx, &wg)
	})
	if err := l.readResponses(conn); errors.Is(err, errMalformedResponse) {
		l.logger.Warn("malformed peer response", "node", l.Node)
	} else {
		l.logger.Debug("peer link down", "node", l.Node, "err", err)
	}
}

// connect lets requests through.
func (l *Link) connect() (outgoing <-chan []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = make(chan []byte, maxPending+pingSlots)
	return l.outgoing
}

// disconnect fails the requests that wait for a response, and all until the next connection.
func (l *Link) disconnect(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = nil
	l.lastResponse = time.Time{}
	for id, waiter := range l.pending {
		close(waiter)
		delete(l.pending, id)
	}
	_ = conn.Close() // what ended the connection is known by now
	if l.OnDown != nil {
		l.OnDown()
	}
}

// pingUntilSilent pings until the context ends or no response has come for too long. Its pings belong to a wait group,
// and end with the context.
func (l *Link) pingUntilSilent(ctx context.Context, pings *sync.WaitGroup) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	activeSince := time.Now()
	for {
		pingedAt := time.Now()
		pingCtx, cancelPing := context.WithTimeout(ctx, silenceTimeout)
		pings.Go(func() {
			defer cancelPing()
			l.ping(pingCtx)
		})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if time.Since(pingedAt) > 2*pingInterval {
			activeSince = time.Now() // this process was paused: responses wait to be read
		}
		if last := l.LastResponse(); time.Since(last) > silenceTimeout && time.Since(activeSince) > silenceTimeout {
			return
		}
	}
}

func (l *Link) ping(ctx context.Context) {
	request := &Request{Op: OpPing}
	if l.PingBody != nil {
		request.Body = l.PingBody()
	}
	if response, err := l.Do(ctx, request); err == nil && l.OnPong != nil {
		l.OnPong(response.Body)
	}
}

// readResponses hands responses to the requests that wait for them, until the connection ends.
func (l *Link) readResponses(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, bufferSize)
	for {
		kind, id, payload, err := readFrame(r)
		if err != nil {
			return err
		}
		response, err := readResponse(payload)
		if err != nil || kind != kindResponse {
			return errMalformedResponse
		}
		l.mu.Lock()
		l.lastResponse = time.Now()
		waiter := l.pending[id]
		delete(l.pending, id)
		l.mu.Unlock()
		if waiter != nil { // else it came after its request's context had ended
			waiter <- response
		}
	}
}

// Do sends a request and waits for its response. An error for which IsNotSent holds means that the request surely was
// not sent; another one that its fate is unknown.
func (l *Link) Do(ctx context.Context, request *Request) (*Response, error) {
	response, err := l.do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("rpc: operation %d to %s: %w", request.Op, l.Node, err)
	}
	return response, nil
}

func (l *Link) do(ctx context.Context, request *Request) (*Response, error) {
	id, waiter, err := l.send(request)
	if err != nil {
		return nil, err
	}
	select {
	case response, ok := <-waiter:
		if !ok {
			return nil, ErrConnectionLost
		}
		return response, nil
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, id)
		l.mu.Unlock()
		return nil, ctx.Err()
	}
}

// send hands a request to the writer. Its response comes over the channel, which is closed when the connection ends.
func (l *Link) send(request *Request) (id uint64, waiter <-chan *Response, err error) {
	if len(request.ID)+len(request.Body) > MaxBody {
		return 0, nil, ErrTooLarge
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := len(l.pending) >= maxPending || len(l.outgoing) >= maxPending
	if l.outgoing == nil || busy && request.Op != OpPing {
		return 0, nil, ErrNotConnected
	}
	response := make(chan *Response, 1)
	l.lastID++
	select {
	case l.outgoing <- appendFrame(nil, kindRequest, l.lastID, appendRequest(nil, request)):
		l.pending[l.lastID] = response
		return l.lastID, response, nil
	default:
		return 0, nil, ErrNotConnected
	}
}
