package model

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/codec"
)

// TestSnapshotSizeWithManyFinishedJobs checks that a finished job takes at most two bytes of a snapshot, so that
// recovery stays fast with a long history.
func TestSnapshotSizeWithManyFinishedJobs(t *testing.T) {
	m := New(params())
	const n = 50_000
	for i := range uint64(n) {
		_ = m.Apply(&Entry{Kind: EntryAccept, Job: JobID(i), Spec: testSpec(i, 1)}, i, 0)
		_ = m.Apply(&Entry{Kind: EntryCancel, Job: JobID(i)}, i, 0)
	}
	m.ForgetCommitted(n)
	snapshot := m.Snapshot()
	if len(snapshot) > 2*n {
		t.Errorf("snapshot of %d finished jobs has %d bytes, want at most %d", n, len(snapshot), 2*n)
	}
	began := time.Now()
	restored := New(params())
	if err := restored.Restore(snapshot, 1, 0); err != nil {
		t.Fatal(err)
	}
	if len(restored.Finals) != n || len(restored.Jobs) != 0 || m.LiveTasks != 0 {
		t.Errorf("got %d final states, %d jobs, %d tasks after %v; want %d, 0, 0",
			len(restored.Finals), len(restored.Jobs), m.LiveTasks, time.Since(began), n)
	}
}

// FuzzDecode checks that decoding arbitrary data returns an error instead of panicking.
func FuzzDecode(f *testing.F) {
	m := New(params())
	_ = m.Apply(&Entry{Kind: EntryMachine, Machine: 1, Info: testInfo("host-1")}, 1, 0)
	_ = m.Apply(&Entry{Kind: EntryAccept, Job: 7, Spec: testSpec(7, 3)}, 1, 0)
	_ = m.Apply(&Entry{Kind: EntryPlace, Job: 7, Attempt: 1, Machine: 1, AgentEpoch: 1}, 1, 0)
	f.Add(m.Snapshot())
	f.Add((&Entry{Kind: EntryAccept, Spec: testSpec(7, 3)}).Append(nil))
	f.Add((&Entry{Kind: EntryPlace, Job: 7, Attempt: 1, Machine: 1, AgentEpoch: 1}).Append(nil))
	f.Add([]byte{snapshotVersion, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		if m := New(params()); m.Restore(b, 1, 0) == nil && len(m.Jobs) > 0 && m.LiveTasks == 0 && len(m.Finals) == 0 {
			for _, j := range m.Jobs {
				if j.Waiting() != 0 {
					t.Error("a restored job has waiting tasks although LiveTasks is 0")
				}
			}
		}
		r := &codec.Reader{Data: b}
		for len(r.Data) > 0 {
			if _, err := ReadEntry(r); err != nil {
				return
			}
		}
	})
}

// TestIntentsInSnapshots checks that intents are kept in snapshots in log order, and that a snapshot without intents
// has the version that nodes without support for them can read.
func TestIntentsInSnapshots(t *testing.T) {
	m := New(params())
	apply := func(seq uint64, e *Entry) {
		decoded, err := ReadEntry(&codec.Reader{Data: e.Append(nil)})
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Apply(decoded, seq, 0); err != nil {
			t.Fatal(err)
		}
	}
	intent := func(name string, n int) *Entry {
		return &Entry{Kind: EntryIntent, Info: &MachineInfo{Name: name, Type: "t", Zone: "a", Spot: n%2 == 0}, Count: n}
	}
	for i, name := range []string{"x", "y", "x", "z"} { // the second "x" is a repeated request
		apply(uint64(i+1), intent(name, i+1))
	}
	apply(5, &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: "y"}})
	restored := New(params())
	if err := restored.Restore(m.Snapshot(), 5, 0); err != nil {
		t.Fatal(err)
	}
	want := []Intent{{"x", "t", "a", false, 1, 5}, {"z", "t", "a", true, 4, 5}}
	if d := cmp.Diff(want, restored.Intents); d != "" {
		t.Error(d)
	}
	for _, name := range []string{"x", "z"} {
		apply(6, &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: name}})
	}
	if b := m.Snapshot(); b[0] != lastVersionWithoutIntents || len(m.Intents) != 0 {
		t.Errorf("got a snapshot of version %d of %d intents; want version %d without intents",
			b[0], len(m.Intents), lastVersionWithoutIntents)
	}
}

// TestCorruptSnapshot checks that the error for a snapshot that is truncated, or has an unknown version or a trailing
// byte, names the section.
func TestCorruptSnapshot(t *testing.T) {
	m, _, _ := newPlacedModel(t)
	applyAll(t, m,
		NewMachine(2, 0, testInfo("host-2")),
		NewMachineGone(2),
		NewAcceptance(testSpec(8, 1), 0),
		NewCancellation(8),
		NewIntent(testInfo("x"), 1),
	)
	whole := m.Snapshot()
	if err := New(params()).Restore(whole, 9, 0); err != nil {
		t.Fatal(err)
	}
	// The sections named by the errors for all truncated lengths, without repetitions.
	var sections []string
	for n := 1; n < len(whole); n++ {
		var corrupt *CorruptSnapshotError
		err := New(params()).Restore(whole[:n], 9, 0)
		if !errors.As(err, &corrupt) || !errors.Is(err, codec.ErrMalformed) {
			t.Fatalf("restore of a snapshot truncated to %d bytes: got error %v, want %v", n, err, codec.ErrMalformed)
		}
		if len(sections) == 0 || sections[len(sections)-1] != corrupt.Section {
			sections = append(sections, corrupt.Section)
		}
	}
	want := []string{
		sectionTypes, sectionMachines, sectionTombstones, sectionFinals, sectionJobs, sectionIntents,
	}
	if diff := cmp.Diff(want, sections); diff != "" {
		t.Error(diff)
	}
	var corrupt *CorruptSnapshotError
	for _, b := range [][]byte{nil, {0}, {snapshotVersion + 1}} {
		if err := New(params()).Restore(b, 9, 0); !errors.Is(err, ErrUnknownVersion) {
			t.Errorf("restore of %v: got error %v, want %v", b, err, ErrUnknownVersion)
		}
	}
	err := New(params()).Restore(append(whole, 0), 9, 0)
	if !errors.As(err, &corrupt) || corrupt.Section != sectionEnd {
		t.Errorf("restore with a trailing byte: got error %v, want one in section %q", err, sectionEnd)
	}
}
