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

const (
	pingInterval = 500 * time.Millisecond
	dialTimeout  = time.Second
	// The delay between connection attempts doubles from initialBackoff to maxBackoff. It starts short because
	// controllers that start together are not all listening yet.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = pingInterval
	// keepaliveTimeout is the time without any response after which a connection is closed. It detects a peer that has
	// lost power, which never closes its connections.
	keepaliveTimeout = 2500 * time.Millisecond
)

// Link is the client side of the connection to one other controller. Run establishes and re-establishes it.
type Link struct {
	// Node is the name of the other controller, and Addr its listen address.
	Node, Addr string
	// PingBody, if set, returns the body of each ping. OnPong, if set, is called with the body of each ping response,
	// and OnDown, if set, whenever a connection has ended. They must be set before Run.
	PingBody func() []byte
	OnPong   func(body []byte)
	OnDown   func()
	Traffic  *Traffic
	network  host.Net
	logger   *slog.Logger

	mu           sync.Mutex
	outgoing     chan []byte // frames for the writer; nil while not connected
	lastID       uint64
	pending      map[uint64]chan *Response // channels for the responses, by request number; closed on disconnect
	lastResponse time.Time                 // when the last response on the current connection was received
}

// NewLink returns a link that is not connected yet.
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

// LastResponse returns when the last response, to a ping or any other request, was received on the current connection.
// It returns the zero time if there is none.
func (l *Link) LastResponse() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastResponse
}

// Run connects to the other controller, sends pings, and reconnects after failures until the context is done.
func (l *Link) Run(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		start := time.Now()
		conn, err := l.network.Dial(ctx, l.Addr, dialTimeout)
		if err == nil {
			l.runConn(ctx, conn)
			if time.Since(start) > pingInterval { // not a peer that accepts connections and closes them at once
				backoff = initialBackoff
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(maxBackoff, 2*backoff)
	}
}

// errMalformedResponse means that the peer sent a frame that is not a valid response.
var errMalformedResponse = errors.New("malformed response")

// runConn starts the writer and keepalive goroutines of a connection, reads responses until the connection ends, and
// waits for the goroutines.
func (l *Link) runConn(ctx context.Context, conn net.Conn) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks reads and writes
	defer stop()
	outgoing := l.connect()
	defer l.disconnect(conn)
	wg.Go(func() {
		defer cancel()
		writeFrames(ctx, conn, outgoing, l.Traffic)
	})
	wg.Go(func() {
		defer cancel()
		l.runKeepalive(ctx, &wg)
	})
	if err := l.readResponses(conn); errors.Is(err, errMalformedResponse) {
		l.logger.Warn("malformed peer response", "node", l.Node)
	} else {
		l.logger.Debug("peer link down", "node", l.Node, "err", err)
	}
}

// connect creates the queue of outgoing frames. From then on, Do accepts requests.
func (l *Link) connect() (outgoing <-chan []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = make(chan []byte, maxPending+pingSlots)
	return l.outgoing
}

// disconnect closes the connection and fails the pending requests. Do then fails until the link is connected again.
func (l *Link) disconnect(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outgoing = nil
	l.lastResponse = time.Time{}
	for id, waiter := range l.pending {
		close(waiter)
		delete(l.pending, id)
	}
	_ = conn.Close() // the cause of the disconnect is known from the failed read
	if l.OnDown != nil {
		l.OnDown()
	}
}

// runKeepalive sends pings until the context is done or no response has been received for keepaliveTimeout. Each ping
// runs in a goroutine of the wait group, which ends with the context.
func (l *Link) runKeepalive(ctx context.Context, pings *sync.WaitGroup) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	activeSince := time.Now()
	for {
		pingedAt := time.Now()
		pingCtx, cancelPing := context.WithTimeout(ctx, keepaliveTimeout)
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
			activeSince = time.Now() // this process was suspended: responses may have arrived but not been read
		}
		if last := l.LastResponse(); time.Since(last) > keepaliveTimeout && time.Since(activeSince) > keepaliveTimeout {
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

// readResponses delivers responses to the pending requests until the connection ends or a frame is not a valid
// response.
func (l *Link) readResponses(conn net.Conn) error {
	r := bufio.NewReaderSize(conn, readBufferSize)
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
		if waiter != nil { // nil if the request's context ended first
			waiter <- response
		}
	}
}

// Do sends a request and waits for its response. If IsNotSent holds for the error, the request was certainly not sent;
// after any other error the peer may or may not have handled it.
func (l *Link) Do(ctx context.Context, request *Request) (*Response, error) {
	response, err := l.do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("rpc: request with operation %d to node %s: %w", request.Op, l.Node, err)
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

// send queues a request for the writer. The response is sent on the returned channel, which is closed if the connection
// ends first.
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
