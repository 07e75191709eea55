package emulator

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"fieldhill/wire"
)

const (
	// maxHistory is how many changes the store remembers for watches; those that need older ones get 410.
	maxHistory = 10000
	// expiryInterval is how often leases are checked for their expiry.
	expiryInterval = 50 * time.Millisecond
	// maxListPage is how many keys a page has at most: few, to have paging tested.
	maxListPage = 50
	// minDelayedTxn is by how much a transaction is late at least that DelayTxns chose.
	minDelayedTxn = 2 * time.Second
)

// KVStore emulates the consensus-backed key-value store: keys with versions, transactions, leases and watches. Its
// HTTP interface is in kvstore_http.go.
type KVStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	revision uint64
	keys     map[string]*entry
	leases   map[uint64]*leaseGrant
	nextID   uint64 // of a lease
	history  []change
	changed  chan struct{} // closed at the next change

	writes       int
	requests     int
	requestBytes int // of their bodies
	peakKeys     int // most keys held at once

	outage       bool
	refusedHosts map[string]bool // hosts that alone get what all get in an outage
	latency      time.Duration   // of every answer
	txnFaults    txnFaults
	delayedTxns  map[string]int // what was carried out late, by the kind of its first write
	// droppedResponses counts the transactions that dropAfterCommitChance chose, by the kind of their first write.
	droppedResponses              map[string]int
	requestLimiter, changeLimiter *rate.Limiter // nil: any number
}

// txnFaults are the probabilities of what may become of a transaction other than an answer.
type txnFaults struct {
	dropResponseChance float64 // it is applied late and not answered
	dropRequestChance  float64 // it is neither applied nor answered
	minDelay, maxExtra time.Duration
	// dropAfterCommitChance is that it is applied at once and its answer alone is lost.
	dropAfterCommitChance float64
}

// entry is a key's value.
type entry struct {
	value   msgpack.RawMessage
	version uint64
	lease   uint64 // 0 for none
}

type leaseGrant struct {
	ttl       time.Duration
	expiresAt time.Time
}

// change is one event of a watch.
type change struct {
	key     string
	value   msgpack.RawMessage // nil: deleted
	version uint64
}

// NewKVStore makes an empty store.
func NewKVStore(seed uint64) *KVStore {
	return &KVStore{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		keys:    map[string]*entry{},
		leases:  map[uint64]*leaseGrant{},
		changed: make(chan struct{}),
		latency: 3 * time.Millisecond,
	}
}

// SetOutage begins or ends an outage; at its end all leases have their full time.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.outage = on
	for _, g := range s.leases {
		g.expiresAt = time.Now().Add(g.ttl)
	}
}

// DelayTxns has a share of the transactions get no answer, and carries each of them out later, after newer ones: from
// two seconds on, up to so much more.
func (s *KVStore) DelayTxns(share float64, maxExtraDelay time.Duration) {
	s.setTxnFaults(share, 0, minDelayedTxn, maxExtraDelay)
}

// setTxnFaults sets how often an answer or a whole request is lost, and by how much a transaction without an answer is
// late.
func (s *KVStore) setTxnFaults(dropResponse, dropRequest float64, minDelay, maxExtraDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFaults.dropResponseChance = dropResponse
	s.txnFaults.dropRequestChance = dropRequest
	s.txnFaults.minDelay = minDelay
	s.txnFaults.maxExtra = maxExtraDelay
}

// DropResponses has a share of the transactions carried out at once while their answers are lost: their sender waits
// in vain, or its connection breaks.
func (s *KVStore) DropResponses(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFaults.dropAfterCommitChance = share
}

// DroppedResponses counts the answers that DropResponses lost, by kind as DelayedTxns does.
func (s *KVStore) DroppedResponses() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.droppedResponses)
}

// DelayedTxns counts what was carried out late, by kind: the operation and the start of the key that it wrote or
// deleted first.
func (s *KVStore) DelayedTxns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.delayedTxns)
}

// txnKind is the kind of a transaction by its first write.
func txnKind(put, del string) string {
	key, operation := put, "put "
	if put == "" {
		key, operation = del, "delete "
	}
	parts := strings.Split(key, "/")
	return operation + strings.Join(parts[:min(2, len(parts))], "/")
}

// RefuseHost has a host get 503 while the others are served, or ends that. Its open watches wait meanwhile, and its
// leases run out.
func (s *KVStore) RefuseHost(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedHosts == nil {
		s.refusedHosts = map[string]bool{}
	}
	s.refusedHosts[host] = on
}

// SetLatency sets how long every answer takes.
func (s *KVStore) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

// SetRateLimits bounds requests and changes a second, for all controllers together, with bursts of a second's worth.
func (s *KVStore) SetRateLimits(rps, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.changeLimiter = rate.NewLimiter(rate.Limit(changes), int(changes))
}

// Load counts the changes that were asked for, and the most keys held at once.
func (s *KVStore) Load() (writes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.peakKeys
}

// StoreTraffic is what the store was asked for so far, and how many keys it holds.
type StoreTraffic struct{ Requests, Changes, Bytes, Keys int }

// Traffic counts what was asked for so far.
func (s *KVStore) Traffic() StoreTraffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreTraffic{s.requests, s.writes, s.requestBytes, len(s.keys)}
}

// expire revokes the leases that have expired; in an outage none does.
func (s *KVStore) expire() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, g := range s.leases {
		if now.After(g.expiresAt) {
			s.revokeLease(id)
		}
	}
}

// revokeLease ends a lease and deletes the keys attached to it, all at one revision.
func (s *KVStore) revokeLease(id uint64) {
	delete(s.leases, id)
	var attachedKeys []string
	for k, e := range s.keys {
		if e.lease == id {
			attachedKeys = append(attachedKeys, k)
		}
	}
	sort.Strings(attachedKeys)
	if len(attachedKeys) > 0 {
		s.revision++
	}
	for _, k := range attachedKeys {
		s.recordChange(k, nil, 0)
	}
}

// recordChange sets or, with a nil value, deletes a key at the present revision, and wakes the watches.
func (s *KVStore) recordChange(key string, value msgpack.RawMessage, lease uint64) {
	if value == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = &entry{value, s.revision, lease}
	}
	s.peakKeys = max(s.peakKeys, len(s.keys))
	s.history = append(s.history, change{key, value, s.revision})
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// list is a page of the keys with a prefix.
func (s *KVStore) list(prefix, after string, limit int) payload {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items := []payload{}
	for _, k := range names[:min(len(names), limit, maxListPage)] {
		e := s.keys[k]
		items = append(items, payload{"key": k, "value": e.value, "stamp": e.version})
	}
	return payload{"items": items, "truncated": len(items) < len(names), "ledger": s.revision}
}

// apply carries a transaction out, if its conditions hold, and returns its answer.
func (s *KVStore) apply(t *rawTxn) (int, payload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return http.StatusServiceUnavailable, payload{"error": "trouble"}
	}
	s.expire()
	if s.changeLimiter != nil && !s.changeLimiter.AllowN(time.Now(), len(t.Writes)) {
		return http.StatusTooManyRequests, payload{}
	}
	s.writes += len(t.Writes)
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusBadRequest, payload{"error": "no such lease"}
		}
	}
	if failed := s.checkGuards(t.Guards); len(failed) > 0 {
		return http.StatusConflict, payload{"failed": failed, "ledger": s.revision}
	}
	if len(t.Writes) > 0 {
		s.revision++
	}
	for _, p := range t.Writes {
		if p.Put != "" {
			s.recordChange(p.Put, p.Value, p.Lease)
		} else if s.keys[p.Delete] != nil {
			s.recordChange(p.Delete, nil, 0)
		}
	}
	return http.StatusOK, payload{"ledger": s.revision}
}

// checkGuards lists the keys that are not at the version that a transaction demands.
func (s *KVStore) checkGuards(guards []wire.Condition) (failed []string) {
	failed = []string{}
	for _, guard := range guards {
		var version uint64
		if e := s.keys[guard.Key]; e != nil {
			version = e.version
		}
		if version != guard.Version {
			failed = append(failed, guard.Key)
		}
	}
	return failed
}
