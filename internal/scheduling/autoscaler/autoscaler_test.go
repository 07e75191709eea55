package autoscaler

import (
	"fmt"
	"testing"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// newTestModel returns a model with a cheap machine type, an expensive one with GPUs, and the given number of machines
// of each, and an autoscaler for which the cheap type is in backoff.
func newTestModel(t *testing.T, cheap, expensive int) (*model.Model, *Autoscaler, func(e *model.Entry)) {
	t.Helper()
	m := model.New(&config.Params{Zones: []string{"a"}, Teams: []config.Team{{Name: "red", GPUs: 64}}})
	seq := uint64(0)
	apply := func(e *model.Entry) {
		seq++
		if err := m.Apply(e, seq, model.Time(seq)); err != nil {
			t.Fatal(err)
		}
	}
	for _, ty := range []wire.MachineType{
		{
			Name: "cheap", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 0.3,
			Price: 0.5, SpotPrice: 0.1, BootS: 40, Zones: []string{"a"},
		},
		{
			Name: "expensive", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 80, FetchGBPerS: 0.8,
			Price: 25, SpotPrice: 6, BootS: 25, Zones: []string{"a"},
		},
	} {
		apply(&model.Entry{Kind: model.EntryType, Type: &ty})
	}
	for i := range cheap + expensive {
		name := "cheap"
		if i >= cheap {
			name = "expensive"
		}
		id := model.MachineID(i + 1)
		info := &model.MachineInfo{Name: fmt.Sprint("m", i), Type: name, Zone: "a"}
		apply(&model.Entry{Kind: model.EntryMachine, Machine: id, Info: info})
		m.Machines[id].Contact.Reported, m.Machines[id].Contact.AgentEpoch = true, 1
	}
	a := New([]config.Objective{{Kind: "wait", Class: "web", WithinS: 25, Share: 0.9}})
	for _, spot := range []bool{false, true} {
		a.refusals[InstanceOffer{Spot: spot}] = refusal{until: 1 << 62}
	}
	return m, a, apply
}

// webService returns a service of small replicas.
func webService(id uint64, tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID: wire.JobID(id), Class: "web", Team: "red", Shape: wire.Service, Priority: wire.Production,
		Tasks: tasks, CPUs: 4, MemoryGB: 4, Image: "w", ImageGB: 2,
	}
}

// wholeMachineGang returns a gang with one member that fills an expensive machine.
func wholeMachineGang(id uint64) *wire.JobSpec {
	return &wire.JobSpec{
		ID: wire.JobID(id), Class: "gang", Team: "red", Shape: wire.Gang, Priority: wire.High,
		Tasks: 1, CPUs: 94, GPUs: 8, MemoryGB: 600, Image: "g", ImageGB: 7,
	}
}

// placeServices accepts two services with one task each and places them on a machine.
func placeServices(apply func(*model.Entry), from int, on model.MachineID) {
	for i := range 2 {
		id := uint64(from + i)
		apply(model.NewAcceptance(webService(id, 1), 0))
		apply(&model.Entry{
			Kind: model.EntryPlace, Job: model.JobID(id), Task: 0, Attempt: 1, Machine: on, AgentEpoch: 1,
		})
	}
}

// No machine with GPUs may be provisioned for standby services. Such a machine stays idle, is released, and the next
// one is provisioned, each charged for a minute.
func TestNoGPUMachinesForStandby(t *testing.T) {
	m, a, apply := newTestModel(t, 1, 0)
	a.Plan(m, 0)
	placeServices(apply, 1, 1) // the only cheap machine is full, and more arrivals are expected
	if p := a.Plan(m, 60e9); len(p.ScaleOuts) != 0 {
		t.Errorf("scale-outs for standby services: got %+v, want none", p.ScaleOuts)
	}
	gang := wholeMachineGang(9)
	gang.Priority, gang.Tasks, gang.CPUs, gang.SameZone = wire.Normal, 2, 80, true
	apply(model.NewAcceptance(gang, 0))
	p := a.Plan(m, 61e9)
	if len(p.ScaleOuts) != 1 || p.ScaleOuts[0].Count != 2 || m.TypeNames.Name(p.ScaleOuts[0].Type) != "expensive" {
		t.Errorf("scale-outs for a gang of two: got %+v, want 2 expensive machines", p.ScaleOuts)
	}
}

// While leases expire in a partitioned zone, replacement machines must already be provisioned in another zone.
func TestReplacementsForExpiringLeases(t *testing.T) {
	m, a, apply := newTestModel(t, 2, 0)
	a.refusals = map[InstanceOffer]refusal{}
	a.Plan(m, 0)
	placeServices(apply, 1, 1)
	before := a.Plan(m, 60e9)
	apply(&model.Entry{Kind: model.EntrySuspect, Machine: 1})
	apply(&model.Entry{Kind: model.EntrySuspect, Machine: 2})
	if n := requestedMachines(a.Plan(m, 60e9)); n != 0 {
		t.Errorf("requested %d machines in the only zone, which is partitioned", n)
	}
	m.Types[0].ZoneIDs = append(m.Types[0].ZoneIDs, m.Zones.ID("b"))
	if nBefore, nSuspect := requestedMachines(before), requestedMachines(a.Plan(m, 60e9)); nSuspect < nBefore+1 {
		t.Errorf("requested %d machines after all became suspect, want more than the %d before", nSuspect, nBefore)
	}
}

// If there is no other room and nothing can be provisioned, services may use a machine whose gang has a lower priority,
// provided that they fill at least half of it.
func TestServicesDisplaceGangs(t *testing.T) {
	m, a, apply := newTestModel(t, 0, 2)
	for _, spot := range []bool{false, true} {
		a.refusals[InstanceOffer{Type: 1, Spot: spot}] = refusal{until: 1 << 62}
	}
	for n := range 2 {
		id := model.JobID(n + 1)
		apply(model.NewAcceptance(wholeMachineGang(uint64(id)), 0))
		machine := model.MachineID(n + 1)
		apply(&model.Entry{Kind: model.EntryPlace, Job: id, Task: 0, Attempt: 1, Machine: machine, AgentEpoch: 1})
	}
	if p := a.Plan(m, 0); len(p.ServiceSlots) != 0 {
		t.Errorf("services allowed on %d machines, but none is waiting", len(p.ServiceSlots))
	}
	for n := range 10 { // 3 replicas each, 23 fill a machine
		apply(model.NewAcceptance(webService(uint64(8+n), 3), 0))
		want := 0
		if n >= 3 {
			want = 1
		}
		if p := a.Plan(m, model.Time(n+1)*1e9); len(p.ServiceSlots) != want {
			t.Errorf("%d waiting replicas: allowed on %d machines of gangs, want %d", 3*n+3, len(p.ServiceSlots), want)
		}
	}
}

func requestedMachines(p Plan) (n int) {
	for _, scaleOut := range p.ScaleOuts {
		n += scaleOut.Count
	}
	return n
}

// If a machine is overdue while others are up, its demand is covered once by another machine, and it is abandoned
// early. If none is up, all may be slow and are waited for.
func TestOverdueBoots(t *testing.T) {
	t.Run("others are up", func(t *testing.T) { testOverdueBoots(t, true) })
	t.Run("none is up", func(t *testing.T) { testOverdueBoots(t, false) })
}

func testOverdueBoots(t *testing.T, others bool) {
	m, a, apply := newTestModel(t, 0, 1)
	a.refusals = map[InstanceOffer]refusal{}
	a.Plan(m, 0)
	provision := func(id model.MachineID, at int64) *model.Machine {
		info := &model.MachineInfo{Name: fmt.Sprint("new", id), Type: "cheap", Zone: "a"}
		apply(&model.Entry{Kind: model.EntryMachine, Machine: id, WallTimeMS: at, Info: info})
		return m.Machines[id]
	}
	late := provision(10, 1000) // cheap machines boot in 40 s
	for id := model.MachineID(11); id < 13; id++ {
		machine := provision(id, 1000)
		machine.Contact.Reported = others
		if others { // and are fully used
			placeServices(apply, int(id)*10, id)
		}
	}
	apply(model.NewAcceptance(webService(1, 2), 0))
	a.Objectives = nil // no standby demand
	checkAt := func(s int64) ([]*model.Machine, int) {
		abandoned := a.CheckBoots(m, 1000+s*1000, model.Time(s)*1e9, 0)
		return abandoned, requestedMachines(a.Plan(m, model.Time(s)*1e9))
	}
	if abandoned, n := checkAt(60); len(abandoned) != 0 || n != 0 {
		t.Errorf("after 60 s: %d abandoned, %d requested, want none", len(abandoned), n)
	}
	abandoned, n := checkAt(80)
	if overdue := late.Lifecycle.BootOverdue; len(abandoned) != 0 || overdue != others || (n == 1) != others {
		t.Errorf("after 80 s: %d abandoned, overdue %v, %d requested", len(abandoned), overdue, n)
	}
	if n == 1 {
		provision(20, 81_000)
	}
	if abandoned, n = checkAt(110); (len(abandoned) == 1) != others || others && n != 0 {
		t.Errorf("after 110 s: %d abandoned, %d requested", len(abandoned), n)
	}
	if abandoned, _ = checkAt(160); !others && len(abandoned) != 3 {
		t.Errorf("after 160 s: %d machines abandoned, want 3", len(abandoned))
	}
	late.Contact.Reported = true // the machine comes up after it was abandoned
	if checkAt(161); late.Lifecycle.BootOverdue {
		t.Error("a machine that is up is marked as overdue")
	}
}

// Observed boot times are used where they clearly differ from the stated one.
func TestObservedBootTimesReplaceStated(t *testing.T) {
	m, a, _ := newTestModel(t, 1, 1)
	for range 4 {
		a.OnBooted(0, 0, 0.05)
		a.OnBooted(1, 0, 1.2)
	}
	if s := a.bootSeconds(m, 0, 0); s > 3 {
		t.Errorf("expected boot time of cheap machines that boot immediately is %g s, want at most 3", s)
	}
	if s := a.bootSeconds(m, 1, 0); s != 25 {
		t.Errorf("expected boot time of expensive machines is %g s, want 25", s)
	}
}

// A released machine ends the backoff of its offer. Otherwise the replacement of a machine that died waits out the
// backoff although capacity is available.
func TestReleasedCapacityIsRetried(t *testing.T) {
	m, a, apply := newTestModel(t, 0, 0)
	o := InstanceOffer{}
	a.OnAvailable(o)
	for range 4 {
		a.OnRefused(o, 0) // backoff of 80 s
	}
	spec := webService(1, 1)
	spec.Types = []string{"cheap"}
	apply(model.NewAcceptance(spec, 0))
	if n := requestedMachines(a.Plan(m, 10e9)); n != 0 {
		t.Fatalf("requested %d machines during the backoff, want none", n)
	}
	a.OnAvailable(o)
	if n := requestedMachines(a.Plan(m, 10e9)); n != 1 {
		t.Errorf("requested %d machines after one was released, want 1", n)
	}
}

// Low-priority arrays are preempted for services even within their team's guarantee, so services are moved off an
// expensive machine although such arrays fill the cheap one. If the arrays' resources count as taken, the services keep
// the expensive machine, and gangs wait for one indefinitely after a partition.
func TestGuaranteedArraysYieldToServices(t *testing.T) {
	m, a, apply := newTestModel(t, 1, 1)
	m.Teams[0].CPUs = 200
	apply(model.NewAcceptance(wholeMachineGang(9), 0))
	apply(model.NewAcceptance(&wire.JobSpec{
		ID: wire.JobID(8), Class: "low", Team: "red", Shape: wire.Array, Priority: wire.Low,
		Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "l", ImageGB: 1, EstimateS: 60,
	}, 0))
	for k := range int32(8) {
		apply(&model.Entry{Kind: model.EntryPlace, Job: 8, Task: k, Attempt: 1, Machine: 1, AgentEpoch: 1})
	}
	placeServices(apply, 1, 2)
	a.Objectives = nil // nothing is kept ready
	p := a.Plan(m, 60e9)
	if !m.Jobs[8].Scheduling.Guaranteed {
		t.Fatal("the array is not within its team's guarantee")
	}
	if p.DrainTarget != m.Machines[2] {
		t.Error("the expensive machine is not vacated, though low-priority tasks yield to its replicas elsewhere")
	}
}
