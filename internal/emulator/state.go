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

// State plays the state service.
type State struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rev     uint64
	keys    map[string]*entry
	leases  map[uint64]*grant
	nextID  uint64
	history []change
	changed chan struct{}
	writes  int
	asked   int // requests
	bytes   int // of their bodies
	most    int // most keys held at once

	outage                  bool
	refused                 map[string]bool // hosts that alone get what all get in an outage
	took                    time.Duration   // that an answer takes
	loseAnswer, loseRequest float64         // chances that a transaction is applied, but not answered; that it is neither
	lateBy                  time.Duration   // by how much an unanswered transaction may be applied late
	lateFrom                time.Duration   // and by how much at least
	late                    map[string]int  // what was carried out late, by the kind of its first write
	atOnce                  float64         // chance that a transaction is carried out at once and its answer alone is lost
	silent                  map[string]int  // of how many that was so, by the kind of their first write
	rps, changes            *rate.Limiter   // nil: any number
}

type entry struct {
	value msgpack.RawMessage
	ver   uint64
	lease uint64
}

type grant struct {
	ttl   time.Duration
	until time.Time
}

type change struct {
	key   string
	value msgpack.RawMessage // nil: deleted
	ver   uint64
}

// NewState makes an empty service.
func NewState(seed uint64) *State {
	return &State{rng: rand.New(rand.NewPCG(seed, 1)), keys: map[string]*entry{}, leases: map[uint64]*grant{}, changed: make(chan struct{}), took: 3 * time.Millisecond}
}

// SetOutage begins or ends an outage; at its end all leases have their full time.
func (s *State) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.outage = on
	for _, g := range s.leases {
		g.until = time.Now().Add(g.ttl)
	}
}

// Late has a share of the transactions get no answer, and carries each of them out later, after newer ones: from two seconds on, up to so much more.
func (s *State) Late(share float64, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswer, s.loseRequest, s.lateFrom, s.lateBy = share, 0, 2*time.Second, by
}

// LoseAnswers has a share of the transactions carried out at once while their answers are lost: their sender waits in vain, or its connection breaks.
func (s *State) LoseAnswers(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atOnce = share
}

// Lost counts the answers that were lost so, by kind as Lates does.
func (s *State) Lost() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.silent)
}

// Lates counts what was carried out late, by kind: the start of the key that it wrote or deleted first.
func (s *State) Lates() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.late)
}

func kindOf(put, del string) string {
	key, what := put, "put "
	if put == "" {
		key, what = del, "delete "
	}
	parts := strings.Split(key, "/")
	return what + strings.Join(parts[:min(2, len(parts))], "/")
}

// Refuse has a host get 503 while the others are served, or ends that. Its open watches wait meanwhile, and its leases run out.
func (s *State) Refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused == nil {
		s.refused = map[string]bool{}
	}
	s.refused[host] = on
}

// SetSlow sets how long every answer takes.
func (s *State) SetSlow(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took = took
}

// Load tells how many changes were asked for, and the most keys held at once.
func (s *State) Load() (writes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.most
}

// StateTraffic is what the state service was asked for so far.
type StateTraffic struct{ Requests, Changes, Bytes, Keys int }

// Traffic tells what was asked for so far, and how many keys there are.
func (s *State) Traffic() StateTraffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StateTraffic{s.asked, s.writes, s.bytes, len(s.keys)}
}

func (s *State) expire() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, g := range s.leases {
		if now.After(g.until) {
			s.end(id)
		}
	}
}

func (s *State) end(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, e := range s.keys {
		if e.lease == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	if len(gone) > 0 {
		s.rev++
	}
	for _, k := range gone {
		s.change(k, nil, 0)
	}
}

func (s *State) change(key string, value msgpack.RawMessage, lease uint64) {
	if value == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = &entry{value, s.rev, lease}
	}
	s.most = max(s.most, len(s.keys))
	s.history = append(s.history, change{key, value, s.rev})
	if len(s.history) > 10000 {
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve runs it until the context ends.
func (s *State) Serve(ctx context.Context, h host.Net, a string) error {
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

// from is the host that a request came from, where the network knows it.
func from(r *http.Request) string { return r.RemoteAddr }

func answer(w http.ResponseWriter, code int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

type m = map[string]any

// Limit bounds requests and changes a second, for all nodes together, with bursts of a second's worth.
func (s *State) Limit(rps, changes float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rps, s.changes = rate.NewLimiter(rate.Limit(rps), int(rps)), rate.NewLimiter(rate.Limit(changes), int(changes))
}

func (s *State) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.asked++
	s.bytes += len(body)
	took := s.took
	s.mu.Unlock()
	time.Sleep(took)
	s.mu.Lock()
	if s.rps != nil && !s.rps.Allow() {
		s.mu.Unlock()
		answer(w, 429, m{})
		return
	}
	if (s.outage || s.refused[from(r)]) && r.URL.Path != wire.PathFollow {
		s.mu.Unlock()
		answer(w, 503, m{"error": "trouble"})
		return
	}
	s.mu.Unlock()
	q := r.URL.Query()
	switch {
	case r.URL.Path == wire.PathKeys:
		limit, _ := strconv.Atoi(q.Get("most"))
		answer(w, 200, s.list(q.Get("starts"), q.Get("after"), limit))
	case strings.HasPrefix(r.URL.Path, wire.PathKeys+"/"):
		s.mu.Lock()
		e := s.keys[strings.TrimPrefix(r.URL.Path, wire.PathKeys+"/")]
		rev := s.rev
		s.mu.Unlock()
		if e == nil {
			answer(w, 404, m{"ledger": rev})
			return
		}
		answer(w, 200, m{"key": "k", "value": e.value, "stamp": e.ver, "permit": e.lease})
	case r.URL.Path == wire.PathTxn:
		s.txn(w, body, r.Context().Done())
	case r.URL.Path == wire.PathFollow:
		s.follow(w, r)
	default:
		s.lease(w, r, body)
	}
}

func (s *State) list(prefix, after string, limit int) m {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items := []m{}
	for _, k := range names[:min(len(names), min(limit, 50))] { // small pages, to have them tested
		items = append(items, m{"key": k, "value": s.keys[k].value, "stamp": s.keys[k].ver})
	}
	return m{"items": items, "truncated": len(items) < len(names), "ledger": s.rev}
}

type rawTxn struct {
	If   []wire.Guard `msgpack:"guards"`
	Then []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"value"`
		Lease  uint64             `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"writes"`
}

func (s *State) txn(w http.ResponseWriter, body []byte, gone <-chan struct{}) {
	var t rawTxn
	if err := wire.Unmarshal(body, &t); err != nil {
		answer(w, 400, m{"error": err.Error()})
		return
	}
	s.mu.Lock()
	loseA, loseR, late := s.rng.Float64() < s.loseAnswer, s.rng.Float64() < s.loseRequest, s.lateFrom+time.Duration(s.rng.Float64()*float64(s.lateBy))
	s.mu.Unlock()
	if loseR {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	silent, breaks := s.rng.Float64() < s.atOnce, s.rng.IntN(2) == 0
	s.mu.Unlock()
	if silent {
		if code, _ := s.apply(&t); code == 200 && len(t.Then) > 0 {
			s.mu.Lock()
			if s.silent == nil {
				s.silent = map[string]int{}
			}
			s.silent[kindOf(t.Then[0].Put, t.Then[0].Delete)]++
			s.mu.Unlock()
		}
		if !breaks {
			select {
			case <-gone:
			case <-time.After(5 * time.Second):
			}
		}
		panic(http.ErrAbortHandler)
	}
	if loseA {
		go func() {
			time.Sleep(late)
			s.apply(&t)
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(t.Then) > 0 {
				if s.late == nil {
					s.late = map[string]int{}
				}
				s.late[kindOf(t.Then[0].Put, t.Then[0].Delete)]++
			}
		}()
		panic(http.ErrAbortHandler)
	}
	code, v := s.apply(&t)
	answer(w, code, v)
}

func (s *State) apply(t *rawTxn) (int, m) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return 503, m{"error": "trouble"}
	}
	s.expire()
	if s.changes != nil && !s.changes.AllowN(time.Now(), len(t.Then)) {
		return 429, m{}
	}
	s.writes += len(t.Then)
	for _, p := range t.Then {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 400, m{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, g := range t.If {
		var ver uint64
		if e := s.keys[g.Key]; e != nil {
			ver = e.ver
		}
		if ver != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return 409, m{"failed": failed, "ledger": s.rev}
	}
	if len(t.Then) > 0 {
		s.rev++
	}
	for _, p := range t.Then {
		if p.Put != "" {
			s.change(p.Put, p.Value, p.Lease)
		} else if s.keys[p.Delete] != nil {
			s.change(p.Delete, nil, 0)
		}
	}
	return 200, m{"ledger": s.rev}
}

func (s *State) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("hold_ms"))
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		if len(s.history) > 0 && s.history[0].ver > after+1 {
			s.mu.Unlock()
			answer(w, 410, m{})
			return
		}
		news := []m{}
		for _, c := range s.history {
			if c.ver <= after || !strings.HasPrefix(c.key, q.Get("starts")) {
				continue
			}
			if c.value == nil {
				news = append(news, m{"delete": c.key, "stamp": c.ver})
			} else {
				news = append(news, m{"put": c.key, "value": c.value, "stamp": c.ver})
			}
		}
		rev, changed, outage := s.rev, s.changed, s.outage || s.refused[from(r)]
		s.mu.Unlock()
		if len(news) > 0 && !outage {
			answer(w, 200, m{"ledger": rev, "news": news})
			return
		}
		if outage {
			changed = nil // it is looked again a moment later
			end.Reset(100 * time.Millisecond)
		}
		select {
		case <-changed:
		case <-end.C:
			if outage {
				continue
			}
			answer(w, 200, m{"ledger": rev, "news": news})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *State) lease(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rest := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, wire.PathLeases), "/")
	if rest == "" {
		var a wire.LeaseAsk
		if wire.Unmarshal(body, &a) != nil || a.TTLMillis < 100 {
			answer(w, 400, m{})
			return
		}
		s.nextID++
		ttl := time.Duration(a.TTLMillis) * time.Millisecond
		s.leases[s.nextID] = &grant{ttl, time.Now().Add(ttl)}
		answer(w, 200, m{"permit": s.nextID})
		return
	}
	idText, _, _ := strings.Cut(rest, "/")
	id, _ := strconv.ParseUint(idText, 10, 64)
	g := s.leases[id]
	if g == nil {
		answer(w, 404, m{})
		return
	}
	if r.Method == "DELETE" {
		s.end(id)
	} else {
		g.until = time.Now().Add(g.ttl)
	}
	answer(w, 200, m{})
}
