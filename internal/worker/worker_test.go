package worker

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/bubble"
	"fieldhill/internal/standin"
	"fieldhill/wire"
)

func TestMain(m *testing.M) { bubble.Main(m) }

// TestCommandsUnderWayAreBounded: when hundreds of machines that say nothing are to be told
// something at once, commands beyond the bound are known not to have been sent, within half a
// second, instead of taking the process's last sockets.
func TestCommandsUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const conns, machines = 20, 200
		net := standin.NewNetwork()
		c := New(net.Host("node"), 3*time.Second, conns)
		var mu sync.Mutex
		fates := map[Fate]int{}
		var wg sync.WaitGroup
		for i := range machines {
			addr := fmt.Sprintf("w%d:1", i)
			ln, err := net.Host(addr).Listen(addr) // it accepts, and never answers
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			wg.Go(func() {
				began := time.Now()
				fate, _, _ := c.Orders(context.Background(), addr, &wire.Orders{Token: 1, Session: 1})
				mu.Lock()
				defer mu.Unlock()
				fates[fate]++
				if d := time.Since(began); fate == Unsent && d > waitRoom+time.Millisecond {
					t.Errorf("a command that was not sent took %v", d)
				}
			})
		}
		wg.Wait()
		if fates[Unknown] != conns/2 || fates[Unsent] != machines-conns/2 {
			t.Errorf("%d commands without an answer and %d not sent, of %d with room for %d", fates[Unknown], fates[Unsent], machines, conns/2)
		}
		c.Close()
		time.Sleep(time.Minute)
	})
}
