package model

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/codec"
	"fieldhill/internal/golden"
	"fieldhill/wire"
)

func ptr[T any](v T) *T { return &v }

// everyEntry returns entries of every kind, in the order of the kinds' numbers.
func everyEntry() []*Entry {
	full := &wire.JobSpec{
		ID: wire.JobID(300), Class: "train", Team: "red", Shape: wire.Gang, Priority: wire.Production,
		Tasks: wire.MaxTasks, CPUs: 0.5, GPUs: 1, MemoryGB: 1e-9, Image: "img", ImageGB: 2.5,
		Types: []string{"t", "u"}, Zone: ptr("b"), SameZone: true, Spread: true, Spot: true,
		EstimateS: 60, CheckpointIntervalS: 0.1, CheckpointWriteS: 7, DeadlineS: ptr(0.0),
	}
	bare := &wire.JobSpec{ID: wire.JobID(7), Shape: wire.Service, Priority: wire.Low, Tasks: 1, Types: []string{}}
	machine := &MachineInfo{Name: "host-1", Addr: "10.1.0.1:1", Type: "t", Zone: "a", Spot: true}
	return []*Entry{
		{Kind: EntryAccept, Job: 300, WallTimeMS: 1_700_000_000_123, Spec: full},
		{Kind: EntryAccept, Job: 7, Spec: bare},
		{Kind: EntryAccept, Job: 8, Spec: &wire.JobSpec{ID: wire.JobID(8), Class: "c", Tasks: 2}},
		{Kind: EntryCancel, Job: 1 << 30},
		{Kind: EntryPlace, Job: 7, Task: 1000, Attempt: 70_000, Machine: 1 << 30, AgentEpoch: 1 << 40},
		{Kind: EntryAttemptEnded, Job: 127, Task: 3, Attempt: 1},
		{Kind: EntryTaskDone, Job: 128, Task: 4, Attempt: 2},
		{Kind: EntryMachine, Machine: 1, WallTimeMS: 5, Info: machine},
		{Kind: EntryMachine, Machine: 300, Info: &MachineInfo{Name: "host-300", Type: "t", Zone: "b"}},
		{Kind: EntryMachineGone, Machine: 2},
		{Kind: EntryType, Type: &wire.MachineType{Name: "t", CPUs: 4, GPUs: 0.1, MemoryGB: 16, CacheGB: 50,
			FetchGBPerS: 1e-9, Price: 0.18, SpotPrice: 0.06, BootS: 25, Zones: []string{"a", "b"}}},
		{Kind: EntrySuspect, Machine: 3},
		{Kind: EntryTrust, Machine: 4},
		{Kind: EntryLeaseExpired, Machine: 5},
		{Kind: EntryRelease, Machine: 6},
		{Kind: EntryIntent, Info: &MachineInfo{Name: "fh-3-1", Type: "t", Zone: "a", Spot: true}, Count: 50},
		{Kind: EntryIntentDone, Info: &MachineInfo{Name: "fh-3-1"}},
	}
}

// TestGoldenEntries checks that the stored format of every kind of entry is unchanged.
func TestGoldenEntries(t *testing.T) {
	entries := everyEntry()
	golden.RoundTrip(t, "entries.hex", entries, func(all []*Entry) (b []byte) {
		for _, e := range all {
			b = e.Append(b)
		}
		return b
	}, func(b []byte) (all []*Entry, err error) {
		for r := (&codec.Reader{Data: b}); len(r.Data) > 0; {
			e, err := ReadEntry(r)
			if err != nil {
				return nil, err
			}
			all = append(all, e)
		}
		return all, nil
	})
	var kinds []byte
	for _, e := range entries {
		kinds = append(kinds, e.Append(nil)[0])
	}
	if want := []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14}; !bytes.Equal(want, slices.Compact(kinds)) {
		t.Errorf("entries have kinds %v, want %v", kinds, want)
	}
	for _, kind := range []byte{0, 15} {
		if _, err := ReadEntry(&codec.Reader{Data: []byte{kind, 1, 1, 1}}); err == nil {
			t.Errorf("decode entry of unknown kind %d: got no error", kind)
		}
	}
}

// applyAll applies entries with sequence numbers from 1 on, at increasing times.
func applyAll(t *testing.T, m *Model, entries ...*Entry) {
	t.Helper()
	for i, e := range entries {
		if err := m.Apply(e, uint64(i+1), Time(i)); err != nil {
			t.Fatal(err)
		}
	}
}

// newModelWithHistory returns a model with data in every section of a snapshot except intents.
func newModelWithHistory(t *testing.T) *Model {
	t.Helper()
	other, full := testSpec(20, 3), *everyEntry()[0].Spec
	other.Image, other.ImageGB, full.Tasks = "j", 2.5, 1000
	place := func(job JobID, task int32, attempt uint32, machine MachineID) *Entry {
		return &Entry{Kind: EntryPlace, Job: job, Task: task, Attempt: attempt, Machine: machine, AgentEpoch: 1 << 40}
	}
	entry := func(kind EntryKind, job JobID, task int32, attempt uint32) *Entry {
		return &Entry{Kind: kind, Job: job, Task: task, Attempt: attempt}
	}
	u := &wire.MachineType{Name: "u", CPUs: 0.1, GPUs: 8, BootS: 1e-9, Zones: []string{"b", "a"}}
	m := New(params())
	applyAll(t, m,
		&Entry{Kind: EntryType, Type: &wire.MachineType{Name: "t", CPUs: 8, CacheGB: 10, Zones: []string{"a"}}},
		&Entry{Kind: EntryType, Type: u},
		&Entry{Kind: EntryMachine, Machine: 1, WallTimeMS: 1_700_000_000_123, Info: testInfo("host-1")},
		&Entry{Kind: EntryMachine, Machine: 2, Info: &MachineInfo{Name: "host-2", Type: "u", Zone: "b", Spot: true}},
		&Entry{Kind: EntryMachine, Machine: 3, Info: testInfo("host-3")},
		&Entry{Kind: EntryMachine, Machine: 4, Info: testInfo("host-4")},
		&Entry{Kind: EntryMachine, Machine: 5, Info: testInfo("host-5")},
		&Entry{Kind: EntryMachineGone, Machine: 5},
		&Entry{Kind: EntryMachineGone, Machine: 4},
		&Entry{Kind: EntrySuspect, Machine: 2},
		&Entry{Kind: EntryRelease, Machine: 3},
		NewAcceptance(testSpec(1, 1), 5),
		NewAcceptance(testSpec(300, 1), 6),
		NewAcceptance(testSpec(301, 2), 7),
		NewAcceptance(testSpec(2, 1), 8),
		place(1, 0, 1, 1),
		entry(EntryTaskDone, 1, 0, 1),
		entry(EntryTaskDone, 300, 0, 1),
		entry(EntryCancel, 2, 0, 0),
		entry(EntryCancel, 301, 0, 0),
		NewAcceptance(testSpec(21, 5), 9), // tasks done, placed and waiting, some retried
		entry(EntryTaskDone, 21, 0, 0),
		place(21, 1, 1, 1),
		entry(EntryAttemptEnded, 21, 1, 1),
		place(21, 1, 2, 1),
		entry(EntryTaskDone, 21, 1, 2),
		place(21, 2, 300, 1),
		place(21, 3, 1, 2),
		entry(EntryAttemptEnded, 21, 3, 1),
		NewAcceptance(other, 10),
		place(20, 0, 1, 1),
		entry(EntryTaskDone, 20, 0, 1), // second image in the cache
		NewAcceptance(testSpec(22, 2), 11),
		place(22, 1, 1, 2),
		entry(EntryCancel, 22, 0, 0), // cancelled but still has a run
		&Entry{Kind: EntryAccept, Job: 400, Spec: &full, WallTimeMS: 12},
	)
	return m
}

// downgradeSnapshot converts a snapshot of version 3 to version 1 or 2 by removing the flags of machines that the older
// version lacks.
func downgradeSnapshot(m *Model, b []byte, version byte) []byte {
	b = bytes.Clone(b)
	b[0] = version
	for _, machine := range m.MachinesInOrder {
		identity := appendInfo(nil, &machine.Info)
		flags := bytes.Index(b, identity) + len(identity)
		b = slices.Delete(b, flags+int(version)-1, flags+2)
	}
	return b
}

// TestGoldenSnapshots checks that snapshots of all versions can still be read, and that the format of the written
// versions is unchanged.
func TestGoldenSnapshots(t *testing.T) {
	m := newModelWithHistory(t)
	golden.Check(t, "snapshot-v3.hex", m.Snapshot())
	golden.Check(t, "snapshot-v1.hex", downgradeSnapshot(m, m.Snapshot(), 1))
	golden.Check(t, "snapshot-v2.hex", downgradeSnapshot(m, m.Snapshot(), 2))
	for _, name := range []string{"x", "y"} {
		i := &MachineInfo{Name: name, Type: "t", Zone: "a", Spot: name == "y"}
		applyAll(t, m, &Entry{Kind: EntryIntent, Info: i, Count: wire.MaxScaleOut})
	}
	golden.Check(t, "snapshot-v4.hex", m.Snapshot())
	for version := byte(1); version <= 4; version++ {
		name := fmt.Sprintf("snapshot-v%d.hex", version)
		golden.CheckDetectsByteChanges(t, name, func(b []byte) (_ []byte, err error) {
			// Restore panics on a duplicate machine; that also counts as detecting the change.
			defer func() {
				if p := recover(); p != nil {
					err = fmt.Errorf("restore snapshot: panic: %v", p)
				}
			}()
			restored := New(params())
			if err := restored.Restore(b, 50, 0); err != nil {
				return nil, err
			}
			if version < 3 {
				return downgradeSnapshot(restored, restored.Snapshot(), version), nil
			}
			return restored.Snapshot(), nil
		})
	}
	for version := byte(0); version <= 5; version++ {
		b := golden.Read(t, "snapshot-v4.hex")
		if b[0] = version; (New(params()).Restore(b, 50, 0) == nil) != (version == 4) {
			t.Errorf("restore of a version 4 snapshot marked as version %d: want an error except for 4", version)
		}
	}
}

// describeFleet returns the machines with their replicated flags, and the intents.
func describeFleet(m *Model) (list []string) {
	for _, machine := range m.MachinesInOrder {
		description := machine.Info.Name
		if machine.Suspect {
			description += " suspect"
		}
		if machine.Releasing {
			description += " releasing"
		}
		list = append(list, description)
	}
	for _, i := range m.Intents {
		list = append(list, i.Name)
	}
	return list
}

// TestGoldenSnapshotContents checks the state restored from the stored snapshots of each version.
func TestGoldenSnapshotContents(t *testing.T) {
	for version, want := range map[int][]string{
		1: {"host-1", "host-2", "host-3"},
		2: {"host-1", "host-2 suspect", "host-3"},
		3: {"host-1", "host-2 suspect", "host-3 releasing"},
		4: {"host-1", "host-2 suspect", "host-3 releasing", "x", "y"},
	} {
		m := New(params())
		if err := m.Restore(golden.Read(t, fmt.Sprintf("snapshot-v%d.hex", version)), 50, 0); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, describeFleet(m)); diff != "" {
			t.Errorf("version %d: machines and intents differ (-want +got): %s", version, diff)
		}
		finals := map[JobID]Final{1: FinalDone, 300: FinalDone, 2: FinalCancelled, 301: FinalCancelled}
		if diff := cmp.Diff(finals, m.Finals); diff != "" {
			t.Errorf("version %d: final states differ (-want +got): %s", version, diff)
		}
		if j := m.Jobs[21]; j.Done != 2 || j.PlacedTasks != 1 || j.Tasks[2].Attempt != 300 || j.Tasks[3].Attempt != 1 ||
			j.AcceptedAtMS != 9 {
			t.Errorf("version %d: job 21 is %+v, want 2 tasks done, 1 placed in attempt 300, 1 ended in attempt 1",
				version, j)
		}
		if j := m.Jobs[22]; !j.Cancelled || j.PlacedTasks != 1 || j.Tasks[1].Run.Machine.Info.Name != "host-2" {
			t.Errorf("version %d: job 22 is %+v, want it cancelled with one run on host-2", version, j)
		}
		if machine := m.Machines[1]; !m.Tombstones["host-4"] || !m.Tombstones["host-5"] || m.NextMachine != 6 ||
			len(machine.cache) != 2 {
			t.Errorf("version %d: tombstones %v, next machine %d, cache %v; want host-4 and host-5, 6, two images",
				version, m.Tombstones, m.NextMachine, machine.cache)
		}
	}
}

// TestGoldenTombstones checks by a hash that the stored format of 1,000 tombstones, oldest first, is unchanged.
func TestGoldenTombstones(t *testing.T) {
	m := New(params())
	for id := MachineID(1); id <= 1000; id++ {
		applyAll(t, m, &Entry{Kind: EntryMachine, Machine: id, Info: testInfo(fmt.Sprint("host-", id))},
			&Entry{Kind: EntryMachineGone, Machine: id})
	}
	b := m.Snapshot()
	golden.Check(t, "tombs.sha256.txt", fmt.Appendf(nil, "%x\n", sha256.Sum256(b)))
	restored := New(params())
	if err := restored.Restore(b, 1, 0); err != nil || !bytes.Equal(b, restored.Snapshot()) ||
		len(restored.Tombstones) != 1000 {
		t.Errorf("restored %d tombstones with error %v; want 1000 and an equal snapshot", len(restored.Tombstones), err)
	}
}
