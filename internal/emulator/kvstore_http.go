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
	// droppedResponseHold is how long a request whose response is dropped stays open unless its client gives up first.
	droppedResponseHold = 5 * time.Second
	// outagePollInterval is how often an open watch checks whether an outage has ended.
	outagePollInterval = 100 * time.Millisecond
	minLeaseTTLMillis  = 100
)

// payload is a message body for which package wire has no suitable struct.
type payload = map[string]any

// Serve starts a server of the store's API on an address and returns. The server stops when the context ends.
func (s *KVStore) Serve(ctx context.Context, h host.Net, addr string) error {
	ln, err := h.Listen(addr)
	if err != nil {
		return err
	}
	go s.leaseExpiryLoop(ctx)
	serve(ctx, ln, http.HandlerFunc(s.handle))
	return nil
}

func (s *KVStore) leaseExpiryLoop(ctx context.Context) {
	t := time.NewTicker(leaseExpiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.mu.Lock()
			s.revokeExpiredLeases()
			s.mu.Unlock()
		}
	}
}

// serve starts an HTTP server on a listener and returns; the server is closed when the context ends.
func serve(ctx context.Context, ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	go func() {
		<-ctx.Done()
		_ = srv.Close()
	}()
}

// remoteHost returns the client of a request: its host name on the in-memory network, its address and port on others.
func remoteHost(r *http.Request) string { return r.RemoteAddr }

// respond writes a message as the response. Write errors are ignored, since the client may have disconnected.
func respond(w http.ResponseWriter, code int, message any) {
	b, err := wire.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// handle processes a request to the store, after the latency set by SetLatency. It responds with 429 above the request
// limit and, except to watches, with 503 if the request is refused.
func (s *KVStore) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a truncated body fails to decode
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

// isRefused reports whether the store has an outage or refuses the requests of the host that sent the given request.
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

// rawTxn is a transaction whose values are not decoded.
type rawTxn struct {
	Guards []wire.Condition `msgpack:"guards"`
	Writes []struct {
		Put    string             `msgpack:"put"`
		Value  msgpack.RawMessage `msgpack:"value"`
		Lease  uint64             `msgpack:"permit"`
		Delete string             `msgpack:"delete"`
	} `msgpack:"writes"`
}

// kind returns the kind of the transaction (see txnKind). The transaction must have at least one write.
func (t *rawTxn) kind() string { return txnKind(t.Writes[0].Put, t.Writes[0].Delete) }

// handleTxn applies a transaction and responds with the result, unless one of the faults in txnFaults is selected at
// random.
func (s *KVStore) handleTxn(w http.ResponseWriter, body []byte, clientGone <-chan struct{}) {
	var txn rawTxn
	if err := wire.Unmarshal(body, &txn); err != nil {
		respond(w, http.StatusBadRequest, payload{"error": err.Error()})
		return
	}
	s.mu.Lock()
	faults := &s.txnFaults
	dropResponse := s.rng.Float64() < faults.dropResponseChance
	dropRequest := s.rng.Float64() < faults.dropRequestChance
	delay := faults.minDelay + time.Duration(s.rng.Float64()*float64(faults.maxExtraDelay))
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
		s.applyWithoutResponse(&txn)
		if !disconnect {
			select {
			case <-clientGone:
			case <-time.After(droppedResponseHold):
			}
		}
		panic(http.ErrAbortHandler)
	case dropResponse:
		go s.applyDelayed(&txn, delay)
		panic(http.ErrAbortHandler)
	}
	code, response := s.apply(&txn)
	if code == http.StatusOK && len(txn.Writes) > 0 {
		s.copier.maybeCopy(CopiedTransaction, func() { s.apply(&txn) })
	}
	respond(w, code, response)
}

// applyWithoutResponse applies a transaction whose response will be dropped. It counts the transaction in
// droppedResponses if it was committed and has a write.
func (s *KVStore) applyWithoutResponse(txn *rawTxn) {
	if code, _ := s.apply(txn); code != http.StatusOK || len(txn.Writes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.droppedResponses == nil {
		s.droppedResponses = map[string]int{}
	}
	s.droppedResponses[txn.kind()]++
}

// applyDelayed applies a transaction after a delay, during which its client may time out. It counts the transaction in
// delayedTxns if it has a write.
func (s *KVStore) applyDelayed(txn *rawTxn, delay time.Duration) {
	time.Sleep(delay)
	s.apply(txn)
	if len(txn.Writes) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedTxns == nil {
		s.delayedTxns = map[string]int{}
	}
	s.delayedTxns[txn.kind()]++
}

// handleWatch handles a watch, which is a long poll: it responds with the changes after a revision as soon as there are
// any, or with an empty list after hold_ms. If some of the changes have been discarded, it responds with 410. Other
// responses are withheld while the client is refused (see isRefused).
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
			deadline.Reset(outagePollInterval)
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

// changesAfter returns the changes after a revision to keys with a prefix; ok is false if some have been discarded from
// the history.
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
	s.revokeExpiredLeases()
	path := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, wire.PathLeases), "/")
	if path == "" {
		s.grantLease(w, body)
		return
	}
	idText, _, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(idText, 10, 64)
	if s.leases[id] == nil {
		respond(w, http.StatusNotFound, payload{})
		return
	}
	kind, apply := CopiedLeaseRenewal, s.renewLease
	if r.Method == http.MethodDelete {
		kind, apply = CopiedLeaseRevoke, s.revokeLease
	}
	apply(id)
	s.copier.maybeCopy(kind, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revokeExpiredLeases()
		apply(id)
	})
	respond(w, http.StatusOK, payload{})
}

// renewLease extends a lease by its TTL, if it exists.
func (s *KVStore) renewLease(id uint64) {
	if lease := s.leases[id]; lease != nil {
		lease.expiresAt = time.Now().Add(lease.ttl)
	}
}

func (s *KVStore) grantLease(w http.ResponseWriter, body []byte) {
	var request wire.LeaseRequest
	if wire.Unmarshal(body, &request) != nil || request.TTLMillis < minLeaseTTLMillis {
		respond(w, http.StatusBadRequest, payload{})
		return
	}
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	s.addLease(ttl)
	s.copier.maybeCopy(CopiedLeaseGrant, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addLease(ttl)
	})
	respond(w, http.StatusOK, payload{"permit": s.lastLeaseID})
}

// addLease grants a lease under a new ID.
func (s *KVStore) addLease(ttl time.Duration) {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &leaseState{ttl, time.Now().Add(ttl)}
}
