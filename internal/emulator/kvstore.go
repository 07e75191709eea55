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
	// maxHistory is the number of changes retained for watches; a watch that needs an older change gets status 410.
	maxHistory          = 10000
	leaseExpiryInterval = 50 * time.Millisecond
	// maxListPage is the maximum number of keys on a page. It is low, so that tests exercise paging.
	maxListPage = 50
	// minTxnDelay is the minimum delay of a transaction selected by DelayTxns.
	minTxnDelay = 2 * time.Second
)

// KVStore emulates the consensus-backed key-value store: keys with versions, transactions, leases and watches. Its
// HTTP interface is in kvstore_http.go.
type KVStore struct {
	mu          sync.Mutex
	rng         *rand.Rand
	revision    uint64
	keys        map[string]*entry
	leases      map[uint64]*leaseState
	lastLeaseID uint64
	history     []change
	changed     chan struct{} // closed at the next change

	writes       int
	requests     int
	requestBytes int // size of all request bodies
	peakKeys     int // highest number of keys held at once

	copier *requestCopier // nil: no copies of requests are made

	outage       bool
	refusedHosts map[string]bool // hosts whose requests are refused as in an outage
	latency      time.Duration   // time before each request is processed
	txnFaults    txnFaults
	delayedTxns  map[string]int // delayed transactions that have a write, by kind (see DelayedTxns)
	// droppedResponses counts the committed transactions that have a write and were selected by dropAfterCommitChance,
	// by kind (see DelayedTxns).
	droppedResponses              map[string]int
	requestLimiter, changeLimiter *rate.Limiter // nil: unlimited
}

// txnFaults holds the probabilities of the faults injected into transactions, and the delay of transactions that are
// applied late.
type txnFaults struct {
	dropResponseChance float64 // probability that a transaction is applied late and not answered
	dropRequestChance  float64 // probability that a transaction is neither applied nor answered
	// minDelay plus a random time of up to maxExtraDelay is the delay of a transaction that is applied late.
	minDelay, maxExtraDelay time.Duration
	// dropAfterCommitChance is the probability that a transaction is applied at once and only its response is lost.
	dropAfterCommitChance float64
}

type entry struct {
	value   msgpack.RawMessage
	version uint64
	lease   uint64 // 0: none
}

type leaseState struct {
	ttl       time.Duration
	expiresAt time.Time
}

// change is a change of one key, as reported to watches.
type change struct {
	key     string
	value   msgpack.RawMessage // nil: deleted
	version uint64
}

// NewKVStore returns an empty store. The seed determines the random faults.
func NewKVStore(seed uint64) *KVStore {
	return &KVStore{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		keys:    map[string]*entry{},
		leases:  map[uint64]*leaseState{},
		changed: make(chan struct{}),
		latency: 3 * time.Millisecond,
	}
}

// SetOutage starts or ends an outage. Leases do not expire during an outage; when it ends, each lease is valid for its
// full TTL again.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revokeExpiredLeases()
	s.outage = on
	for _, lease := range s.leases {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
}

// DelayTxns leaves a share of the transactions unanswered and applies each of them late, possibly after newer ones:
// after minTxnDelay plus a random time of up to maxExtraDelay.
func (s *KVStore) DelayTxns(share float64, maxExtraDelay time.Duration) {
	s.setTxnFaults(share, 0, minTxnDelay, maxExtraDelay)
}

// setTxnFaults sets dropResponseChance and dropRequestChance, and the range of the delays of transactions that are
// applied late.
func (s *KVStore) setTxnFaults(dropResponse, dropRequest float64, minDelay, maxExtraDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFaults.dropResponseChance = dropResponse
	s.txnFaults.dropRequestChance = dropRequest
	s.txnFaults.minDelay = minDelay
	s.txnFaults.maxExtraDelay = maxExtraDelay
}

// DropResponses makes the store apply a share of the transactions at once without sending the response. At random, the
// connection is either closed at once or held open until the client gives up, at most for droppedResponseHold.
func (s *KVStore) DropResponses(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFaults.dropAfterCommitChance = share
}

// DroppedResponses returns the number of committed transactions that have a write and whose responses were dropped
// because of DropResponses, by kind as in DelayedTxns.
func (s *KVStore) DroppedResponses() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.droppedResponses)
}

// DelayedTxns returns the number of delayed transactions that have a write, by kind. The kind of a transaction is the
// operation of its first write, put or delete, and the first two path segments of that write's key.
func (s *KVStore) DelayedTxns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.delayedTxns)
}

// txnKind returns the kind of a transaction, given the key that its first write puts or, if putKey is empty, the key
// that the write deletes.
func txnKind(putKey, deletedKey string) string {
	key, operation := putKey, "put "
	if putKey == "" {
		key, operation = deletedKey, "delete "
	}
	parts := strings.Split(key, "/")
	return operation + strings.Join(parts[:min(2, len(parts))], "/")
}

// RefuseHost starts or stops refusing the requests of one host with 503, while the other hosts are served. While the
// host is refused, its watches get no response other than 410, and its leases expire because they are not renewed.
func (s *KVStore) RefuseHost(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedHosts == nil {
		s.refusedHosts = map[string]bool{}
	}
	s.refusedHosts[host] = on
}

// SetLatency sets the time that the store waits before it processes a request.
func (s *KVStore) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

// SetRateLimits limits requests and changes per second for all controllers together. Each limit allows a burst as large
// as the number allowed per second.
func (s *KVStore) SetRateLimits(requestsPerSecond, changesPerSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter = rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond))
	s.changeLimiter = rate.NewLimiter(rate.Limit(changesPerSecond), int(changesPerSecond))
}

// WriteStats returns the number of writes in transactions, also if their conditions failed, and the highest number of
// keys that the store has held at once.
func (s *KVStore) WriteStats() (writes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.peakKeys
}

// StoreTraffic holds the cumulative numbers of requests, changes and request bytes of the store, and the current number
// of keys.
type StoreTraffic struct{ Requests, Changes, Bytes, Keys int }

// Traffic returns the numbers of requests, changes and request bytes since the store was created, and the current
// number of keys.
func (s *KVStore) Traffic() StoreTraffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreTraffic{s.requests, s.writes, s.requestBytes, len(s.keys)}
}

// revokeExpiredLeases revokes the leases whose TTL has passed. During an outage leases do not expire.
func (s *KVStore) revokeExpiredLeases() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expiresAt) {
			s.revokeLease(id)
		}
	}
}

// revokeLease ends a lease and deletes the keys attached to it, all at the same revision.
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

// recordChange sets a key, or deletes it if the value is nil, at the current revision and wakes the watches.
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

// list returns one page of the keys with a prefix that sort after the given key.
func (s *KVStore) list(prefix, after string, limit int) payload {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []payload{}
	for _, k := range keys[:min(len(keys), limit, maxListPage)] {
		e := s.keys[k]
		items = append(items, payload{"key": k, "value": e.value, "stamp": e.version})
	}
	return payload{"items": items, "truncated": len(items) < len(keys), "ledger": s.revision}
}

// apply commits a transaction, and returns the status code and body of the response. The transaction is rejected during
// an outage, above the limit of changes, and if a lease is unknown or a condition does not hold.
func (s *KVStore) apply(txn *rawTxn) (int, payload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return http.StatusServiceUnavailable, payload{"error": "trouble"}
	}
	s.revokeExpiredLeases()
	if s.changeLimiter != nil && !s.changeLimiter.AllowN(time.Now(), len(txn.Writes)) {
		return http.StatusTooManyRequests, payload{}
	}
	s.writes += len(txn.Writes)
	for _, write := range txn.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusBadRequest, payload{"error": "no such lease"}
		}
	}
	if failed := s.checkGuards(txn.Guards); len(failed) > 0 {
		return http.StatusConflict, payload{"failed": failed, "ledger": s.revision}
	}
	if len(txn.Writes) > 0 {
		s.revision++
	}
	for _, write := range txn.Writes {
		if write.Put != "" {
			s.recordChange(write.Put, write.Value, write.Lease)
		} else if s.keys[write.Delete] != nil {
			s.recordChange(write.Delete, nil, 0)
		}
	}
	return http.StatusOK, payload{"ledger": s.revision}
}

// checkGuards returns the keys that are not at the version required by a transaction.
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
