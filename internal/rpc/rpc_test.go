package rpc

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
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

// TestStuckPeer: a peer that stops reading fails the calls to it in bounded time
// and does not hold up whoever asks the link anything meanwhile.
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
		remote.Close()
		time.Sleep(10 * time.Second)
		for len(conns) > 0 {
			(<-conns).Close()
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
		if diff := cmp.Diff(
			&Response{Status: http.StatusTeapot, RetryAfter: 7, Body: []byte("xyz")},
			response,
		); diff != "" ||
			err != nil {
			t.Error(err, diff)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestPingsBesideAFlood: as many calls as a large fleet's reports are under way at once, and beside them, and beside
// one more that is refused, pings are answered.
func TestPingsBesideAFlood(t *testing.T) {
	const calls = 4096 // a relay of 4,000 machines and more
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p, l := runLink(ctx)
		held := make(chan struct{})
		go func() {
			_ = serveConn(ctx, <-p, func(ctx context.Context, c *Request) *Response {
				if c.Op != OpPing {
					select {
					case <-held:
					case <-ctx.Done():
					}
				}
				return &Response{Status: http.StatusOK}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		var unsent, answered atomic.Int64
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				a, err := l.Do(ctx, &Request{Op: OpRelayReport, ID: "n1", Body: make([]byte, 500)})
				switch {
				case IsNotSent(err):
					unsent.Add(1)
				case err == nil && a.Status == http.StatusOK:
					answered.Add(1)
				}
			})
		}
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			if ago := time.Since(l.LastResponse()); ago > time.Second {
				t.Fatalf("nothing is heard for %v beside %d calls", ago, calls)
			}
		}
		if _, err := l.Do(ctx, &Request{Op: OpRelayReport}); !IsNotSent(err) {
			t.Errorf("one call more than there may be got %v", err)
		}
		if a, err := l.Do(ctx, &Request{Op: OpPing}); err != nil || a.Status != http.StatusOK {
			t.Errorf("a ping beside them got %+v, %v", a, err)
		}
		close(held)
		wg.Wait()
		if answered.Load() != calls {
			t.Errorf("%d of %d calls were answered, %d not sent", answered.Load(), calls, unsent.Load())
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestLargeAnswerEndsNothing: an answer or a call that does not fit into a frame fails alone. The other side ended the
// connection over it, and every call under way was lost.
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
		underWay := make(chan error, 1)
		go func() {
			_, err := l.Do(ctx, &Request{Op: OpSubmit, ID: slow})
			underWay <- err
		}()
		time.Sleep(10 * time.Millisecond)
		if a, err := l.Do(ctx, &Request{Op: OpQueue}); err != nil || a.Status != http.StatusInternalServerError {
			t.Errorf("a large answer: %+v, %v", a, err)
		}
		a, err := l.Do(ctx, &Request{Op: OpSubmit, Body: make([]byte, 100<<10)})
		if !errors.Is(err, ErrTooLarge) || !IsNotSent(err) {
			t.Errorf("a large call: %+v, %v", a, err)
		}
		if a, err := l.Do(
			ctx,
			&Request{Op: OpSubmit, Body: make([]byte, MaxBody)},
		); err != nil ||
			len(a.Body) != MaxBody {
			t.Errorf("what just fits: %v", err)
		}
		if err := <-underWay; err != nil {
			t.Errorf("the call under way: %v", err)
		}
		if len(p) > 0 {
			t.Error("the link connected anew")
		}
		stop()
		time.Sleep(10 * time.Second)
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
