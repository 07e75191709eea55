package controller

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/host"
)

// These tests run whole deployments in virtual time: three real controllers
// among stand-ins, with a referee that reads the rules plainly.

// nodeRegistry are the running controllers of a test, for those that stop them in their tracks.
type nodeRegistry struct {
	mu     sync.Mutex
	byName map[string]*Controller
}

var runningNodes = nodeRegistry{byName: map[string]*Controller{}}

// nodeAt returns the node that runs at a place, or nil. Only the test's own goroutine
// calls it: it waits until the others are idle, so that the test reads what a node's start
// has written.
func nodeAt(i int) *Controller {
	synctest.Wait()
	runningNodes.mu.Lock()
	defer runningNodes.mu.Unlock()
	if node := runningNodes.byName[emulator.ControllerName(i)]; node != nil && node.ctx.Err() == nil {
		return node
	}
	return nil
}

// findLeader finds the node that leads, or -1.
func findLeader() int {
	for i := range 3 {
		leads := false
		if node := nodeAt(i); node != nil {
			node.loop.postAndWait(func() { leads = node.term.isActive() })
		}
		if leads {
			return i
		}
	}
	return -1
}

// compactEvery is after how many batches nodes that are started now compact the log; 0: as usual.
var compactEvery int

// relayThreshold is with more than how many machines nodes that are started now spread workers over the cell; 0: as
// usual.
var relayThreshold = flag.Int(
	"relays",
	0,
	"spread workers over the controllers from so many machines on, in every test",
)

// maxSilentProbes is how many silent machines of a zone nodes that are started now ask at once; 0: as usual.
var maxSilentProbes int

// distributedRoles tells whether nodes that are started now hold duties one by one.
var distributedRoles bool

func metricsAddr(node string) string { return "10.4.0." + node[1:] + ":80" }

func adminAddr(node string) string { return "10.5.0." + node[1:] + ":80" }

func runController(t *testing.T) emulator.ControllerFunc {
	var out io.Writer = io.Discard
	level := slog.LevelInfo
	if os.Getenv("LOG_LEVEL") != "" {
		out = os.Stderr
		_ = level.UnmarshalText([]byte(os.Getenv("LOG_LEVEL")))
	}
	return func(ctx context.Context, network host.Net, settings *config.Settings) error {
		log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level})).With("node", settings.Node)
		node := New(
			network,
			settings,
			Options{
				Beta:           0.8,
				Threshold:      0.5,
				WaitRounds:     2,
				RoundInterval:  2 * time.Second,
				MetricsAddr:    metricsAddr(settings.Node),
				AdminAddr:      adminAddr(settings.Node),
				SingletonRoles: distributedRoles,
			},
			log,
		)
		node.ctx = ctx
		if compactEvery > 0 {
			node.commits.snapshotInterval = compactEvery
		}
		if maxSilentProbes > 0 {
			node.probes.maxZoneProbes = maxSilentProbes
		}
		if *relayThreshold > 0 {
			node.assignments.spreadThreshold = *relayThreshold
		}
		runningNodes.mu.Lock()
		runningNodes.byName[settings.Node] = node
		runningNodes.mu.Unlock()
		return node.Run(ctx)
	}
}

// runCluster runs f in a world with started nodes and then demands that no rule was broken.
func runCluster(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	runClusterWithTeams(t, seed, nil, f)
}

// runClusterWithTeams does so with other teams than usual.
func runClusterWithTeams(t *testing.T, seed uint64, teams []config.Team, f func(w *emulator.Environment)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := emulator.New(ctx, 3, seed, runController(t))
		if teams != nil {
			w.SetTeams(teams)
		}
		for i := range 3 {
			w.Start(i)
		}
		f(w)
		finished, accepted := w.Checker.Finished()
		writes, keys := w.Store.Load()
		t.Logf(
			"%d starts, %d jobs accepted, %d over; %d writes, at most %d keys",
			w.Checker.Starts(),
			accepted,
			finished,
			writes,
			keys,
		)
		for _, b := range w.Checker.Violations() {
			t.Error(b)
		}
		stop()
		time.Sleep(time.Minute) // everything ends
		synctest.Wait()
	})
}
