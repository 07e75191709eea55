package model

import (
	"testing"

	"fieldhill/internal/config"
	"fieldhill/internal/testing/virtualtime"
	"fieldhill/wire"
)

func TestMain(m *testing.M) { virtualtime.MainRapid(m, 300) }

func params() *config.Params {
	return &config.Params{Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "red", CPUsMax: 6}, {Name: "blue"}}}
}

func testSpec(n uint64, tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID:       wire.JobID(n),
		Class:    "c",
		Team:     "red",
		Shape:    wire.Array,
		Priority: wire.Low,
		Tasks:    tasks,
		CPUs:     1,
		MemoryGB: 1,
		Image:    "i",
		ImageGB:  1,
	}
}

func testType() *wire.MachineType {
	return &wire.MachineType{Name: "t", CPUs: 4, MemoryGB: 8, CacheGB: 10, Zones: []string{"a"}}
}

func testInfo(n string) *MachineInfo { return &MachineInfo{Name: n, Addr: "x:1", Type: "t", Zone: "a"} }

// newPlacedModel returns a model led in term 3 with a job of two tasks, the first of which is placed on a machine in
// agent epoch 1.
func newPlacedModel(t *testing.T) (*Model, *Machine, *Run) {
	t.Helper()
	m := New(params())
	applyAll(t, m, NewMachineType(testType()), NewMachine(1, 0, testInfo("host-1")), NewAcceptance(testSpec(7, 2), 0))
	m.BeginTerm(3<<24, 0)
	machine := m.Machines[1]
	m.Observe(machine, testReport(1, 1, 3<<24), nil, 0)
	if err := m.Apply(NewPlacement(7, 0, 1, 1, 1), 4, 0); err != nil {
		t.Fatal(err)
	}
	return m, machine, m.Jobs[7].Tasks[0].Run
}

func testReport(epoch, seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine:      "host-1",
		Addr:         "x:1",
		Type:         "t",
		Zone:         "a",
		AgentEpoch:   epoch,
		Seq:          seq,
		FencingToken: token,
		Tasks:        tasks,
	}
}

// testStatus returns the status of the first attempt of the task that newPlacedModel places.
func testStatus(state, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: "req-000007/0", Attempt: 1, State: state, Cause: cause}
}

func verbs(cmds []wire.Command) (v []string) {
	for _, c := range cmds {
		v = append(v, c.Verb+" "+c.Task)
	}
	return v
}
