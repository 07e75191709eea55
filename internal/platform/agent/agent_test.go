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

// TestCommandsInFlightAreBounded checks that when commands are sent to hundreds of unresponsive machines at once, the
// commands above the bound fail with outcome Unsent within slotTimeout. Without the bound they could use up the sockets
// of the process.
func TestCommandsInFlightAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns, machines = 20, 200
		network := emulator.NewNetwork()
		client := New(network.Host("node"), 3*time.Second, conns)
		var mu sync.Mutex
		outcomes := map[CommandOutcome]int{}
		var wg sync.WaitGroup
		for i := range machines {
			addr := fmt.Sprintf("w%d:1", i)
			ln, err := network.Host(addr).Listen(addr) // accepts connections, and never responds
			if err != nil {
				t.Fatal(err)
			}
			defer closeOrFail(t, ln)
			wg.Go(func() {
				start := time.Now()
				batch := &wire.CommandBatch{FencingToken: 1, AgentEpoch: 1}
				outcome, _, _ := client.SendCommands(context.Background(), addr, batch)
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
				if elapsed := time.Since(start); outcome == Unsent && elapsed > slotTimeout+time.Millisecond {
					t.Errorf("unsent command took %v, want at most %v", elapsed, slotTimeout+time.Millisecond)
				}
			})
		}
		wg.Wait()
		if outcomes[Unknown] != conns/2 || outcomes[Unsent] != machines-conns/2 {
			t.Errorf("%d commands have outcome Unknown and %d Unsent, of %d; want %d Unknown and the rest Unsent",
				outcomes[Unknown], outcomes[Unsent], machines, conns/2)
		}
		client.Close()
		time.Sleep(time.Minute)
	})
}

// closeOrFail closes c, and fails the test on an error other than net.ErrClosed.
func closeOrFail(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// socketCounter is a network that counts its open connections independently of the client.
type socketCounter struct {
	host.Net
	open, maxOpen atomic.Int64
}

func (s *socketCounter) Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	c, err := s.Net.Dial(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	s.maxOpen.Store(max(s.maxOpen.Load(), s.open.Add(1)))
	return &countedSocket{Conn: c, counter: s}, nil
}

type countedSocket struct {
	net.Conn
	counter *socketCounter
	once    sync.Once
}

func (c *countedSocket) Close() error {
	c.once.Do(func() { c.counter.open.Add(-1) })
	return c.Conn.Close()
}

// TestProbesCloseIdleConnections checks that idle connections, commands and probes together do not exceed the client's
// bound on connections: a probe that would exceed it closes idle connections. Below the bound, idle connections are
// kept.
func TestProbesCloseIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns = 40
		network := emulator.NewNetwork()
		counter := &socketCounter{Net: network.Host("node")}
		client := New(counter, 3*time.Second, conns)
		listen := func(name string) (net.Listener, string) {
			ln, err := network.Host(name).Listen(name + ":1")
			if err != nil {
				t.Fatal(err)
			}
			return ln, name + ":1"
		}
		var wg sync.WaitGroup
		for i := range conns / 2 {
			listener, addr := listen(fmt.Sprint("responsive", i))
			defer closeOrFail(t, listener)
			srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				b, _ := wire.Marshal(&wire.Heartbeat{Machine: "m", AgentEpoch: 1})
				_, _ = w.Write(b)
			})}
			go func() { _ = srv.Serve(listener) }()
			defer closeOrFail(t, srv)
			wg.Go(func() {
				if _, err := client.Probe(context.Background(), addr, time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if open := counter.open.Load(); open != conns/2 {
			t.Errorf("%d idle connections are kept, want %d", open, conns/2)
		}
		for i := range conns / 2 {
			silent, addr := listen(fmt.Sprint("silent", i)) // accepts connections, and never responds
			defer closeOrFail(t, silent)
			probed, probedAddr := listen(fmt.Sprint("probed", i))
			defer closeOrFail(t, probed)
			wg.Go(func() {
				batch := &wire.CommandBatch{FencingToken: 1, AgentEpoch: 1}
				_, _, _ = client.SendCommands(context.Background(), addr, batch)
			})
			wg.Go(func() {
				time.Sleep(time.Second)
				_, _ = client.Probe(context.Background(), probedAddr, time.Second)
			})
		}
		wg.Wait()
		if maxOpen := counter.maxOpen.Load(); maxOpen > conns {
			t.Errorf("%d connections were open, want at most %d", maxOpen, conns)
		}
		client.Close()
		time.Sleep(time.Minute)
	})
}
