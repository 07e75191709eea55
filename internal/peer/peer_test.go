package peer

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
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
