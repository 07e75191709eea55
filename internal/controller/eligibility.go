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

// eligibility decides whether this controller may stand for election, from what the other controllers say of
// themselves in pings. The links' goroutines and the replication's use it, and it must answer pings also while the
// loop is late, so it has a lock of its own, which guards watch. warm is written by the loop; the rest never changes.
type eligibility struct {
	node        string
	nodeIndex   map[string]int // of the other controllers, by node: their index in the settings
	incarnation uint64         // tells this process from earlier ones of its node
	now         func() model.Time
	warm        atomic.Bool // the replica is complete, and was so a moment ago

	mu    sync.Mutex
	watch *candidacy.Eligibility
}

// newEligibility makes it and has the links' pings carry what it needs to know of the other controllers.
func newEligibility(settings *config.Settings, links map[string]*rpc.Link, now func() model.Time) *eligibility {
	el := &eligibility{
		watch:       candidacy.New(candidacy.DefaultRules, len(settings.Members), now()),
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

// attach sends queries with a link's pings and takes their answers in, as those of the controller with this index.
func (el *eligibility) attach(link *rpc.Link, index int) {
	link.PingBody = func() []byte { return candidacy.AppendQuery(nil, el.node, el.incarnation) }
	link.OnPong = func(payload []byte) {
		// A controller of an older version sends nothing, which counts as not warm: then this process stands beside
		// it, as all did before.
		status, _ := candidacy.ReadStatus(payload)
		el.mu.Lock()
		defer el.mu.Unlock()
		el.watch.RecordStatus(index, status, el.now())
	}
	link.OnDown = func() {
		el.mu.Lock()
		defer el.mu.Unlock()
		el.watch.RecordUnreachable(index)
	}
}

// respond returns the answer to another controller's ping; nil if that one is of an older version.
func (el *eligibility) respond(query []byte) []byte {
	node, incarnation, err := candidacy.ReadQuery(query)
	i, known := el.nodeIndex[node]
	if err != nil || !known {
		return nil
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.now()
	recentIncarnations := el.watch.RecordIncarnation(i, incarnation, now)
	status := candidacy.Status{
		Warm:               el.warm.Load() && !el.watch.IsFresh(now),
		RecentIncarnations: recentIncarnations,
	}
	return status.Append(nil)
}

// mayStand tells whether this controller may stand for election, and if not, after how long to ask again.
func (el *eligibility) mayStand(hasLeader bool) (ok bool, retryAfter model.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.now()
	el.watch.RecordLeader(hasLeader, now)
	return el.watch.MayStand(now)
}

// recordLeader notes that there was a leader until now, which was an earlier process of this node.
func (el *eligibility) recordLeader() {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.watch.RecordLeader(true, el.now())
}

// vacantSince tells since when there is no leader, as far as this controller saw.
func (el *eligibility) vacantSince() (model.Time, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.watch.VacantSince()
}

// hasWarmPeer tells whether another controller says of itself that it reads the log to its end.
func (el *eligibility) hasWarmPeer() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.watch.HasWarmPeer(el.now())
}
