package model

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// TestEntryConstructors checks that each constructor sets the kind, and exactly the fields that are stored for that
// kind.
func TestEntryConstructors(t *testing.T) {
	info, machineType, spec := testInfo("host-1"), testType(), testSpec(7, 2)
	for _, c := range []struct {
		made, want *Entry
	}{
		{NewAcceptance(spec, 5), &Entry{Kind: EntryAccept, Job: 7, WallTimeMS: 5, Spec: spec}},
		{NewCancellation(7), &Entry{Kind: EntryCancel, Job: 7}},
		{
			NewPlacement(7, 1, 2, 3, 4),
			&Entry{Kind: EntryPlace, Job: 7, Task: 1, Attempt: 2, Machine: 3, AgentEpoch: 4},
		},
		{NewAttemptEnd(7, 1, 2), &Entry{Kind: EntryAttemptEnded, Job: 7, Task: 1, Attempt: 2}},
		{NewCompletion(7, 1, 2), &Entry{Kind: EntryTaskDone, Job: 7, Task: 1, Attempt: 2}},
		{NewMachine(3, 5, info), &Entry{Kind: EntryMachine, Machine: 3, WallTimeMS: 5, Info: info}},
		{NewMachineGone(3), &Entry{Kind: EntryMachineGone, Machine: 3}},
		{NewMachineType(machineType), &Entry{Kind: EntryType, Type: machineType}},
		{NewSuspicion(3), &Entry{Kind: EntrySuspect, Machine: 3}},
		{NewSuspicionCleared(3), &Entry{Kind: EntryTrust, Machine: 3}},
		{NewRelease(3), &Entry{Kind: EntryRelease, Machine: 3}},
		{NewIntent(info, 9), &Entry{Kind: EntryIntent, Info: info, Count: 9}},
		{NewIntentDone("x"), &Entry{Kind: EntryIntentDone, Info: &MachineInfo{Name: "x"}}},
	} {
		t.Run(fmt.Sprint(c.want.Kind), func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.made); diff != "" {
				t.Error(diff)
			}
			decoded, err := ReadEntry(&codec.Reader{Data: c.made.Append(nil)})
			if diff := cmp.Diff(c.want, decoded); err != nil || diff != "" {
				t.Errorf("after encoding and decoding: error %v, diff %s", err, diff)
			}
		})
	}
}

// TestApplyErrors checks the errors for entries that conflict with the state, and for entries that cannot be decoded.
func TestApplyErrors(t *testing.T) {
	m, _, _ := newPlacedModel(t)
	var invalidPlacement *InvalidPlacementError
	err := m.Apply(NewPlacement(7, 1, 1, 9, 1), 9, 0)
	if !errors.As(err, &invalidPlacement) || *invalidPlacement != (InvalidPlacementError{Job: 7, Task: 1, Machine: 9}) {
		t.Errorf("placement on an unknown machine: got error %v, want %T", err, invalidPlacement)
	}
	if err := m.Apply(NewPlacement(7, 0, 2, 1, 1), 9, 0); !errors.As(err, &invalidPlacement) {
		t.Errorf("placement of a task that is already placed: got error %v, want %T", err, invalidPlacement)
	}
	var duplicate *DuplicateAcceptanceError
	if err := m.Apply(NewAcceptance(testSpec(7, 2), 0), 9, 0); !errors.As(err, &duplicate) || duplicate.Job != 7 {
		t.Errorf("repeated acceptance of a job: got error %v, want %T", err, duplicate)
	}
	var unknown *UnknownKindError
	if err := m.Apply(&Entry{Kind: 99}, 9, 0); !errors.As(err, &unknown) || unknown.Kind != 99 {
		t.Errorf("applying an unknown kind: got error %v, want %T", err, unknown)
	}
	if _, err := ReadEntry(&codec.Reader{Data: []byte{99}}); !errors.As(err, &unknown) || unknown.Kind != 99 {
		t.Errorf("decoding an unknown kind: got error %v, want %T", err, unknown)
	}
	var jobID *JobIDError
	invalidID := (&Entry{Kind: EntryAccept, Spec: &wire.JobSpec{ID: "x", Tasks: 1}}).Append(nil)
	if _, err := ReadEntry(&codec.Reader{Data: invalidID}); !errors.As(err, &jobID) || jobID.ID != "x" {
		t.Errorf("decoding an invalid job ID: got error %v, want %T", err, jobID)
	}
}
