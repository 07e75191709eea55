package model

import (
	"testing"
	"time"
)

// TestOutboundPartitionedMachine: a machine that answers with a newer session, while no report of it comes, lost its
// lease though it is reached: it gets services only, until a report comes.
func TestOutboundPartitionedMachine(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	token := m.Token(machine)
	if m.Observe(machine, testReport(1, 2, token), m.BeginProbe(machine), 1); machine.ServicesOnly(1) {
		t.Error("one that answers in its session counts as mute")
	}
	m.Observe(machine, testReport(2, 5, token), m.BeginProbe(machine), 2)
	if !machine.ServicesOnly(2) || !machine.IsUsable() {
		t.Error("its lease ran out under our questions, and it gets all work, or none")
	}
	if m.Observe(machine, testReport(1, 3, token), nil, 3); !machine.ServicesOnly(3) {
		t.Error("an old report counts")
	}
	if m.Observe(machine, testReport(2, 6, m.Token(machine)), nil, 4); machine.ServicesOnly(4) {
		t.Error("its reports come again, and it still gets services only")
	}
}

// TestSuspectLeaseExpiry: the lease of a suspect machine is over once the entry has
// been committed for the bound and a lease, not a moment earlier; a report takes the
// suspicion back, and a new leader counts anew. The entry by which older versions ended the runs then is still read.
func TestSuspectLeaseExpiry(t *testing.T) {
	const bound, lease = 20 * time.Second, 24 * time.Second
	m, machine, run := newPlacedModel(t)
	seq := uint64(8)
	apply := func(k EntryKind, now Time) {
		t.Helper()
		seq++
		if err := m.Apply(&Entry{Kind: k, Machine: 1}, seq, now); err != nil {
			t.Fatal(err)
		}
	}
	apply(EntrySuspect, 5*time.Second)
	apply(EntryTrust, 6*time.Second)
	apply(EntrySuspect, 10*time.Second)
	machine.SuspicionCommitted(9, 10*time.Second) // the first one is committed, the second is not
	if machine.LeaseExpired(bound, lease, 0, time.Hour, 2) || machine.IsUsable() {
		t.Error("gone before the entry was committed, or still in use")
	}
	machine.SuspicionCommitted(11, 11*time.Second)
	if machine.LeaseExpired(bound, lease, 0, machine.Contact.SuspectFrom+bound+lease+Time(0.9e9), 2) ||
		!machine.LeaseExpired(bound, lease, 0, machine.Contact.SuspectFrom+bound+lease+Time(1.2e9), 2) {
		t.Error("not gone a second after the bound and the lease")
	}
	again := New(params())
	if err := again.Restore(m.Snapshot(), 9, 0); err != nil {
		t.Fatal(err)
	}
	again.BeginTerm(4<<24, time.Minute)
	if o := again.Machines[1]; !o.Suspect || o.LeaseExpired(bound, lease, 0, time.Minute+bound+lease, 2) ||
		!o.LeaseExpired(bound, lease, 0, 2*time.Minute, 2) {
		t.Error("a new leader does not count from its own election")
	}
	apply(EntryTrust, 12*time.Second)
	if machine.LeaseExpired(bound, lease, 0, time.Hour, 2) || !machine.IsUsable() || len(machine.Runs) != 1 {
		t.Error("the suspicion was not taken back")
	}
	apply(EntrySuspect, 13*time.Second)
	apply(EntryLeaseExpired, time.Minute)
	if len(machine.Runs) != 0 || m.Jobs[7].Tasks[0].State != Waiting || run.Machine.IsUsable() {
		t.Error("after the lease its task does not wait again, or the machine is in use")
	}
}
