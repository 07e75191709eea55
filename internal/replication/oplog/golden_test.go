package oplog_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/internal/emulator"
	"fieldhill/internal/golden"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/wire"
)

// reply is a response of the fake key-value store: an HTTP status, where 0 stands for 200, and a body.
type reply struct {
	status int
	body   []byte
}

// fakeStore is a fake key-value store that records the requests and answers each with the next of replies.
type fakeStore struct {
	t       *testing.T
	log     bytes.Buffer // recorded requests
	replies []reply
}

func (f *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&f.log, "%s %s %s\n", r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"))
	if len(body) > 0 {
		var message any
		if err := msgpack.Unmarshal(body, &message); err != nil {
			f.t.Error(err)
		}
		text, _ := json.Marshal(message)
		fmt.Fprintf(&f.log, "  %x\n  %s\n", body, text)
	}
	if len(f.replies) == 0 {
		f.t.Errorf("unexpected request %s %s: no replies left", r.Method, r.URL)
		return
	}
	next := f.replies[0]
	f.replies = f.replies[1:]
	w.WriteHeader(cmp.Or(next.status, http.StatusOK))
	_, _ = w.Write(next.body)
}

// run calls use, passing a log and a client that are connected to the fake store.
func (f *fakeStore) run(use func(ctx context.Context, l *oplog.Log, svc *kvstore.Client)) {
	synctest.Test(f.t, func(t *testing.T) {
		network := emulator.NewNetwork()
		ln, err := network.Host("state").Listen(stateAddr)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: f}
		go func() { _ = server.Serve(ln) }()
		svc := kvstore.New(network.Host("node"), stateAddr, 1000)
		use(t.Context(), oplog.New(svc, 400, 0, 12, discardLogger), svc)
		svc.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}

func encodeValue(v wire.LogValue) msgpack.RawMessage {
	b, _ := wire.Marshal(&v)
	return b
}

func encodeData(b string) string { return base64.StdEncoding.EncodeToString([]byte(b)) }

// answers returns the responses that are recorded in golden files, by the names of the files. Together they hold every
// kind of value that this program stores.
func answers() map[string]any {
	all := map[string]any{}
	for _, group := range []map[string]any{
		logAnswers(), compactionAnswers(), txnAnswers(), intakeAnswers(), partitionAnswers(), roleAnswers(),
	} {
		maps.Copy(all, group)
	}
	return all
}

func storedLeader() msgpack.RawMessage {
	return encodeValue(wire.LogValue{Version: 1, Term: 9, Node: "node-1", Lease: 1 << 40})
}

func storedBatch(term uint64, data string) msgpack.RawMessage {
	return encodeValue(wire.LogValue{Version: 1, Term: term, Data: encodeData(data)})
}

func storedParticipant() msgpack.RawMessage {
	return encodeValue(wire.LogValue{Version: 1, Node: "node-3"})
}

func logAnswers() map[string]any {
	leader, batch := storedLeader(), storedBatch
	return map[string]any{
		"load-1": &wire.Items{More: true, Revision: 500, Items: []wire.Item{
			{Key: "f/leader", Version: 499, Lease: 1 << 40, Value: leader},
			{Key: "f/log/000000000000041", Version: 10, Value: batch(8, "covered")},
			{Key: "f/log/000000000000042", Version: 11, Value: batch(8, "first")},
		}},
		"load-2": &wire.Items{Revision: 501, Items: []wire.Item{
			{Key: "f/log/000000000000043", Version: 12, Value: batch(9, "second")},
			{Key: "f/meta", Version: 13, Value: encodeValue(wire.LogValue{Version: 1, Term: 8, Seq: 41, Count: 2})},
			{Key: "f/snap/000000000000041/0000", Version: 14, Value: batch(8, "snap")},
			{Key: "f/snap/000000000000041/0001", Version: 15, Value: batch(8, "shot")},
			{Key: "f/term", Version: 499, Value: encodeValue(wire.LogValue{Version: 1, Term: 9})},
		}},
		"since": &wire.Items{Revision: 502, Items: []wire.Item{
			{Key: "f/log/000000000000043", Version: 12, Value: batch(9, "second")}}},
		"follow": &wire.Events{Revision: 510, Events: []wire.Event{
			{Put: "f/log/000000000000044", Version: 503, Value: batch(9, "third")},
			{Delete: "f/log/000000000000042", Version: 504}, {Put: "f/other", Version: 505, Value: storedParticipant()},
			{Put: "f/leader", Version: 510, Value: leader}}},
		"follow-gone": &wire.Events{Revision: 511, Events: []wire.Event{{Delete: "f/leader", Version: 511}}},
	}
}

func compactionAnswers() map[string]any {
	batch := storedBatch
	return map[string]any{
		"meta": &wire.Item{Key: "f/meta", Version: 13, Lease: 1,
			Value: encodeValue(wire.LogValue{Version: 1, Term: 8, Seq: 3, Count: 2})},
		"left-log": &wire.Items{Revision: 1, Items: []wire.Item{
			{Key: "f/log/000000000000002", Version: 2, Value: batch(1, "late")},
			{Key: "f/log/000000000000004", Value: batch(1, "")}}},
		"left-snap": &wire.Items{Revision: 1, Items: []wire.Item{
			{Key: "f/snap/000000000000002/0000", Version: 2, Value: batch(1, "late")},
			{Key: "f/snap/000000000000003/0000", Version: 3, Value: batch(1, "old")}}},
		"left-none": &wire.Items{Items: []wire.Item{}, Revision: 1},
	}
}

func txnAnswers() map[string]any {
	acquiredLeader := encodeValue(wire.LogValue{Version: 1, Term: 10, Node: "node-1", Lease: 1 << 41})
	return map[string]any{
		"term":       &wire.Item{Key: "f/term", Version: 499, Value: encodeValue(wire.LogValue{Version: 1, Term: 9})},
		"leader":     &wire.Item{Key: "f/leader", Version: 600, Lease: 1 << 41, Value: acquiredLeader},
		"txn-there":  &wire.TxnResponse{Failed: []string{"f/log/000000000000044"}, Revision: 601},
		"lease":      &wire.LeaseResponse{Lease: 1 << 41},
		"txn":        &wire.TxnResponse{Revision: 600, Failed: []string{}},
		"txn-failed": &wire.TxnResponse{Failed: []string{"f/log/000000000000044", "f/leader"}, Revision: 601},
	}
}

func intakeAnswers() map[string]any {
	first := encodeValue(wire.LogValue{Version: 1, Data: encodeData("accept 300")})
	last := encodeValue(wire.LogValue{Version: 1, Data: encodeData("accept last")})
	return map[string]any{
		"intake": &wire.Item{Key: "f/in/000000000000300", Version: 9, Value: first},
		"intakes": &wire.Items{Revision: 520, More: true, Items: []wire.Item{
			{Key: "f/in/000000000000300", Version: 9, Value: first}}},
		"intakes-2": &wire.Items{Revision: 521, Items: []wire.Item{
			{Key: "f/in/999999999999999", Version: 10, Value: last}}},
		"intake-follow": &wire.Events{Revision: 522, Events: []wire.Event{
			{Put: "f/in/000000000000300", Version: 522, Value: first}}},
	}
}

func partitionAnswers() map[string]any {
	partitioned := encodeValue(wire.LogValue{Version: 1, Node: "node-3", Seq: 40, Data: encodeData("ids")})
	return map[string]any{
		"apart": &wire.Items{Revision: 1, Items: []wire.Item{{Key: "f/apart/node-3", Version: 30, Value: partitioned}}},
	}
}

func roleAnswers() map[string]any {
	held := encodeValue(wire.LogValue{Version: 1, Node: "node-2", Lease: 12})
	stalled := encodeValue(wire.LogValue{Version: 1, Count: 3})
	return map[string]any{
		"duties": &wire.Items{Revision: 530, Items: []wire.Item{
			{Key: "f/duty/held/rent", Version: 31, Lease: 12, Value: held},
			{Key: "f/duty/stuck/rent", Version: 32, Value: stalled},
			{Key: "f/duty/part/node-3", Version: 33, Value: storedParticipant()},
		}},
		"duties-follow": &wire.Events{Revision: 531, Events: []wire.Event{{Delete: "f/duty/held/rent", Version: 531}}},
	}
}

func readAnswer(t *testing.T, name string) []byte { return golden.Read(t, "answer-"+name+".hex") }

// operation is one access to the key-value store, the recorded responses that it receives, and the expected result.
type operation struct {
	name    string
	answers string // names of recorded responses, each NAME, STATUS or STATUS:NAME
	run     func(ctx context.Context, l *oplog.Log, svc *kvstore.Client) (any, error)
	want    any
	wantErr error // compared with errors.Is
}

// execute runs the operation against a fake store. It returns the recorded requests as text and the operation's result.
// body returns the body of the response with the given name.
func (op *operation) execute(t *testing.T, body func(name string) []byte) (requests string, got any, err error) {
	t.Helper()
	f := &fakeStore{t: t}
	for _, a := range strings.Fields(op.answers) {
		var r reply
		if n, _ := fmt.Sscanf(a, "%d", &r.status); n == 1 {
			_, a, _ = strings.Cut(a, ":")
		}
		if a != "" {
			r.body = body(a)
		}
		f.replies = append(f.replies, r)
	}
	f.run(func(ctx context.Context, l *oplog.Log, svc *kvstore.Client) { got, err = op.run(ctx, l, svc) })
	if len(f.replies) > 0 {
		t.Errorf("%s: %d replies are left, want 0: the operation sent too few requests", op.name, len(f.replies))
	}
	return f.log.String(), got, err
}

// loaded is the log that the recorded responses load-1 and load-2 hold.
var loaded = &oplog.LogState{SnapshotSeq: 41, Snapshot: []byte("snapshot"), Revision: 500,
	Leader: &oplog.Leader{Node: "node-1", Term: 9, Lease: 1 << 40, Version: 499},
	Batches: []oplog.Batch{{Seq: 42, Term: 8, Data: []byte("first"), Version: 11},
		{Seq: 43, Term: 9, Data: []byte("second"), Version: 12}},
	End: oplog.End{Seq: 43, Version: 12}}

func load(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) { return l.Load(ctx) }

// operations returns all operations that the program performs on the key-value store, in the order of the golden file.
func operations() []operation {
	return slices.Concat(logOperations(), compactionOperations(), intakeOperations(), partitionOperations(),
		roleOperations(), electionOperations())
}

func goldenLeader() *oplog.Leader {
	return &oplog.Leader{Node: "node-1", Term: 9, Lease: 1 << 40, Version: 499}
}

func logOperations() []operation {
	batch := oplog.Batch{Seq: 44, Term: 9, Data: []byte{0, 1, 0xff, 'x'}}
	appendBatch := func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
		recorded, err := l.Append(ctx, goldenLeader(), batch)
		if len(recorded) > 0 {
			return recorded, err
		}
		return nil, err
	}
	follow := func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
		return l.Follow(ctx, 500, 5*time.Second)
	}
	return []operation{
		{"load", "load-1 load-2", load, loaded, nil},
		{"since", "since", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			return l.BatchesAfter(ctx, 42)
		}, []oplog.Batch{{Seq: 43, Term: 9, Data: []byte("second"), Version: 12}}, nil},
		{"follow", "follow", follow, &oplog.Update{Revision: 510, LeaderChanged: true,
			Leader:  &oplog.Leader{Node: "node-1", Term: 9, Lease: 1 << 40, Version: 510},
			Batches: []oplog.Batch{{Seq: 44, Term: 9, Data: []byte("third"), Version: 503}}}, nil},
		{"follow, leader gone", "follow-gone", follow, &oplog.Update{Revision: 511, LeaderChanged: true}, nil},
		{"append", "txn", appendBatch, nil, nil},
		{"append, deposed", "409:txn-failed", appendBatch, nil, oplog.ErrDeposed},
		{"append, there already", "409:txn-there", appendBatch, nil, nil},
	}
}

func compactionOperations() []operation {
	return []operation{
		{"compact", "meta txn txn txn left-log left-snap txn",
			func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
				return nil, l.NewCompactor(goldenLeader().Fence()).Compact(ctx, 5, bytes.Repeat([]byte("snap."), 60))
			}, nil, nil},
		{"compact without a snapshot, beside the leader", "404 txn txn left-none left-none txn",
			func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
				fence := oplog.Fence{Key: oplog.RoleKey("clean"), Version: 31, Term: 31}
				return nil, l.NewCompactor(fence).Compact(ctx, 3, []byte("snap"))
			}, nil, nil},
	}
}

func intakeOperations() []operation {
	putIntake := func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
		return l.PutIntake(ctx, oplog.Intake{Job: 300, Data: []byte("accept 300")})
	}
	getIntake := func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
		return l.GetIntake(ctx, 300)
	}
	return []operation{
		{"put intake", "txn", putIntake, oplog.IntakeWrite{Created: true, Revision: 600}, nil},
		{"put intake, there already", "409:txn-failed", putIntake, oplog.IntakeWrite{Revision: 601}, nil},
		{"get intake", "intake", getIntake,
			&oplog.Intake{Job: 300, Data: []byte("accept 300"), Version: 9}, nil},
		{"get intake, none", "404", getIntake, (*oplog.Intake)(nil), nil},
		{"list intake", "intakes intakes-2", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			list, revision, err := l.ListIntake(ctx)
			return []any{list, revision}, err
		}, []any{[]oplog.Intake{{Job: 300, Data: []byte("accept 300")},
			{Job: 999_999_999_999_999, Data: []byte("accept last")}}, uint64(520)}, nil},
		{"watch intake", "intake-follow", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			revision, arrived, err := l.WatchIntake(ctx, 520, time.Second)
			return []any{revision, arrived}, err
		}, []any{uint64(522), true}, nil},
		{"drop intake", "txn", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			return nil, l.DeleteIntake(ctx, goldenLeader(), []uint64{300, 7})
		}, nil, nil},
	}
}

func partitionOperations() []operation {
	return []operation{
		{"put apart", "txn", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			return nil, l.PutPartitionedNode(ctx, oplog.PartitionedNode{Node: "node-3", Seq: 40, Data: []byte("ids")})
		}, nil, nil},
		{"apart", "apart", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			return l.PartitionedNodes(ctx)
		}, []oplog.PartitionedNode{{Node: "node-3", Seq: 40, Version: 30, Data: []byte("ids")}}, nil},
	}
}

func roleOperations() []operation {
	participate := func(participates bool) func(context.Context, *oplog.Log, *kvstore.Client) (any, error) {
		return func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			return nil, l.SetParticipation(ctx, "node-3", participates)
		}
	}
	acquireRole := func(ctx context.Context, _ *oplog.Log, svc *kvstore.Client) (any, error) {
		txn := func(lease uint64) *wire.Txn { return oplog.AcquireRoleTxn("rent", "node-2", lease) }
		key := oplog.RoleKey("rent")
		lease, version, err := election.AcquireKey(ctx, svc, 4*time.Second, key, "node-2", txn, discardLogger)
		return []uint64{lease, version}, err
	}
	return []operation{
		{"take a duty", "lease txn", acquireRole, []uint64{1 << 41, 600}, nil},
		{"put stuck", "txn", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			return nil, l.PutStalledHolders(ctx, "rent", 31, 3)
		}, nil, nil},
		{"take part", "txn", participate(true), nil, nil},
		{"take no part", "txn", participate(false), nil, nil},
		{"duties", "duties", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			list, revision, err := l.Roles(ctx)
			return []any{list, revision}, err
		}, []any{[]oplog.RoleUpdate{
			{HeldRole: "rent", Node: "node-2", Term: 31, Lease: 12},
			{StalledRole: "rent", Term: 32, Count: 3},
			{Participant: "node-3", Node: "node-3", Term: 33},
		}, uint64(530)}, nil},
		{"follow duties", "duties-follow", func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
			list, revision, err := l.FollowRoles(ctx, 530, 1500*time.Millisecond)
			return []any{list, revision}, err
		}, []any{[]oplog.RoleUpdate{{HeldRole: "rent", Deleted: true, Term: 531}}, uint64(531)}, nil},
	}
}

func electionOperations() []operation {
	acquire := func(ctx context.Context, _ *oplog.Log, svc *kvstore.Client) (any, error) {
		leadership, err := election.Acquire(ctx, svc, "node-1", discardLogger)
		if err != nil {
			return nil, err
		}
		return leadership.Leader, nil
	}
	renew := func(ctx context.Context, _ *oplog.Log, svc *kvstore.Client) (any, error) {
		renewals := 0
		leadership := &election.Leadership{Leader: *goldenLeader()}
		err := election.RenewUntilLost(ctx, svc, leadership, alwaysInProgress, func(time.Time) { renewals++ })
		return renewals, err
	}
	leaderOfTerm := func(term uint64) oplog.Leader {
		return oplog.Leader{Node: "node-1", Term: term, Lease: 1 << 41, Version: 600}
	}
	return []operation{
		{"acquire", "term lease txn", acquire, leaderOfTerm(10), nil},
		{"acquire the first term", "404 lease txn", acquire, leaderOfTerm(1), nil},
		{"acquire, taken", "term lease 409:txn-failed 200", acquire, nil, election.ErrTaken},
		{"acquire, no answer", "term lease 503 leader", acquire, leaderOfTerm(10), nil},
		{"keep", "200 404", renew, 1, oplog.ErrDeposed},
	}
}

// TestGoldenTransactions checks that every request to the key-value store equals the recorded one, and that every
// recorded response is decoded correctly. Together, the responses hold every kind of stored value.
func TestGoldenTransactions(t *testing.T) {
	for name, answer := range answers() {
		b, err := wire.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, "answer-"+name+".hex", b)
	}
	var all strings.Builder
	for _, op := range operations() {
		requests, got, err := op.execute(t, func(name string) []byte { return readAnswer(t, name) })
		if !errors.Is(err, op.wantErr) {
			t.Errorf("%s: error %v, want %v", op.name, err, op.wantErr)
		}
		if diff := gocmp.Diff(op.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", op.name, diff)
		}
		fmt.Fprintf(&all, "== %s\n%s", op.name, requests)
	}
	golden.Check(t, "requests.txt", []byte(all.String()))
}

// TestGoldenStatus checks that Follow returns an error with status 410 if the revision is no longer available in the
// store, since callers then load the log again.
func TestGoldenStatus(t *testing.T) {
	follow := func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) (any, error) {
		return l.Follow(ctx, 1, time.Second)
	}
	op := operation{name: "too old", answers: "410", run: follow}
	if _, _, err := op.execute(t, nil); msgpackhttp.StatusCode(err) != http.StatusGone {
		t.Errorf("following from a compacted revision returned %v, want status 410", err)
	}
}

// TestGoldenFindsDifferences checks that the golden files detect changes of the encoding: a recorded response must be
// decoded differently, or not at all, if a field name or any byte of a value, its version included, is changed.
func TestGoldenFindsDifferences(t *testing.T) {
	requireDifference := func(what string, corrupted []byte) {
		t.Helper()
		f := &fakeStore{t: t}
		for range 5 { // Load retries if the log has gaps
			f.replies = append(f.replies, reply{body: corrupted}, reply{body: readAnswer(t, "load-2")})
		}
		f.run(func(ctx context.Context, l *oplog.Log, _ *kvstore.Client) {
			if got, err := l.Load(ctx); err == nil && gocmp.Equal(loaded, got) {
				t.Errorf("%s: the changed response was decoded as the original, want a difference or an error", what)
			}
		})
	}
	original := readAnswer(t, "load-1")
	for _, tag := range []string{"items", "truncated", "ledger", "key", "stamp", "value", "v", "t", "n", "l", "d"} {
		encodedTag, _ := msgpack.Marshal(tag)
		replacement, _ := msgpack.Marshal(strings.Repeat("~", len(tag)))
		requireDifference("tag "+tag, bytes.ReplaceAll(original, encodedTag, replacement))
	}
	leader := storedLeader()
	at := bytes.Index(original, leader)
	if at < 0 {
		t.Fatal("the recorded value of the leader key differs from the current encoding")
	}
	for i := range leader {
		corrupted := bytes.Clone(original)
		corrupted[at+i] ^= 1
		requireDifference(fmt.Sprintf("byte %d of the leader's value", i), corrupted)
	}
	golden.CheckDetectsByteChanges(t, "answer-meta.hex", func(b []byte) ([]byte, error) {
		var it wire.Item
		if err := wire.Unmarshal(b, &it); err != nil {
			return nil, err
		}
		return wire.Marshal(&it)
	})
}
