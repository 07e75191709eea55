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
	p := make(pipes, 8)
	l := NewLink(p, "b", "b:1", slog.New(slog.DiscardHandler))
	go l.Run(ctx)
	return p, l
}

// TestStuckPeer: a peer that stops reading fails the calls to it in bounded time
// and does not hold up whoever asks the link anything meanwhile.
func TestStuckPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p, l := runLink(ctx)
		far := <-p // accepted, never read
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		cctx, cancel := context.WithTimeout(ctx, time.Second)
		if _, err := l.Call(cctx, &Call{Op: OpPing}); err == nil {
			t.Error("a peer that says nothing answered")
		}
		cancel()
		l.Heard()
		if d := time.Since(began); d > 1100*time.Millisecond {
			t.Errorf("the call took %v", d)
		}
		stop()
		far.Close()
		time.Sleep(10 * time.Second)
		for len(p) > 0 {
			(<-p).Close()
		}
	})
}

func TestCallAndReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		p, l := runLink(ctx)
		go func() {
			_ = serveConn(ctx, <-p, func(_ context.Context, c *Call) *Reply {
				return &Reply{Status: http.StatusTeapot, RetryAfter: 7, Body: append([]byte(c.ID), c.Body...)}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		got, err := l.Call(ctx, &Call{Op: OpSubmit, ID: "x", Body: []byte("yz")})
		if d := cmp.Diff(&Reply{Status: http.StatusTeapot, RetryAfter: 7, Body: []byte("xyz")}, got); d != "" || err != nil {
			t.Error(err, d)
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
			_ = serveConn(ctx, <-p, func(ctx context.Context, c *Call) *Reply {
				if c.Op != OpPing {
					select {
					case <-held:
					case <-ctx.Done():
					}
				}
				return &Reply{Status: http.StatusOK}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		var unsent, answered atomic.Int64
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				a, err := l.Call(ctx, &Call{Op: OpReport, ID: "n1", Body: make([]byte, 500)})
				switch {
				case IsDown(err):
					unsent.Add(1)
				case err == nil && a.Status == http.StatusOK:
					answered.Add(1)
				}
			})
		}
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			if ago := time.Since(l.Heard()); ago > time.Second {
				t.Fatalf("nothing is heard for %v beside %d calls", ago, calls)
			}
		}
		if _, err := l.Call(ctx, &Call{Op: OpReport}); !IsDown(err) {
			t.Errorf("one call more than there may be got %v", err)
		}
		if a, err := l.Call(ctx, &Call{Op: OpPing}); err != nil || a.Status != http.StatusOK {
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
			_ = serveConn(ctx, <-p, func(_ context.Context, c *Call) *Reply {
				switch {
				case c.ID == slow:
					time.Sleep(time.Second)
				case c.Op == OpQueue:
					return &Reply{Status: http.StatusOK, Body: make([]byte, 100<<10)}
				}
				return &Reply{Status: http.StatusOK, Body: c.Body}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		underWay := make(chan error, 1)
		go func() {
			_, err := l.Call(ctx, &Call{Op: OpSubmit, ID: slow})
			underWay <- err
		}()
		time.Sleep(10 * time.Millisecond)
		if a, err := l.Call(ctx, &Call{Op: OpQueue}); err != nil || a.Status != http.StatusInternalServerError {
			t.Errorf("a large answer: %+v, %v", a, err)
		}
		a, err := l.Call(ctx, &Call{Op: OpSubmit, Body: make([]byte, 100<<10)})
		if !errors.Is(err, ErrTooLarge) || !IsDown(err) {
			t.Errorf("a large call: %+v, %v", a, err)
		}
		if a, err := l.Call(ctx, &Call{Op: OpSubmit, Body: make([]byte, MostBody)}); err != nil || len(a.Body) != MostBody {
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
	f.Add(appendFrame(nil, kindCall, 3, appendCall(nil, &Call{Op: OpStatus, ID: "req-000001"})))
	f.Add(appendFrame(nil, kindBack, 3, appendReply(nil, &Reply{Status: 200, Body: []byte{1}})))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _, p, err := readFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		if c, err := readCall(p); err == nil {
			back, err := readCall(appendCall(nil, c))
			if err != nil || !cmp.Equal(c.ID, back.ID) || !bytes.Equal(c.Body, back.Body) {
				t.Errorf("%+v became %+v, %v", c, back, err)
			}
		}
		if a, err := readReply(p); err == nil && (a.Status < 100 || a.Status > 599) {
			t.Errorf("status %d", a.Status)
		}
	})
}
