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
)

// Handler answers requests.
type Handler func(context.Context, *Request) *Response

const (
	// acceptPause is between two tries to accept a connection after one that failed.
	acceptPause = 100 * time.Millisecond
	// idleTimeout ends a connection over which nothing came for long: pings come often.
	idleTimeout = 30 * time.Second
)

// Serve answers other controllers until the context ends. It waits for its connections and closes the listener.
func Serve(ctx context.Context, ln net.Listener, handler Handler, traffic *Traffic, logger *slog.Logger) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // makes Accept return
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
			case <-time.After(acceptPause):
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

// serverConn is a connection from another controller.
type serverConn struct {
	conn     net.Conn
	handler  Handler
	outgoing chan []byte // frames for the writer
	// Requests in flight, and pings, which have room of their own: a full channel keeps the next from being read.
	requests, pings chan struct{}
}

func serveConn(ctx context.Context, conn net.Conn, handler Handler, traffic *Traffic) error {
	s := &serverConn{
		conn: conn, handler: handler, outgoing: make(chan []byte, maxPending+pingSlots),
		requests: make(chan struct{}, maxPending), pings: make(chan struct{}, pingSlots),
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // makes reads and writes return
	defer stop()
	defer func() { _ = conn.Close() }() // what ended the connection is known by now
	wg.Go(func() {
		defer cancel()
		writeFrames(ctx, conn, s.outgoing, traffic)
	})
	r := bufio.NewReaderSize(conn, bufferSize)
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
			s.answer(ctx, id, request)
		})
	}
}

// readRequest reads the next request.
func (s *serverConn) readRequest(r io.Reader) (id uint64, request *Request, err error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout)) // fails on a closed connection, as the read then does
	kind, id, payload, err := readFrame(r)
	if err != nil {
		return 0, nil, err
	}
	if kind != kindRequest {
		return 0, nil, &FrameKindError{Kind: kind}
	}
	request, err = readRequest(payload)
	if err != nil {
		return 0, nil, fmt.Errorf("rpc: request %d: %w", id, err)
	}
	return id, request, nil
}

// answer has a request handled and hands its response to the writer. One that does not fit into a frame becomes an
// error of this request alone.
func (s *serverConn) answer(ctx context.Context, id uint64, request *Request) {
	response := s.handler(ctx, request)
	if len(response.Body) > MaxBody {
		response = &Response{Status: http.StatusInternalServerError}
	}
	select {
	case s.outgoing <- appendFrame(nil, kindResponse, id, appendResponse(nil, response)):
	case <-ctx.Done():
	}
}
