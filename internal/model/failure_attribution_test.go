package model

import (
	"fmt"
	"testing"

	"fieldhill/wire"
)

// TestServiceStaysFaultyBesideRunningReplicas guards against a service that counts as faulty for good, and whose lost
// replicas are never placed again, because two machines were faulty for a while: its replicas never complete, so one
// that outlives the failures must prove that the service is not faulty.
func TestServiceStaysFaultyBesideRunningReplicas(t *testing.T) {
	for _, failedAfter := range []Time{1e9, 20e9} {
		m := New(params())
		spec := testSpec(7, 3)
		spec.Shape = wire.Service
		applyAll(t, m, NewMachineType(testType()), NewAcceptance(spec, 0))
		m.BeginTerm(3<<24, 0)
		seqs := map[MachineID]uint64{}
		report := func(id MachineID, now Time, tasks ...wire.TaskStatus) {
			seqs[id]++
			v := m.Observe(m.Machines[id], testReport(1, seqs[id], 3<<24, tasks...), nil, now)
			applyAll(t, m, v.Entries...)
		}
		status := func(id MachineID, state, cause string) wire.TaskStatus {
			return wire.TaskStatus{Task: fmt.Sprint("req-000007/", id-1), Attempt: 1, State: state, Cause: cause}
		}
		for id := MachineID(1); id <= 3; id++ {
			applyAll(t, m, NewMachine(id, 0, testInfo(fmt.Sprint("host-", id))))
			report(id, 0)
			applyAll(t, m, NewPlacement(7, int32(id-1), 1, id, 1))
			report(id, 1e9, status(id, wire.TaskRunning, ""))
		}
		j := m.Jobs[7]
		for id := MachineID(2); id <= 3; id++ {
			report(id, 1e9+failedAfter, status(id, wire.TaskExited, wire.CauseError))
		}
		if !j.Observed.Faulty || j.Placeable() != 0 {
			t.Fatalf("after failures on two machines: faulty %v, placeable %d; want true, 0", j.Observed.Faulty,
				j.Placeable())
		}
		proven := 1e9 + max(minProvingRun, provingRunFactor*failedAfter)
		report(1, proven-1e9, status(1, wire.TaskRunning, ""))
		if !j.Observed.Faulty {
			t.Errorf("failures after %v: a replica proved the service not faulty too early", failedAfter)
		}
		report(1, proven, status(1, wire.TaskRunning, ""))
		if j.Observed.Faulty || j.Placeable() != 2 {
			t.Errorf("failures after %v: beside a running replica: faulty %v, placeable %d; want false, 2", failedAfter,
				j.Observed.Faulty, j.Placeable())
		}
	}
}

// TestMachineStaysQuarantinedForGood guards against a machine that never gets a task again, because two jobs that may
// run on no other machine failed there.
func TestMachineStaysQuarantinedForGood(t *testing.T) {
	const quarantined, ended = 12e9, 12e9 + quarantinePeriod
	for _, c := range []struct {
		name   string
		change func(failed []*Job)
		until  Time
	}{
		{"jobs neither cancelled nor faulty", func([]*Job) {}, ended},
		{"one cancelled", func(failed []*Job) { failed[0].Cancelled = true }, quarantined},
		{"one faulty", func(failed []*Job) { failed[1].Observed.Faulty = true }, quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, machine, run := newPlacedModel(t)
			applyAll(t, m, NewAcceptance(testSpec(8, 1), 0), NewPlacement(8, 0, 1, 1, 1))
			failed := []*Job{run.Job, m.Jobs[8]}
			for _, j := range failed {
				attributeFailure(machine, j.Tasks[0].Run, 1e9)
			}
			m.UpdateQuarantine(machine, quarantined)
			if !machine.Health.Quarantined {
				t.Fatal("the machine is not quarantined after two jobs failed there")
			}
			c.change(failed)
			m.UpdateQuarantine(machine, c.until-1e9)
			if c.until == ended && !machine.Health.Quarantined {
				t.Error("the quarantine ended too early")
			}
			m.UpdateQuarantine(machine, c.until)
			if machine.Health.Quarantined || !machine.IsUsable() {
				t.Error("the machine stays quarantined")
			}
		})
	}
}
