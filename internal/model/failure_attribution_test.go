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
