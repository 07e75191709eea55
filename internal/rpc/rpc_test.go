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

// pipeNetwork is a network on which each Dial makes an in-memory connection and sends its remote end on the channel.
type pipeNetwork chan net.Conn

func (p pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }
func (p pipeNetwork) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	p <- b
	return a, nil
}

// runLink runs a link until the context is done, and returns the remote ends of its connections.
func runLink(ctx context.Context) (pipeNetwork, *Link) {
	conns := make(pipeNetwork, 8)
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

// TestUnresponsivePeer checks that requests to a peer that has stopped reading fail within their timeout, and that
// other uses of the link are not blocked meanwhile.
func TestUnresponsivePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		conns, link := runLink(ctx)
		remote := <-conns // this end never reads
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Second)
		if _, err := link.Do(timeoutCtx, &Request{Op: OpPing}); err == nil {
			t.Error("Do on a peer that never responds: got no error, want a timeout")
		}
		cancel()
		link.LastResponse()
		if elapsed := time.Since(start); elapsed > 1100*time.Millisecond {
			t.Errorf("Do with a timeout of 1 s: took %v, want at most 1.1 s", elapsed)
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
			t.Errorf("response (-want +got):\n%s, error %v", diff, err)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestPingsAnsweredAtRequestLimit checks that pings are answered while maxPending requests are in flight, and that a
// further request fails without being sent.
func TestPingsAnsweredAtRequestLimit(t *testing.T) {
	const requestCount = 4096 // one heartbeat of each of 4,096 machines
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		conns, link := runLink(ctx)
		release := make(chan struct{})
		go func() { _ = serveConn(ctx, <-conns, blockingHandler(release), &Traffic{}) }()
		time.Sleep(10 * time.Millisecond)
		counts := startHeartbeats(ctx, link, requestCount)
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			if silence := time.Since(link.LastResponse()); silence > time.Second {
				t.Fatalf("with %d requests in flight: got no response for %v, want at most 1 s", requestCount, silence)
			}
		}
		if _, err := link.Do(ctx, &Request{Op: OpRelayHeartbeat}); !IsNotSent(err) {
			t.Errorf("request over the limit: got %v, want an error that means not sent", err)
		}
		if response, err := link.Do(ctx, &Request{Op: OpPing}); err != nil || response.Status != http.StatusOK {
			t.Errorf("ping at the limit: got %+v, %v, want status 200", response, err)
		}
		close(release)
		counts.wg.Wait()
		if counts.answered.Load() != requestCount {
			t.Errorf("got %d requests answered and %d not sent, want all %d answered",
				counts.answered.Load(), counts.unsent.Load(), requestCount)
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// blockingHandler answers pings at once, and everything else after release is closed.
func blockingHandler(release <-chan struct{}) Handler {
	return func(ctx context.Context, request *Request) *Response {
		if request.Op != OpPing {
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		return &Response{Status: http.StatusOK}
	}
}

// requestCounts counts the outcomes of concurrent heartbeat requests.
type requestCounts struct {
	wg               sync.WaitGroup
	unsent, answered atomic.Int64
}

func startHeartbeats(ctx context.Context, link *Link, count int) *requestCounts {
	counts := &requestCounts{}
	for range count {
		counts.wg.Go(func() {
			response, err := link.Do(ctx, &Request{Op: OpRelayHeartbeat, ID: "n1", Body: make([]byte, 500)})
			switch {
			case IsNotSent(err):
				counts.unsent.Add(1)
			case err == nil && response.Status == http.StatusOK:
				counts.answered.Add(1)
			}
		})
	}
	return counts
}

// TestOversizedMessageKeepsConnection checks that a request or response over MaxBody fails without affecting other
// requests. If the message were sent, the receiver would close the connection and all requests in flight would fail.
func TestOversizedMessageKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		conns, link := runLink(ctx)
		const slow = "slow"
		go func() {
			_ = serveConn(ctx, <-conns, func(_ context.Context, request *Request) *Response {
				switch {
				case request.ID == slow:
					time.Sleep(time.Second)
				case request.Op == OpQueue:
					return &Response{Status: http.StatusOK, Body: make([]byte, 100<<10)}
				}
				return &Response{Status: http.StatusOK, Body: request.Body}
			}, &Traffic{})
		}()
		time.Sleep(10 * time.Millisecond)
		inFlight := make(chan error, 1)
		go func() {
			_, err := link.Do(ctx, &Request{Op: OpSubmit, ID: slow})
			inFlight <- err
		}()
		time.Sleep(10 * time.Millisecond)
		response, err := link.Do(ctx, &Request{Op: OpQueue})
		if err != nil || response.Status != http.StatusInternalServerError {
			t.Errorf("oversized response: got %+v, %v, want status 500", response, err)
		}
		response, err = link.Do(ctx, &Request{Op: OpSubmit, Body: make([]byte, 100<<10)})
		if !errors.Is(err, ErrTooLarge) || !IsNotSent(err) {
			t.Errorf("oversized request: got %+v, %v, want ErrTooLarge", response, err)
		}
		fitting := &Request{Op: OpSubmit, Body: make([]byte, MaxBody)}
		if response, err := link.Do(ctx, fitting); err != nil || len(response.Body) != MaxBody {
			t.Errorf("request of MaxBody bytes: got error %v, want a response with as many bytes", err)
		}
		if err := <-inFlight; err != nil {
			t.Errorf("request in flight: got error %v, want a response", err)
		}
		if len(conns) > 0 {
			t.Errorf("got %d further connections, want the first one kept", len(conns))
		}
		stop()
		time.Sleep(10 * time.Second)
	})
}

// TestRequestErrors checks that an error distinguishes a request that was not sent from one of unknown outcome, and
// names the node.
func TestRequestErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		link := NewLink(make(pipeNetwork, 1), "node-2", "b:1", slog.New(slog.DiscardHandler))
		_, err := link.Do(ctx, &Request{Op: OpStatus})
		if !errors.Is(err, ErrNotConnected) || !IsNotSent(err) || !strings.Contains(err.Error(), "node-2") {
			t.Errorf("link not connected: got %v, want ErrNotConnected with the node's name", err)
		}
		conns, link := runLink(ctx)
		remote := <-conns
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(time.Second, func() { closeConn(t, remote) })
		if _, err := link.Do(ctx, &Request{Op: OpStatus}); !errors.Is(err, ErrConnectionLost) || IsNotSent(err) {
			t.Errorf("connection closed by the peer: got %v, want ErrConnectionLost", err)
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
				t.Errorf("decoding an encoded request: got %+v, %v, want %+v", decoded, err, request)
			}
		}
		if response, err := readResponse(payload); err == nil && (response.Status < 100 || response.Status > 599) {
			t.Errorf("readResponse: got status %d, want an error or a status from 100 to 599", response.Status)
		}
	})
}
