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

// The tests of this package run whole deployments in virtual time: three real controllers against the emulator, whose
// invariant checker verifies the users' rules independently of the controllers' code.

// nodeRegistry lists the running controllers of a test, for faults and checks that reach into them.
type nodeRegistry struct {
	mu     sync.Mutex
	byName map[string]*Controller
}

// runningNodes are the controllers of the test that runs; no two tests of this package run at once in a process.
var runningNodes = nodeRegistry{byName: map[string]*Controller{}}

// nodeAt returns the running controller with an index, or nil. It may only be called by the test's own goroutine: it
// waits until all others are idle, so that the test sees what the start of a controller has written.
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

// leaderOrFirst returns the index of the leader, or the first controller's if there is none, for faults that need a
// target at any moment.
func leaderOrFirst() int { return max(0, findLeader()) }

// currentTerm returns the term that the leader knows of, or 0 if there is none.
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

// compactEvery is the number of batches after which controllers that are started from now on compact the log; 0 is the
// default.
var compactEvery int

// relayThreshold is the number of machines above which controllers that are started from now on assign agents to
// relays; 0 is the default.
var relayThreshold = flag.Int("relays", 0, "assign agents to relays from so many machines on, in every test")

// maxSilentProbes is how many silent machines of a zone a controller that is started from now on probes at once; 0 is
// the default.
var maxSilentProbes int

// distributedRoles says whether controllers that are started from now on hold singleton roles independently of
// leadership.
var distributedRoles bool

// metricsAddr is where a controller serves its metrics.
func metricsAddr(node string) string { return "10.4.0." + node[1:] + ":80" }

// adminAddr is where a controller serves the admin API.
func adminAddr(node string) string { return "10.5.0." + node[1:] + ":80" }

// testLogHandler writes logs to standard error if LOG_LEVEL is set, and discards them otherwise.
func testLogHandler() slog.Handler {
	name := os.Getenv("LOG_LEVEL")
	if name == "" {
		return slog.DiscardHandler
	}
	level := slog.LevelInfo
	_ = level.UnmarshalText([]byte(name)) // an unknown level leaves the default
	return slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
}

// runController is how the emulator runs a controller: as the program does, with the limits that the test has set.
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

// runCluster runs f against a started deployment and then fails the test for every violated invariant.
func runCluster(t *testing.T, seed uint64, f func(w *emulator.Environment)) {
	t.Helper()
	runClusterWithTeams(t, seed, nil, f)
}

// runClusterWithTeams is runCluster with other teams than the default ones.
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
		finished, accepted := w.Checker.Finished()
		writes, keys := w.Store.Load()
		t.Logf("%d starts, %d jobs accepted, %d ended; %d writes, at most %d keys",
			w.Checker.Starts(), accepted, finished, writes, keys)
		for _, violation := range w.Checker.Violations() {
			t.Error(violation)
		}
		stop()
		time.Sleep(time.Minute) // everything ends
		synctest.Wait()
	})
}
