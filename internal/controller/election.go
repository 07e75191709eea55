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

// stand feeds what decides whether this node stands for election. It is asked by the links' goroutines and by
// the storage, and must answer pings also while the loop is late, so it has a lock of its own.
type stand struct {
	mu    sync.Mutex
	watch *candidacy.Watch
	index map[string]int // of the other nodes
	life  uint64         // tells this process from earlier ones of its node
	node  string
	warm  atomic.Bool // the replica is complete, and was so a moment ago
	now   func() model.Time
}

func newStand(set *config.Settings, links map[string]*rpc.Link, now func() model.Time) *stand {
	s := &stand{watch: candidacy.New(candidacy.Usual, len(set.Members), now()), index: map[string]int{}, life: rand.Uint64(), node: set.Node, now: now}
	for i, m := range set.Members {
		s.index[m.Node] = i
		l := links[m.Node]
		l.Ask = func() []byte { return candidacy.AppendAsk(nil, s.node, s.life) }
		l.Hears = func(said []byte) {
			// An older node says nothing, which counts as not warm: then this process stands beside it, as all did before.
			word, _ := candidacy.ReadWord(said)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.watch.Heard(i, word, s.now())
		}
		l.Down = func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.watch.Lost(i)
		}
	}
	return s
}

// answer is what a ping of another node is told; nil if it is of an older version.
func (s *stand) answer(ask []byte) []byte {
	node, life, err := candidacy.ReadAsk(ask)
	i, known := s.index[node]
	if err != nil || !known {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	met := s.watch.Met(i, life, now)
	return candidacy.Word{Warm: s.warm.Load() && !s.watch.Fresh(now), Met: met}.Append(nil)
}

// may tells whether this node may stand for election, and if not, when to ask again.
func (s *stand) may(led bool) (ok bool, again model.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.watch.Leads(led, now)
	return s.watch.May(now)
}

// sawLeader notes that there was a leader until now, which was an earlier process of this node.
func (s *stand) sawLeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.Leads(true, s.now())
}

// since tells since when there is no leader, as far as this node saw.
func (s *stand) since() (model.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.Since()
}

// warmOther tells whether another node says of itself that it reads the log to its end.
func (s *stand) warmOther() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.WarmOther(s.now())
}
