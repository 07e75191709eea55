package emulator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/internal/platform/host"
	"fieldhill/wire"
)

const (
	// lostResponseHold is for how long the sender of a transaction may wait whose answer is lost.
	lostResponseHold = 5 * time.Second
	// outageWatchPause is how often an open watch looks whether the outage is over.
	outageWatchPause = 100 * time.Millisecond
	// minLeaseMillis is the shortest time to live that a lease may have.
	minLeaseMillis = 100
)

// payload is a message with its keys spelled out, where package wire has no struct that the emulator could send.
type payload = map[string]any

// Serve answers on an address until the context ends.
func (s *KVStore) Serve(ctx context.Context, h host.Net, addr string) error {
	ln, err := h.Listen(addr)
	if err != nil {
		return err
	}
	go s.expireLoop(ctx)
	serve(ctx, ln, http.HandlerFunc(s.handle))
	return nil
}

func (s *KVStore) expireLoop(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
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
}

// serve answers on a listener until the context ends.
func serve(ctx context.Context, ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
}

// remoteHost is the host that a request came from, where the network knows it.
func remoteHost(r *http.Request) string { return r.RemoteAddr }

// respond answers with a message; a client that is gone does not get it.
func respond(w http.ResponseWriter, code int, message any) {
	b, err := wire.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// handle answers any request to the store, after its latency and if there is no outage.
func (s *KVStore) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a body cut short is malformed
	s.mu.Lock()
	s.requests++
	s.requestBytes += len(body)
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	s.mu.Lock()
	if s.requestLimiter != nil && !s.requestLimiter.Allow() {
		s.mu.Unlock()
		respond(w, http.StatusTooManyRequests, payload{})
		return
	}
	refused := s.isRefused(r) && r.URL.Path != wire.PathWatch
	s.mu.Unlock()
	if refused {
		respond(w, http.StatusServiceUnavailable, payload{"error": "trouble"})
		return
	}
	query := r.URL.Query()
	switch {
	case r.URL.Path == wire.PathKeys:
		limit, _ := strconv.Atoi(query.Get("most"))
		respond(w, http.StatusOK, s.list(query.Get("starts"), query.Get("after"), limit))
	case strings.HasPrefix(r.URL.Path, wire.PathKeys+"/"):
		s.handleGet(w, strings.TrimPrefix(r.URL.Path, wire.PathKeys+"/"))
	case r.URL.Path == wire.PathTxn:
		s.handleTxn(w, body, r.Context().Done())
	case r.URL.Path == wire.PathWatch:
		s.handleWatch(w, r)
	default:
		s.handleLease(w, r, body)
	}
}

// isRefused reports whether there is an outage, for all or for the host that a request came from.
func (s *KVStore) isRefused(r *http.Request) bool { return s.outage || s.refusedHosts[remoteHost(r)] }

func (s *KVStore) handleGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	e, revision := s.keys[key], s.revision
	s.mu.Unlock()
	if e == nil {
		respond(w, http.StatusNotFound, payload{"ledger": revision})
		return
	}
	respond(w, http.StatusOK, payload{"key": "k", "value": e.value, "stamp": e.version, "permit": e.lease})
}

// rawTxn is a transaction with values of any form.
type rawTxn struct {
	Guards []wire.Condition `msgpack:"guards"`
	Writes []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"value"`
		Lease  uint64             `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"writes"`
}

// kind is the kind of its first write, which it must have.
func (t *rawTxn) kind() string { return txnKind(t.Writes[0].Put, t.Writes[0].Delete) }

// handleTxn carries a transaction out, or lets a fault happen to it.
func (s *KVStore) handleTxn(w http.ResponseWriter, body []byte, clientGone <-chan struct{}) {
	var t rawTxn
	if err := wire.Unmarshal(body, &t); err != nil {
		respond(w, http.StatusBadRequest, payload{"error": err.Error()})
		return
	}
	s.mu.Lock()
	faults := &s.txnFaults
	dropResponse := s.rng.Float64() < faults.dropResponseChance
	dropRequest := s.rng.Float64() < faults.dropRequestChance
	delay := faults.minDelay + time.Duration(s.rng.Float64()*float64(faults.maxExtra))
	s.mu.Unlock()
	if dropRequest {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	dropAfterCommit := s.rng.Float64() < faults.dropAfterCommitChance
	disconnect := s.rng.IntN(2) == 0
	s.mu.Unlock()
	switch {
	case dropAfterCommit:
		s.applyUnanswered(&t)
		if !disconnect {
			select {
			case <-clientGone:
			case <-time.After(lostResponseHold):
			}
		}
		panic(http.ErrAbortHandler)
	case dropResponse:
		go s.applyLate(&t, delay)
		panic(http.ErrAbortHandler)
	}
	code, response := s.apply(&t)
	respond(w, code, response)
}

// applyUnanswered carries out a transaction whose answer will be lost.
func (s *KVStore) applyUnanswered(t *rawTxn) {
	if code, _ := s.apply(t); code != http.StatusOK || len(t.Writes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.droppedResponses == nil {
		s.droppedResponses = map[string]int{}
	}
	s.droppedResponses[t.kind()]++
}

// applyLate carries out a transaction after its sender's timeout.
func (s *KVStore) applyLate(t *rawTxn, delay time.Duration) {
	time.Sleep(delay)
	s.apply(t)
	if len(t.Writes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedTxns == nil {
		s.delayedTxns = map[string]int{}
	}
	s.delayedTxns[t.kind()]++
}

// handleWatch answers with the changes after a revision as soon as there are some, and without any at the end of the
// hold. In an outage an open watch waits.
func (s *KVStore) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	holdMillis, _ := strconv.Atoi(query.Get("hold_ms"))
	deadline := time.NewTimer(time.Duration(holdMillis) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		updates, ok := s.changesAfter(after, query.Get("starts"))
		revision, changed, outage := s.revision, s.changed, s.isRefused(r)
		s.mu.Unlock()
		if !ok {
			respond(w, http.StatusGone, payload{})
			return
		}
		if len(updates) > 0 && !outage {
			respond(w, http.StatusOK, payload{"ledger": revision, "news": updates})
			return
		}
		if outage {
			changed = nil
			deadline.Reset(outageWatchPause)
		}
		select {
		case <-changed:
		case <-deadline.C:
			if outage {
				continue
			}
			respond(w, http.StatusOK, payload{"ledger": revision, "news": updates})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter lists the changes after a revision of the keys with a prefix; not ok if some are forgotten.
func (s *KVStore) changesAfter(revision uint64, prefix string) (updates []payload, ok bool) {
	if len(s.history) > 0 && s.history[0].version > revision+1 {
		return nil, false
	}
	updates = []payload{}
	for _, c := range s.history {
		switch {
		case c.version <= revision || !strings.HasPrefix(c.key, prefix):
		case c.value == nil:
			updates = append(updates, payload{"delete": c.key, "stamp": c.version})
		default:
			updates = append(updates, payload{"put": c.key, "value": c.value, "stamp": c.version})
		}
	}
	return updates, true
}

// handleLease grants, renews or revokes a lease.
func (s *KVStore) handleLease(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	path := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, wire.PathLeases), "/")
	if path == "" {
		s.grantLease(w, body)
		return
	}
	idText, _, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(idText, 10, 64)
	lease := s.leases[id]
	if lease == nil {
		respond(w, http.StatusNotFound, payload{})
		return
	}
	if r.Method == http.MethodDelete {
		s.revokeLease(id)
	} else {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
	respond(w, http.StatusOK, payload{})
}

func (s *KVStore) grantLease(w http.ResponseWriter, body []byte) {
	var request wire.LeaseRequest
	if wire.Unmarshal(body, &request) != nil || request.TTLMillis < minLeaseMillis {
		respond(w, http.StatusBadRequest, payload{})
		return
	}
	s.nextID++
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.leases[s.nextID] = &leaseGrant{ttl, time.Now().Add(ttl)}
	respond(w, http.StatusOK, payload{"permit": s.nextID})
}
