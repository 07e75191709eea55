package rpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"fieldhill/internal/platform/connlimit"
)

// Handler handles one request. It is called concurrently.
type Handler func(context.Context, *Request) *Response

const (
	// acceptBackoff is the delay after a failed Accept.
	acceptBackoff = 100 * time.Millisecond
	// idleTimeout is the time without requests after which a connection is closed; a live peer sends a ping every
	// pingInterval.
	idleTimeout = 30 * time.Second
)

// Serve handles the requests of other controllers until the context is done. It closes the listener, and returns after
// all connections have ended.
func Serve(ctx context.Context, ln net.Listener, handler Handler, traffic *Traffic, logger *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // unblocks Accept
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
			case <-time.After(acceptBackoff):
			}
			continue
		}
		wg.Go(func() {
			err := serveConn(ctx, conn, handler, traffic)
			if err != nil && !errors.Is(err, io.EOF) && ctx.Err() == nil {
				logger.Debug("peer connection ended", "remote_addr", conn.RemoteAddr(), "err", err)
			}
		})
	}
}

// serverConn is the server side of a connection from another controller.
type serverConn struct {
	conn     net.Conn
	handler  Handler
	outgoing chan []byte // frames for the writer
	// Semaphores for the requests in flight. While one is full, no further request is read. Pings have a semaphore of
	// their own, so that they are handled while maxPending other requests are in flight.
	requests, pings chan struct{}
}

// serveConn handles the requests on a connection until it ends, and returns the cause.
func serveConn(ctx context.Context, conn net.Conn, handler Handler, traffic *Traffic) error {
	s := &serverConn{
		conn: conn, handler: handler, outgoing: make(chan []byte, maxPending+pingSlots),
		requests: make(chan struct{}, maxPending), pings: make(chan struct{}, pingSlots),
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks reads and writes
	defer stop()
	defer func() { _ = conn.Close() }() // the cause of the disconnect is known from the failed read
	wg.Go(func() {
		defer cancel()
		writeFrames(ctx, conn, s.outgoing, traffic)
	})
	r := bufio.NewReaderSize(conn, readBufferSize)
	for {
		id, request, err := s.readRequest(r)
		if err != nil {
			return err
		}
		slots := s.requests
		if request.Op == OpPing {
			slots = s.pings
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		wg.Go(func() {
			defer func() { <-slots }()
			s.handle(ctx, id, request)
		})
	}
}

func (s *serverConn) readRequest(r io.Reader) (id uint64, request *Request, err error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // if this fails, the read fails too
	kind, id, payload, err := readFrame(r)
	if err != nil {
		return 0, nil, err
	}
	if kind != kindRequest {
		return 0, nil, &FrameKindError{Kind: kind}
	}
	request, err = readRequest(payload)
	if err != nil {
		return 0, nil, fmt.Errorf("rpc: decode request %d: %w", id, err)
	}
	if conn, ok := s.conn.(*connlimit.Conn); ok {
		conn.RequestRead() // from now on the connection is kept: its client is a controller
	}
	return id, request, nil
}

// handle calls the handler and queues the response for the writer. A response over MaxBody is replaced by status 500,
// because an oversized frame would close the connection.
func (s *serverConn) handle(ctx context.Context, id uint64, request *Request) {
	response := s.handler(ctx, request)
	if len(response.Body) > MaxBody {
		response = &Response{Status: http.StatusInternalServerError}
	}
	select {
	case s.outgoing <- appendFrame(nil, kindResponse, id, appendResponse(nil, response)):
	case <-ctx.Done():
	}
}
