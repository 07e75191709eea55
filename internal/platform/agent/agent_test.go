package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/testing/virtualtime"
	"fieldhill/wire"
)

func TestMain(m *testing.M) { virtualtime.Main(m) }

// TestCommandsInFlightAreBounded: when hundreds of machines that do not respond are sent commands at once, those beyond
// the bound are known not to have been sent, within half a second, instead of taking the process's last sockets.
func TestCommandsInFlightAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns, machines = 20, 200
		net := emulator.NewNetwork()
		client := New(net.Host("node"), 3*time.Second, conns)
		var mu sync.Mutex
		fates := map[CommandFate]int{}
		var wg sync.WaitGroup
		for i := range machines {
			addr := fmt.Sprintf("w%d:1", i)
			ln, err := net.Host(addr).Listen(addr) // it accepts, and never answers
			if err != nil {
				t.Fatal(err)
			}
			defer closeOrFail(t, ln)
			wg.Go(func() {
				start := time.Now()
				orders := &wire.Orders{FencingToken: 1, AgentEpoch: 1}
				fate, _, _ := client.SendOrders(context.Background(), addr, orders)
				mu.Lock()
				defer mu.Unlock()
				fates[fate]++
				if elapsed := time.Since(start); fate == Unsent && elapsed > slotTimeout+time.Millisecond {
					t.Errorf("a command that was not sent took %v", elapsed)
				}
			})
		}
		wg.Wait()
		if fates[Unknown] != conns/2 || fates[Unsent] != machines-conns/2 {
			t.Errorf("%d commands without an answer and %d not sent, of %d with room for %d",
				fates[Unknown], fates[Unsent], machines, conns/2)
		}
		client.Close()
		time.Sleep(time.Minute)
	})
}

// closeOrFail closes what a test has opened.
func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// sockets is a network that counts its open connections.
type sockets struct {
	host.Net
	open, most atomic.Int64
}

func (s *sockets) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	c, err := s.Net.Dial(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	s.most.Store(max(s.most.Load(), s.open.Add(1)))
	return &socket{Conn: c, of: s}, nil
}

type socket struct {
	net.Conn
	of   *sockets
	once sync.Once
}

func (c *socket) Close() error {
	c.once.Do(func() { c.of.open.Add(-1) })
	return c.Conn.Close()
}

// TestProbesTakeIdleConnections: idle connections, commands and probes take no more sockets together than the client
// was given: where probes come on top of as many commands and idle connections as there may be, idle ones close. Below
// that bound they are kept.
func TestProbesTakeIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns = 40
		network := emulator.NewNetwork()
		count := &sockets{Net: network.Host("node")}
		c := New(count, 3*time.Second, conns)
		listen := func(name string) (net.Listener, string) {
			ln, err := network.Host(name).Listen(name + ":1")
			if err != nil {
				t.Fatal(err)
			}
			return ln, name + ":1"
		}
		var wg sync.WaitGroup
		for i := range conns / 2 {
			ln, addr := listen(fmt.Sprint("well", i))
			defer closeOrFail(t, ln)
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				b, _ := wire.Marshal(&wire.Heartbeat{Machine: "m", AgentEpoch: 1})
				_, _ = w.Write(b)
			})}
			go func() { _ = srv.Serve(ln) }()
			defer closeOrFail(t, srv)
			wg.Go(func() {
				if _, err := c.Probe(context.Background(), addr, time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if k := count.open.Load(); k != conns/2 {
			t.Errorf("%d connections are kept, not %d", k, conns/2)
		}
		for i := range conns / 2 {
			silent, addr := listen(fmt.Sprint("silent", i)) // it accepts, and never answers
			defer closeOrFail(t, silent)
			asked, askedAddr := listen(fmt.Sprint("asked", i))
			defer closeOrFail(t, asked)
			wg.Go(func() {
				_, _, _ = c.SendOrders(context.Background(), addr, &wire.Orders{FencingToken: 1, AgentEpoch: 1})
			})
			wg.Go(func() {
				time.Sleep(time.Second)
				_, _ = c.Probe(context.Background(), askedAddr, time.Second)
			})
		}
		wg.Wait()
		if k := count.most.Load(); k > conns {
			t.Errorf("%d connections were open, of %d", k, conns)
		}
		c.Close()
		time.Sleep(time.Minute)
	})
}
