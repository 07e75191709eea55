package controller

import (
	"sync"
	"sync/atomic"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/candidacy"
)

// eligibility feeds what decides whether this node stands for election. It is asked by the links' goroutines and by
// the storage, and must answer pings also while the loop is late, so it has a lock of its own.
type eligibility struct {
	mu          sync.Mutex
	watch       *candidacy.Eligibility
	nodeIndex   map[string]int // of the other nodes
	incarnation uint64         // tells this process from earlier ones of its node
	node        string
	warm        atomic.Bool // the replica is complete, and was so a moment ago
	now         func() model.Time
}

// respond is what a ping of another node is told; nil if it is of an older version.
func (s *eligibility) respond(query []byte) []byte {
	node, incarnation, err := candidacy.ReadQuery(query)
	i, known := s.nodeIndex[node]
	if err != nil || !known {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	recentProcesses := s.watch.RecordIncarnation(i, incarnation, now)
	return candidacy.Status{
		Warm:               s.warm.Load() && !s.watch.IsFresh(now),
		RecentIncarnations: recentProcesses,
	}.Append(
		nil,
	)
}

// mayStand tells whether this node may stand for election, and if not, when to ask again.
func (s *eligibility) mayStand(hasLeader bool) (ok bool, retryAfter model.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.watch.RecordLeader(hasLeader, now)
	return s.watch.MayStand(now)
}

// recordLeader notes that there was a leader until now, which was an earlier process of this node.
func (s *eligibility) recordLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.RecordLeader(true, s.now())
}

// vacantSince tells since when there is no leader, as far as this node saw.
func (s *eligibility) vacantSince() (model.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.VacantSince()
}

// hasWarmPeer tells whether another node says of itself that it reads the log to its end.
func (s *eligibility) hasWarmPeer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.HasWarmPeer(s.now())
}
