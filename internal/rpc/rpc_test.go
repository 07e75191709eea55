package rpc

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

type pipes chan net.Conn

func (p pipes) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }
func (p pipes) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	p <- b
	return a, nil
}

// runLink runs a link until the context ends, and gives the far ends of its connections.
func runLink(ctx context.Context) (pipes, *Link) {
	conns := make(pipes, 8)
	link := NewLink(conns, "b", "b:1", slog.New(slog.DiscardHandler))
	go link.Run(ctx)
	return conns, link
}

func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// TestStuckPeer: a peer that stops reading fails the requests to it in bounded time and does not block those that use
// the link meanwhile.
func TestStuckPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		conns, link := runLink(ctx)
		remote := <-conns // accepted, never read
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Second)
		if _, err := link.Do(timeoutCtx, &Request{Op: OpPing}); err == nil {
			t.Error("a peer that says nothing answered")
		}
		cancel()
		link.LastResponse()
		if elapsed := time.Since(start); elapsed > 1100*time.Millisecond {
			t.Errorf("the call took %v", elapsed)
		}
		stop()
		closeConn(t, remote)
		time.Sleep(10 * time.Second)
		for len(conns) > 0 {
			closeConn(t, <-conns)
		}
	})
}

func TestRequestAndResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		conns, link := runLink(ctx)
		go func() {
			_ = serveConn(ctx, <-conns, func(_ context.Context, request *Request) *Response {
				return &Response{
					Status:     http.StatusTeapot,
					RetryAfter: 7,
					Body:       append([]byte(request.ID), request.Body...),
				}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		response, err := link.Do(ctx, &Request{Op: OpSubmit, ID: "x", Body: []byte("yz")})
		want := &Response{Status: http.StatusTeapot, RetryAfter: 7, Body: []byte("xyz")}
		if diff := cmp.Diff(want, response); diff != "" || err != nil {
			t.Error(err, diff)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestPingsBesideAFlood: as many requests as a large fleet's heartbeats are in flight at once, and beside them, and
// beside one more that is refused, pings are answered.
func TestPingsBesideAFlood(t *testing.T) {
	const calls = 4096 // a relay of 4,000 machines and more
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p, l := runLink(ctx)
		held := make(chan struct{})
		go func() { _ = serveConn(ctx, <-p, heldHandler(held), &Traffic{}) }()
		time.Sleep(10 * time.Millisecond)
		flood := startFlood(ctx, l, calls)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			if ago := time.Since(l.LastResponse()); ago > time.Second {
				t.Fatalf("no response has come for %v beside %d requests", ago, calls)
			}
		}
		if _, err := l.Do(ctx, &Request{Op: OpRelayReport}); !IsNotSent(err) {
			t.Errorf("one request more than there may be got %v", err)
		}
		if a, err := l.Do(ctx, &Request{Op: OpPing}); err != nil || a.Status != http.StatusOK {
			t.Errorf("a ping beside them got %+v, %v", a, err)
		}
		close(held)
		flood.wg.Wait()
		if flood.answered.Load() != calls {
			t.Errorf("%d of %d requests were answered, %d not sent", flood.answered.Load(), calls, flood.unsent.Load())
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// heldHandler answers pings at once, and everything else when held is closed.
func heldHandler(held <-chan struct{}) Handler {
	return func(ctx context.Context, c *Request) *Response {
		if c.Op != OpPing {
			select {
			case <-held:
			case <-ctx.Done():
			}
		}
		return &Response{Status: http.StatusOK}
	}
}

// flood is many relayed heartbeats at once.
type flood struct {
	wg               sync.WaitGroup
	unsent, answered atomic.Int64
}

func startFlood(ctx context.Context, l *Link, calls int) *flood {
	f := &flood{}
	for range calls {
		f.wg.Go(func() {
			a, err := l.Do(ctx, &Request{Op: OpRelayReport, ID: "n1", Body: make([]byte, 500)})
			switch {
			case IsNotSent(err):
				f.unsent.Add(1)
			case err == nil && a.Status == http.StatusOK:
				f.answered.Add(1)
			}
		})
	}
	return f
}

// TestLargeAnswerEndsNothing: a response or a request that does not fit into a frame fails alone. The other side ended
// the connection over it, and every request in flight was lost.
func TestLargeAnswerEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p, l := runLink(ctx)
		const slow = "slow"
		go func() {
			_ = serveConn(ctx, <-p, func(_ context.Context, c *Request) *Response {
				switch {
				case c.ID == slow:
					time.Sleep(time.Second)
				case c.Op == OpQueue:
					return &Response{Status: http.StatusOK, Body: make([]byte, 100<<10)}
				}
				return &Response{Status: http.StatusOK, Body: c.Body}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		inFlight := make(chan error, 1)
		go func() {
			_, err := l.Do(ctx, &Request{Op: OpSubmit, ID: slow})
			inFlight <- err
		}()
		time.Sleep(10 * time.Millisecond)
		if a, err := l.Do(ctx, &Request{Op: OpQueue}); err != nil || a.Status != http.StatusInternalServerError {
			t.Errorf("a large answer: %+v, %v", a, err)
		}
		a, err := l.Do(ctx, &Request{Op: OpSubmit, Body: make([]byte, 100<<10)})
		if !errors.Is(err, ErrTooLarge) || !IsNotSent(err) {
			t.Errorf("a large call: %+v, %v", a, err)
		}
		fitting := &Request{Op: OpSubmit, Body: make([]byte, MaxBody)}
		if a, err := l.Do(ctx, fitting); err != nil || len(a.Body) != MaxBody {
			t.Errorf("what just fits: %v", err)
		}
		if err := <-inFlight; err != nil {
			t.Errorf("the request in flight: %v", err)
		}
		if len(p) > 0 {
			t.Error("the link connected anew")
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestErrorsOfARequest: an error says what became of the request, and names the node.
func TestErrorsOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		link := NewLink(make(pipes, 1), "node-2", "b:1", slog.New(slog.DiscardHandler))
		_, err := link.Do(ctx, &Request{Op: OpStatus})
		if !errors.Is(err, ErrNotConnected) || !IsNotSent(err) || !strings.Contains(err.Error(), "node-2") {
			t.Errorf("a link that is down: %v", err)
		}
		conns, link := runLink(ctx)
		remote := <-conns
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(time.Second, func() { closeConn(t, remote) })
		if _, err := link.Do(ctx, &Request{Op: OpStatus}); !errors.Is(err, ErrConnectionLost) || IsNotSent(err) {
			t.Errorf("a connection that ends: %v", err)
		}
		stop()
		time.Sleep(10 * time.Second)
		for len(conns) > 0 {
			closeConn(t, <-conns)
		}
	})
}

func FuzzFrames(f *testing.F) {
	f.Add(appendFrame(nil, kindRequest, 3, appendRequest(nil, &Request{Op: OpStatus, ID: "req-000001"})))
	f.Add(appendFrame(nil, kindResponse, 3, appendResponse(nil, &Response{Status: 200, Body: []byte{1}})))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, payload, err := readFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		if request, err := readRequest(payload); err == nil {
			decoded, err := readRequest(appendRequest(nil, request))
			if err != nil || !cmp.Equal(request.ID, decoded.ID) || !bytes.Equal(request.Body, decoded.Body) {
				t.Errorf("%+v became %+v, %v", request, decoded, err)
			}
		}
		if response, err := readResponse(payload); err == nil && (response.Status < 100 || response.Status > 599) {
			t.Errorf("status %d", response.Status)
		}
	})
}
