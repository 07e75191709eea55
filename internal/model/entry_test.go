package model

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// TestConstructors: each constructor makes the entry of its kind, with the fields that the log stores of it.
func TestConstructors(t *testing.T) {
	info, described, spec := testInfo("host-1"), testType(), testSpec(7, 2)
	for _, c := range []struct {
		made, want *Entry
	}{
		{Accepted(spec, 5), &Entry{Kind: EntryAccept, Job: 7, At: 5, Spec: spec}},
		{NewCancellation(7), &Entry{Kind: EntryCancel, Job: 7}},
		{
			NewPlacement(7, 1, 2, 3, 4),
			&Entry{Kind: EntryPlace, Job: 7, Task: 1, Attempt: 2, Machine: 3, Session: 4},
		},
		{NewAttemptEnd(7, 1, 2), &Entry{Kind: EntryEnded, Job: 7, Task: 1, Attempt: 2}},
		{NewCompletion(7, 1, 2), &Entry{Kind: EntryDone, Job: 7, Task: 1, Attempt: 2}},
		{NewMachine(3, 5, info), &Entry{Kind: EntryMachine, Machine: 3, At: 5, Info: info}},
		{NewMachineGone(3), &Entry{Kind: EntryGone, Machine: 3}},
		{NewMachineType(described), &Entry{Kind: EntryType, Type: described}},
		{NewSuspicion(3), &Entry{Kind: EntrySuspect, Machine: 3}},
		{NewTrust(3), &Entry{Kind: EntryTrust, Machine: 3}},
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
				t.Errorf("read back: %v %s", err, diff)
			}
		})
	}
}

// TestApplyErrors: an entry that does not fit the log is an error that says what it was.
func TestApplyErrors(t *testing.T) {
	m, _, _ := newPlacedModel(t)
	var misplaced *MisplacementError
	err := m.Apply(NewPlacement(7, 1, 1, 9, 1), 9, 0)
	if !errors.As(err, &misplaced) || *misplaced != (MisplacementError{Job: 7, Task: 1, Machine: 9}) {
		t.Errorf("a placement on a machine that is not known: %v", err)
	}
	if err := m.Apply(NewPlacement(7, 0, 2, 1, 1), 9, 0); !errors.As(err, &misplaced) {
		t.Errorf("a placement of a task that is placed: %v", err)
	}
	var repeated *RepeatedAcceptanceError
	if err := m.Apply(Accepted(testSpec(7, 2), 0), 9, 0); !errors.As(err, &repeated) || repeated.Job != 7 {
		t.Errorf("a job that was accepted before: %v", err)
	}
	var unknown *UnknownKindError
	if err := m.Apply(&Entry{Kind: 99}, 9, 0); !errors.As(err, &unknown) || unknown.Kind != 99 {
		t.Errorf("a kind that is not known: %v", err)
	}
	if _, err := ReadEntry(&codec.Reader{Data: []byte{99}}); !errors.As(err, &unknown) || unknown.Kind != 99 {
		t.Errorf("a kind that is not known, as it is read: %v", err)
	}
	var jobID *JobIDError
	nameless := (&Entry{Kind: EntryAccept, Spec: &wire.JobSpec{ID: "x", Tasks: 1}}).Append(nil)
	if _, err := ReadEntry(&codec.Reader{Data: nameless}); !errors.As(err, &jobID) || jobID.ID != "x" {
		t.Errorf("a job under a name that is not a job's: %v", err)
	}
}
