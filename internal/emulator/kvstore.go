package emulator

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"fieldhill/internal/platform/host"
	"fieldhill/wire"
)

// KVStore plays the state service.
type KVStore struct {
	mu           sync.Mutex
	rng          *rand.Rand
	revision     uint64
	keys         map[string]*entry
	leases       map[uint64]*leaseGrant
	nextID       uint64
	history      []change
	changed      chan struct{}
	writes       int
	requests     int // requests
	requestBytes int // of their bodies
	peakKeys     int // most keys held at once

	outage       bool
	refusedHosts map[string]bool // hosts that alone get what all get in an outage
	latency      time.Duration   // that an answer takes
	// chances that a transaction is applied, but not answered; that it is neither
	dropResponseChance, dropRequestChance float64
	maxExtraTxnDelay                      time.Duration  // by how much an unanswered transaction may be applied late
	minTxnDelay                           time.Duration  // and by how much at least
	delayedTxns                           map[string]int // what was carried out late, by the kind of its first write
	// chance that a transaction is carried out at once and its answer alone is lost
	dropAfterCommitChance         float64
	droppedResponses              map[string]int // of how many that was so, by the kind of their first write
	requestLimiter, changeLimiter *rate.Limiter  // nil: any number
}

type entry struct {
	value   msgpack.RawMessage
	version uint64
	lease   uint64
}

type leaseGrant struct {
	ttl       time.Duration
	expiresAt time.Time
}

type change struct {
	key     string
	value   msgpack.RawMessage // nil: deleted
	version uint64
}

// NewKVStore makes an empty service.
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
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponseChance, s.dropRequestChance, s.minTxnDelay, s.maxExtraTxnDelay = share, 0, 2*time.Second, maxExtraDelay
}

// DropResponses has a share of the transactions carried out at once while their answers are lost: their sender waits
// in vain, or its connection breaks.
func (s *KVStore) DropResponses(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAfterCommitChance = share
}

// DroppedResponses counts the answers that were lost so, by kind as Lates does.
func (s *KVStore) DroppedResponses() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.droppedResponses)
}

// DelayedTxns counts what was carried out late, by kind: the start of the key that it wrote or deleted first.
func (s *KVStore) DelayedTxns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.delayedTxns)
}

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

// Load tells how many changes were asked for, and the most keys held at once.
func (s *KVStore) Load() (writes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.peakKeys
}

// StoreTraffic is what the state service was asked for so far.
type StoreTraffic struct{ Requests, Changes, Bytes, Keys int }

// Traffic tells what was asked for so far, and how many keys there are.
func (s *KVStore) Traffic() StoreTraffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreTraffic{s.requests, s.writes, s.requestBytes, len(s.keys)}
}

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

func (s *KVStore) recordChange(key string, value msgpack.RawMessage, lease uint64) {
	if value == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = &entry{value, s.revision, lease}
	}
	s.peakKeys = max(s.peakKeys, len(s.keys))
	s.history = append(s.history, change{key, value, s.revision})
	if len(s.history) > 10000 {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve runs it until the context ends.
func (s *KVStore) Serve(ctx context.Context, h host.Net, a string) error {
	ln, err := h.Listen(a)
	if err != nil {
		return err
	}
	go func() {
		t := time.NewTicker(50 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.mu.Lock()
				s.expire()
				s.mu.Unlock()
			}
		}
	}()
	serve(ctx, ln, http.HandlerFunc(s.handle))
	return nil
}

// serve answers on a listener until the context ends.
func serve(ctx context.Context, ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	go func() { <-ctx.Done(); srv.Close() }()
}

// remoteHost is the host that a request came from, where the network knows it.
func remoteHost(r *http.Request) string { return r.RemoteAddr }

func respond(w http.ResponseWriter, code int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

type payload = map[string]any

// SetRateLimits bounds requests and changes a second, for all nodes together, with bursts of a second's worth.
func (s *KVStore) SetRateLimits(rps, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimiter, s.changeLimiter = rate.NewLimiter(
		rate.Limit(rps),
		int(rps),
	), rate.NewLimiter(
		rate.Limit(changes),
		int(changes),
	)
}

func (s *KVStore) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.requests++
	s.requestBytes += len(body)
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	s.mu.Lock()
	if s.requestLimiter != nil && !s.requestLimiter.Allow() {
		s.mu.Unlock()
		respond(w, 429, payload{})
		return
	}
	if (s.outage || s.refusedHosts[remoteHost(r)]) && r.URL.Path != wire.PathWatch {
		s.mu.Unlock()
		respond(w, 503, payload{"error": "trouble"})
		return
	}
	s.mu.Unlock()
	q := r.URL.Query()
	switch {
	case r.URL.Path == wire.PathKeys:
		limit, _ := strconv.Atoi(q.Get("most"))
		respond(w, 200, s.list(q.Get("starts"), q.Get("after"), limit))
	case strings.HasPrefix(r.URL.Path, wire.PathKeys+"/"):
		s.mu.Lock()
		e := s.keys[strings.TrimPrefix(r.URL.Path, wire.PathKeys+"/")]
		revision := s.revision
		s.mu.Unlock()
		if e == nil {
			respond(w, 404, payload{"ledger": revision})
			return
		}
		respond(w, 200, payload{"key": "k", "value": e.value, "stamp": e.version, "permit": e.lease})
	case r.URL.Path == wire.PathTxn:
		s.txn(w, body, r.Context().Done())
	case r.URL.Path == wire.PathWatch:
		s.watch(w, r)
	default:
		s.lease(w, r, body)
	}
}

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
	for _, k := range names[:min(len(names), min(limit, 50))] { // small pages, to have them tested
		items = append(items, payload{"key": k, "value": s.keys[k].value, "stamp": s.keys[k].version})
	}
	return payload{"items": items, "truncated": len(items) < len(names), "ledger": s.revision}
}

type rawTxn struct {
	Guards []wire.Condition `msgpack:"guards"`
	Writes []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"value"`
		Lease  uint64             `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"writes"`
}

func (s *KVStore) txn(w http.ResponseWriter, body []byte, clientGone <-chan struct{}) {
	var t rawTxn
	if err := wire.Unmarshal(body, &t); err != nil {
		respond(w, 400, payload{"error": err.Error()})
		return
	}
	s.mu.Lock()
	dropResponse, dropRequest, delay := s.rng.Float64() < s.dropResponseChance, s.rng.Float64() < s.dropRequestChance, s.minTxnDelay+time.Duration(
		s.rng.Float64()*float64(s.maxExtraTxnDelay),
	)
	s.mu.Unlock()
	if dropRequest {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	dropAfterCommit, disconnect := s.rng.Float64() < s.dropAfterCommitChance, s.rng.IntN(2) == 0
	s.mu.Unlock()
	if dropAfterCommit {
		if code, _ := s.apply(&t); code == 200 && len(t.Writes) > 0 {
			s.mu.Lock()
			if s.droppedResponses == nil {
				s.droppedResponses = map[string]int{}
			}
			s.droppedResponses[txnKind(t.Writes[0].Put, t.Writes[0].Delete)]++
			s.mu.Unlock()
		}
		if !disconnect {
			select {
			case <-clientGone:
			case <-time.After(5 * time.Second):
			}
		}
		panic(http.ErrAbortHandler)
	}
	if dropResponse {
		go func() {
			time.Sleep(delay)
			s.apply(&t)
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(t.Writes) > 0 {
				if s.delayedTxns == nil {
					s.delayedTxns = map[string]int{}
				}
				s.delayedTxns[txnKind(t.Writes[0].Put, t.Writes[0].Delete)]++
			}
		}()
		panic(http.ErrAbortHandler)
	}
	code, v := s.apply(&t)
	respond(w, code, v)
}

func (s *KVStore) apply(t *rawTxn) (int, payload) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 503, payload{"error": "trouble"}
	}
	s.expire()
	if s.changeLimiter != nil && !s.changeLimiter.AllowN(time.Now(), len(t.Writes)) {
		return 429, payload{}
	}
	s.writes += len(t.Writes)
	for _, p := range t.Writes {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 400, payload{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		var version uint64
		if e := s.keys[g.Key]; e != nil {
			version = e.version
		}
		if version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 409, payload{"failed": failed, "ledger": s.revision}
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
	return 200, payload{"ledger": s.revision}
}

func (s *KVStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	holdMillis, _ := strconv.Atoi(q.Get("hold_ms"))
	deadline := time.NewTimer(time.Duration(holdMillis) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if len(s.history) > 0 && s.history[0].version > after+1 {
			s.mu.Unlock()
			respond(w, 410, payload{})
			return
		}
		updates := []payload{}
		for _, c := range s.history {
			if c.version <= after || !strings.HasPrefix(c.key, q.Get("starts")) {
				continue
			}
			if c.value == nil {
				updates = append(updates, payload{"delete": c.key, "stamp": c.version})
			} else {
				updates = append(updates, payload{"put": c.key, "value": c.value, "stamp": c.version})
			}
		}
		revision, changed, outage := s.revision, s.changed, s.outage || s.refusedHosts[remoteHost(r)]
		s.mu.Unlock()
		if len(updates) > 0 && !outage {
			respond(w, 200, payload{"ledger": revision, "news": updates})
			return
		}
		if outage {
			changed = nil // it is looked again a moment later
			deadline.Reset(100 * time.Millisecond)
		}
		select {
		case <-changed:
		case <-deadline.C:
			if outage {
				continue
			}
			respond(w, 200, payload{"ledger": revision, "news": updates})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *KVStore) lease(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rest := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, wire.PathLeases), "/")
	if rest == "" {
		var a wire.LeaseRequest
		if wire.Unmarshal(body, &a) != nil || a.TTLMillis < 100 {
			respond(w, 400, payload{})
			return
		}
		s.nextID++
		ttl := time.Duration(a.TTLMillis) * time.Millisecond
		s.leases[s.nextID] = &leaseGrant{ttl, time.Now().Add(ttl)}
		respond(w, 200, payload{"permit": s.nextID})
		return
	}
	idText, _, _ := strings.Cut(rest, "/")
	id, _ := strconv.ParseUint(idText, 10, 64)
	g := s.leases[id]
	if g == nil {
		respond(w, 404, payload{})
		return
	}
	if r.Method == "DELETE" {
		s.revokeLease(id)
	} else {
		g.expiresAt = time.Now().Add(g.ttl)
	}
	respond(w, 200, payload{})
}
