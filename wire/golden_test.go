package wire

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"fieldhill/internal/golden"
)

func ptr[T any](v T) *T { return &v }

// fullMessages returns every message of the platform's interfaces by the name of its golden file. No field has its zero
// value, so that the tests detect a tag or a byte that is not decoded.
func fullMessages() map[string]any {
	all := map[string]any{}
	for _, messages := range []map[string]any{
		fullUserMessages(), fullAgentMessages(), fullCloudMessages(), fullStoreMessages(),
	} {
		maps.Copy(all, messages)
	}
	return all
}

func fullUserMessages() map[string]any {
	return map[string]any{
		"job-spec": &JobSpec{
			ID:                  "req-000412",
			Class:               "train",
			Team:                "vision",
			Shape:               Gang,
			Priority:            High,
			Tasks:               16,
			CPUs:                8,
			GPUs:                1,
			MemoryGB:            64.5,
			Image:               "img-07",
			ImageGB:             6.2,
			Types:               []string{"g8", "c4"},
			Zone:                ptr("a"),
			SameZone:            true,
			Spread:              true,
			Spot:                true,
			EstimateS:           240,
			CheckpointIntervalS: 30,
			CheckpointWriteS:    4,
			DeadlineS:           ptr(900.0),
		},
		"job-status": &JobStatus{ID: "req-000412", State: JobRunning, Done: 3, Running: 13},
		"problem":    &Problem{Error: "pieces: out of range"},
	}
}

func fullAgentMessages() map[string]any {
	command := Command{Verb: VerbStop, Task: "req-000412/3", Attempt: 2, GraceS: ptr(2.5)}
	return map[string]any{
		"report": &Heartbeat{
			Machine:        "m-7",
			Addr:           "10.1.0.7:70",
			Type:           "g8",
			Zone:           "a",
			Spot:           true,
			AgentEpoch:     1 << 40,
			Seq:            300,
			FencingToken:   7,
			ReclaimNoticeS: ptr(30.5),
			Tasks: []TaskStatus{
				{Task: "req-000412/3", Attempt: 2, State: TaskExited, Cause: CauseStopped, Checkpointed: true},
			},
		},
		"report-answer": &HeartbeatResponse{FencingToken: 7, Commands: []Command{command}},
		"redirect":      &Redirect{Node: "10.0.0.2:80"},
		"orders":        &CommandBatch{FencingToken: 7, AgentEpoch: 1 << 40, Commands: []Command{command}},
	}
}

func fullCloudMessages() map[string]any {
	return map[string]any{
		"machine-types": &MachineTypes{Types: []MachineType{
			{Name: "g8", CPUs: 32, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 0.1, Price: 3.5, SpotPrice: 1e-9,
				BootS: 40, Zones: []string{"a", "b"}},
		}},
		"hire":          &ScaleOutRequest{IdempotencyKey: "fh-1-2", Type: "g8", Zone: "a", Spot: true, Count: 50},
		"machine-names": &MachineNames{Machines: []string{"m-7", "m-8"}},
		"machine-list": &MachineList{More: true, Machines: []ListedMachine{
			{Name: "m-7", Addr: "10.1.0.7:70", Type: "g8", Zone: "a", Spot: true, State: MachineRunning, AgeS: 7.25},
		}},
	}
}

func fullStoreMessages() map[string]any {
	value := LogValue{Version: 1, Term: 7, Node: "n1", Lease: 9, Seq: 1 << 40, Count: 3, Data: "\x01\x02text"}
	raw, _ := Marshal(&value)
	item := Item{Key: "f/log/1", Value: raw, Version: 12, Lease: 9}
	return map[string]any{
		"log-value": &value,
		"item":      &item,
		"items":     &Items{Items: []Item{item}, More: true, Revision: 77},
		"txn": &Txn{
			If:   []Condition{{Key: "f/lead", Version: 12}},
			Then: []Write{{Put: "f/log/2", Value: &value, Lease: 9, Delete: "f/log/1"}},
		},
		"txn-answer":   &TxnResponse{Revision: 77, Failed: []string{"f/lead"}},
		"lease-ask":    &LeaseRequest{TTLMillis: 2500},
		"lease-answer": &LeaseResponse{Lease: 9},
		"events": &Events{Revision: 77, Events: []Event{
			{Put: "f/log/2", Delete: "f/log/1", Value: raw, Version: 13},
		}},
	}
}

// sparseMessages returns messages with fields that are omitted, null or empty, by the names of their golden files.
func sparseMessages() map[string]any {
	raw, _ := Marshal(&LogValue{Version: 1})
	all := map[string]any{
		"job-spec-nulls": &JobSpec{ID: "req-1000000", Class: "web", Team: "red", Shape: Service,
			Priority: Production, Tasks: 1, Image: "i"},
		"job-spec-empty": &JobSpec{ID: "req-000001", Shape: Array, Priority: Low, Types: []string{},
			Zone: ptr("")},
		"problem-empty": &Problem{},
		"report-idle":   &Heartbeat{Machine: "m-7", AgentEpoch: 1, Tasks: []TaskStatus{}},
		"report-nulls":  &Heartbeat{Machine: "m-7", AgentEpoch: 1},
		"report-running": &Heartbeat{Machine: "m", AgentEpoch: 1, Tasks: []TaskStatus{{Task: "req-000412/0",
			State: TaskRunning}}},
		"report-answer-empty": &HeartbeatResponse{FencingToken: 7, Commands: []Command{}},
		"report-answer-nulls": &HeartbeatResponse{},
		"report-answer-starts": &HeartbeatResponse{Commands: []Command{
			{Verb: VerbStart, Task: "req-000412/0", Attempt: 1}, {Verb: VerbForget}}},
		"redirect-nowhere": &Redirect{},
		"orders-no-grace": &CommandBatch{
			FencingToken: 1,
			AgentEpoch:   2,
			Commands:     []Command{{Verb: VerbStop, GraceS: ptr(0.0)}},
		},
		"machine-types-nulls": &MachineTypes{Types: []MachineType{{}}},
		"hire-zeros":          &ScaleOutRequest{},
		"machine-names-empty": &MachineNames{Machines: []string{}},
		"machine-list-booting": &MachineList{Machines: []ListedMachine{{State: MachineBooting},
			{State: MachineFailed}}},
		"log-value-leader": &LogValue{Version: 1, Term: 7, Node: "n1", Lease: 9},
		"log-value-term":   &LogValue{Version: 1, Term: 7},
		"items-empty":      &Items{Items: []Item{}},
		"items-short":      &Items{Items: []Item{{Key: "f/term", Value: raw, Version: 1}}},
		"txn-create": &Txn{If: []Condition{{Key: "f/term"}}, Then: []Write{{Put: "f/term", Value: &LogValue{Version: 1,
			Term: 1}},
			{Delete: "f/old"}}},
		"txn-nulls":        &Txn{},
		"txn-answer-taken": &TxnResponse{Revision: 77, Failed: []string{}},
		"events-deleted":   &Events{Revision: 77, Events: []Event{{Delete: "f/old", Version: 14}}},
	}
	for _, state := range []string{JobPending, JobRunning, JobDone, JobCancelled} {
		all["job-status-"+state] = &JobStatus{ID: "req-000412", State: state}
	}
	return all
}

// reencoder returns a function that decodes a message into a new value of the given value's type and encodes it again.
func reencoder(value any) func(b []byte) ([]byte, error) {
	return func(b []byte) ([]byte, error) {
		message := reflect.New(reflect.TypeOf(value).Elem()).Interface()
		if err := Unmarshal(b, message); err != nil {
			return nil, err
		}
		return Marshal(message)
	}
}

func reencodeJob(b []byte) ([]byte, error) {
	job, err := ParseJob(b)
	if err != nil {
		return nil, err
	}
	return Marshal(job)
}

// TestGoldenMessages checks that every message is encoded as in its golden file and decoded from it, and that changing
// any byte or renaming any tag in the file is detected. It also compares the messages as JSON with messages.txt, which
// shows their tags.
func TestGoldenMessages(t *testing.T) {
	messages, full := fullMessages(), fullMessages()
	maps.Copy(messages, sparseMessages())
	var listing strings.Builder
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		want, file := messages[name], "messages/"+name+".hex"
		encoded, err := Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, file, encoded)
		stored := golden.Read(t, file)
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := Unmarshal(stored, got); err != nil {
			t.Errorf("decoding %s: got error %v, want none", name, err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s after decoding (-want +got):\n%s", name, d)
		}
		if reencoded, err := reencoder(want)(stored); err != nil || string(reencoded) != string(stored) {
			t.Errorf("%s after decoding and encoding: got %x, %v, want %x", name, reencoded, err, stored)
		}
		var tagged map[string]any
		if err := msgpack.Unmarshal(encoded, &tagged); err != nil {
			t.Fatal(err)
		}
		b, err := json.Marshal(tagged)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&listing, "%s %s\n", name, b)
		if full[name] != nil {
			golden.CheckDetectsByteChanges(t, file, reencoder(want))
			golden.CheckDetectsRenamedTags(t, name, stored, reencoder(want))
		}
	}
	golden.Check(t, "messages.txt", []byte(listing.String()))

	for _, name := range []string{"job-spec", "job-spec-nulls"} {
		stored := golden.Read(t, "messages/"+name+".hex")
		job, err := ParseJob(stored)
		if d := cmp.Diff(messages[name], any(job)); d != "" || err != nil {
			t.Errorf("ParseJob of %s (-want +got):\n%s, %v", name, d, err)
		}
		if number, err := PeekJobID(stored); err != nil || JobID(number) != job.ID {
			t.Errorf("PeekJobID of %s: got job %d, %v, want %s", name, number, err, job.ID)
		}
	}
	golden.CheckDetectsByteChanges(t, "messages/job-spec.hex", reencodeJob)
	golden.CheckDetectsRenamedTags(t, "job-spec", golden.Read(t, "messages/job-spec.hex"), reencodeJob)
}

// TestGoldenParseErrors compares the errors for malformed submissions, which are sent to users, with the golden file.
func TestGoldenParseErrors(t *testing.T) {
	var b strings.Builder
	check := func(label string, body []byte) {
		_, err := ParseJob(body)
		_, peekErr := PeekJobID(body)
		fmt.Fprintf(&b, "%s: %v; id: %v\n", label, err, peekErr)
	}
	for _, field := range slices.Sorted(maps.Keys(validJob())) {
		job := validJob()
		for _, value := range []any{nil, "?", "", -1, 1 << 40, -0.5, true, []any{1}} {
			job[field] = value
			body, _ := Marshal(sortedMap(job))
			check(fmt.Sprintf("%s %#v", field, value), body)
		}
		delete(job, field)
		body, _ := Marshal(sortedMap(job))
		check(field+" left out", body)
	}
	body, _ := Marshal(sortedMap(validJob()))
	check("empty", nil)
	check("list", []byte{0x90})
	check("trailing", append(body[:len(body):len(body)], 0xc0))
	check("deep", append([]byte{0x81, 0xa1, 'x'}, nestedLists(100)...))
	check("binary", []byte{0x81, 0xa1, 'x', 0xc4, 0})
	check("key", []byte{0x81, 1, 1})
	golden.Check(t, "refusals.txt", []byte(b.String()))
}

// sortedMap is a map that is encoded in key order, so that the first invalid field is the same in each run.
type sortedMap map[string]any

// EncodeMsgpack encodes the map with sorted keys.
func (s sortedMap) EncodeMsgpack(e *msgpack.Encoder) error {
	e.SetSortMapKeys(true)
	return e.EncodeMapSorted(s)
}

// TestGoldenConstants compares the paths, names and limits of the protocol with the golden file.
func TestGoldenConstants(t *testing.T) {
	var b strings.Builder
	for _, group := range []struct {
		name string
		all  []any
	}{
		{"paths", []any{PathJobs, PathReady, PathHeartbeat, PathCommands, PathProbe, PathMachineTypes, PathMachines,
			PathRelease, PathKeys, PathTxn, PathLeases, PathWatch, CancelSuffix, PathAdminJobs, WhySuffix,
			PathAdminQueue, PathAdminRoles}},
		{"limits", []any{MaxBody, MaxTasks, MaxScaleOut, MaxRelease, MaxList, maxDepth, uint64(maxJobNumber),
			MaxQueued}},
		{"content", []any{ContentType, jobIDPrefix, JobID(0), JobID(412), JobID(1_000_000), TaskID(412, 31)}},
		{"shapes", []any{Array, Gang, Service}},
		{"priorities", []any{Production, High, Normal, Low}},
		{"job states", []any{JobPending, JobRunning, JobDone, JobCancelled}},
		{"task states", []any{TaskFetching, TaskWaiting, TaskRunning, TaskCheckpointing, TaskExited}},
		{"causes", []any{CauseDone, CauseStopped, CausePeers, CauseGangIncomplete, CauseError, CauseNoCapacity,
			CauseBusy, CauseUnknown}},
		{"verbs", []any{VerbStart, VerbStop, VerbForget}},
		{"machine states", []any{MachineBooting, MachineRunning, MachineFailed}},
	} {
		fmt.Fprintf(&b, "%s: %v\n", group.name, group.all)
	}
	golden.Check(t, "constants.txt", []byte(b.String()))
}
