package model

import (
	"testing"
	"time"
)

// TestOutboundPartitionRestrictsToServices checks that a machine may get only services while it responds to probes but
// its reports do not arrive. A probe response with a newer agent epoch shows this, because the agent's lease must have
// expired since the previous message. The next report to arrive lifts the restriction.
func TestOutboundPartitionRestrictsToServices(t *testing.T) {
	m, machine, _ := newPlacedModel(t)
	token := m.Token(machine)
	if m.Observe(machine, testReport(1, 2, token), m.BeginProbe(machine), 1); machine.ServicesOnly(1) {
		t.Error("a machine that responds in its current epoch is restricted to services")
	}
	m.Observe(machine, testReport(2, 5, token), m.BeginProbe(machine), 2)
	if !machine.ServicesOnly(2) || !machine.IsUsable() {
		t.Error("after a lease expiry between probes the machine is not restricted to services, or not usable")
	}
	if m.Observe(machine, testReport(1, 3, token), nil, 3); !machine.ServicesOnly(3) {
		t.Error("an old report lifted the restriction")
	}
	if m.Observe(machine, testReport(2, 6, m.Token(machine)), nil, 4); machine.ServicesOnly(4) {
		t.Error("a new report did not lift the restriction")
	}
}

// TestSuspectLeaseExpiry checks that the lease of a suspect machine counts as expired once EntrySuspect has been
// committed for the bound plus a lease duration, and not earlier; that a report clears the suspicion; and that a new
// leader counts the time from its own election. EntryLeaseExpired, which only older versions logged, must still end the
// runs.
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
	machine.SuspicionCommitted(9, 10*time.Second) // the first entry is committed, the second is not
	if machine.LeaseExpired(bound, lease, 0, time.Hour, 2) || machine.IsUsable() {
		t.Error("lease expired before the entry was committed, or the machine is usable")
	}
	machine.SuspicionCommitted(11, 11*time.Second)
	if machine.LeaseExpired(bound, lease, 0, machine.Contact.SuspectFrom+bound+lease+Time(0.9e9), 2) ||
		!machine.LeaseExpired(bound, lease, 0, machine.Contact.SuspectFrom+bound+lease+Time(1.2e9), 2) {
		t.Error("lease did not expire between 0.9 and 1.2 s after the bound plus a lease duration")
	}
	restored := New(params())
	if err := restored.Restore(m.Snapshot(), 9, 0); err != nil {
		t.Fatal(err)
	}
	restored.BeginTerm(4<<24, time.Minute)
	if o := restored.Machines[1]; !o.Suspect || o.LeaseExpired(bound, lease, 0, time.Minute+bound+lease, 2) ||
		!o.LeaseExpired(bound, lease, 0, 2*time.Minute, 2) {
		t.Error("after a restore: machine not suspect, or lease expiry not counted from the new leader's election")
	}
	apply(EntryTrust, 12*time.Second)
	if machine.LeaseExpired(bound, lease, 0, time.Hour, 2) || !machine.IsUsable() || len(machine.Runs) != 1 {
		t.Error("after EntryTrust: lease counts as expired, machine is not usable, or its run was ended")
	}
	apply(EntrySuspect, 13*time.Second)
	apply(EntryLeaseExpired, time.Minute)
	if len(machine.Runs) != 0 || m.Jobs[7].Tasks[0].State != Waiting || run.Machine.IsUsable() {
		t.Error("after the lease expiry the task does not wait again, or the machine is usable")
	}
}
