package controller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
	"fieldhill/internal/rpc"
)

// eligibility decides whether this controller may stand for election, based on the status that the other controllers
// report in answers to pings. It is used by the goroutines of the links and by the replication goroutine, and has to
// answer pings even while the event loop is delayed, so it has its own lock, which guards state. The event loop writes
// warm; the other fields never change.
type eligibility struct {
	node        string
	nodeIndex   map[string]int // index in settings.Members, by node
	incarnation uint64         // identifies this process among successive processes of the node
	now         func() model.Time
	warm        atomic.Bool // the replica is up to date

	mu    sync.Mutex
	state *candidacy.Eligibility
}

// newEligibility creates an eligibility and registers it with the links, so that their pings carry queries for the
// status of the other controllers.
func newEligibility(settings *config.Settings, links map[string]*rpc.Link, now func() model.Time) *eligibility {
	el := &eligibility{
		state:       candidacy.New(candidacy.DefaultRules, len(settings.Members), now()),
		nodeIndex:   map[string]int{},
		incarnation: rand.Uint64(),
		node:        settings.Node,
		now:         now,
	}
	for i, member := range settings.Members {
		el.nodeIndex[member.Node] = i
		el.attach(links[member.Node], i)
	}
	return el
}

// attach sends a query with each ping of the link and records the answers as the status of the controller with the
// given index.
func (el *eligibility) attach(link *rpc.Link, index int) {
	link.PingBody = func() []byte { return candidacy.AppendQuery(nil, el.node, el.incarnation) }
	link.OnPong = func(payload []byte) {
		// A controller of an older version sends no status and counts as not warm, so this process stands for election
		// regardless of that controller, as all controllers of the older version do.
		status, _ := candidacy.ReadStatus(payload)
		el.mu.Lock()
		defer el.mu.Unlock()
		el.state.RecordStatus(index, status, el.now())
	}
	link.OnDown = func() {
		el.mu.Lock()
		defer el.mu.Unlock()
		el.state.RecordUnreachable(index)
	}
}

// respond returns this controller's status in answer to another controller's ping. It returns nil if that controller is
// not in the settings, or runs an older version that sends no query.
func (el *eligibility) respond(query []byte) []byte {
	node, incarnation, err := candidacy.ReadQuery(query)
	i, known := el.nodeIndex[node]
	if err != nil || !known {
		return nil
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.now()
	recentIncarnations := el.state.RecordIncarnation(i, incarnation, now)
	status := candidacy.Status{
		Warm:               el.warm.Load() && !el.state.IsFresh(now),
		RecentIncarnations: recentIncarnations,
	}
	return status.Append(nil)
}

// mayBeCandidate reports whether this controller may stand for election, and if not, when to check again.
func (el *eligibility) mayBeCandidate(hasLeader bool) (ok bool, retryAfter model.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.now()
	el.state.RecordLeader(hasLeader, now)
	return el.state.MayBeCandidate(now)
}

// recordLeader records that there was a leader until now. It is called when that leader was an earlier process of this
// node.
func (el *eligibility) recordLeader() {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.state.RecordLeader(true, el.now())
}

// leaderlessSince returns the start of the current period without a known leader. The second result is false if a
// leader is known.
func (el *eligibility) leaderlessSince() (model.Time, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.state.LeaderlessSince()
}

// hasWarmPeer reports whether another controller is reachable and its latest status says that it follows the log to its
// end.
func (el *eligibility) hasWarmPeer() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.state.HasWarmPeer(el.now())
}
