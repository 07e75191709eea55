package controller

import (
	"context"
	"flag"
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

// The tests of this package run complete deployments in virtual time: three real controllers against the emulator,
// whose invariant checker verifies the guarantees to users without using the controllers' code.

// nodeRegistry holds the running controllers of a test by name, for faults and checks that access controller internals.
type nodeRegistry struct {
	mu     sync.Mutex
	byName map[string]*Controller
}

// runningNodes holds the controllers of the current test. It is a single variable because tests of this package don't
// run in parallel in one process.
var runningNodes = nodeRegistry{byName: map[string]*Controller{}}

// nodeAt returns the running controller with index i, or nil. It must be called from the test's own goroutine: it waits
// until all other goroutines are blocked, so that a starting controller has written its fields before they are read.
func nodeAt(i int) *Controller {
	synctest.Wait()
	runningNodes.mu.Lock()
	defer runningNodes.mu.Unlock()
	if node := runningNodes.byName[emulator.ControllerName(i)]; node != nil && node.ctx.Err() == nil {
		return node
	}
	return nil
}

// findLeader returns the index of the leader, or -1 if there is none.
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

// leaderOrFirst returns the index of the leader, or 0 if there is none, so that a fault has a target even without a
// leader.
func leaderOrFirst() int { return max(0, findLeader()) }

// currentTerm returns the leader's term, or 0 if there is no leader.
func currentTerm() (term uint64) {
	if leader := nodeAt(leaderOrFirst()); leader != nil {
		leader.loop.postAndWait(func() {
			if leader.term.leader != nil {
				term = leader.term.leader.Term
			}
		})
	}
	return term
}

// compactEvery is the number of batches between log compactions of controllers started from now on; 0 selects the
// controller's default.
var compactEvery int

// relayThreshold is the number of machines above which controllers started from now on assign agents to relays; 0
// selects the controller's default.
var relayThreshold = flag.Int("relays", 0, "in every test, assign agents to relays above this number of machines")

// maxSilentProbes is the number of silent machines per zone that controllers started from now on probe at the same
// time; 0 selects the controller's default.
var maxSilentProbes int

// distributedRoles is true if controllers started from now on hold the singleton roles independently of leadership.
var distributedRoles bool

// metricsAddr returns the address of a controller's metrics page.
func metricsAddr(node string) string { return "10.4.0." + node[1:] + ":80" }

// adminAddr returns the address of a controller's admin API.
func adminAddr(node string) string { return "10.5.0." + node[1:] + ":80" }

// testLogHandler logs to standard error if LOG_LEVEL is set, and discards all logs otherwise.
func testLogHandler() slog.Handler {
	name := os.Getenv("LOG_LEVEL")
	if name == "" {
		return slog.DiscardHandler
	}
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(name)) // level stays the default if LOG_LEVEL names no level
	return slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
}

// runController runs a controller in the emulator with the same options as the program, apart from the limits that the
// test's variables set, and adds it to runningNodes.
func runController(ctx context.Context, network host.Net, settings *config.Settings) error {
	options := Options{
		Beta:           0.8,
		Threshold:      0.5,
		WaitRounds:     2,
		RoundInterval:  2 * time.Second,
		MetricsAddr:    metricsAddr(settings.Node),
		AdminAddr:      adminAddr(settings.Node),
		SingletonRoles: distributedRoles,
	}
	node := New(network, settings, options, slog.New(testLogHandler()).With("node", settings.Node))
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

// runCluster runs f against a started deployment with the default teams, and then reports a test failure for every
// invariant that was violated.
func runCluster(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	t.Helper()
	runClusterWithTeams(t, seed, nil, f)
}

// runClusterWithTeams is like runCluster, with the given teams instead of the default ones.
func runClusterWithTeams(t *testing.T, seed uint64, teams []config.Team, f func(w *emulator.Environment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := emulator.New(ctx, 3, seed, runController)
		if teams != nil {
			w.SetTeams(teams)
		}
		startAll(w)
		f(w)
		finished, accepted := w.Checker.JobCounts()
		writes, keys := w.Store.WriteStats()
		t.Logf("%d task starts, %d jobs accepted, %d ended; %d writes, at most %d keys",
			w.Checker.Starts(), accepted, finished, writes, keys)
		for _, violation := range w.Checker.Violations() {
			t.Error(violation)
		}
		stop()
		time.Sleep(time.Minute) // until all goroutines have ended
		synctest.Wait()
	})
}
