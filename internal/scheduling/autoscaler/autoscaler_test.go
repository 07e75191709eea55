package autoscaler

import (
	"fmt"
	"testing"

	"fieldhill/internal/config"
	"fieldhill/internal/model"
	"fieldhill/wire"
)

// newTestModel is a model with two types of machines, the expensive one with GPUs, and an autoscaler
// that has been refused more of the cheap one.
func newTestModel(t *testing.T, cheap, dear int) (*model.Model, *Autoscaler, func(e *model.Entry)) {
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
			Name: "dear", CPUs: 96, GPUs: 8, MemoryGB: 768, CacheGB: 80, FetchGBPerS: 0.8,
			Price: 25, SpotPrice: 6, BootS: 25, Zones: []string{"a"},
		},
	} {
		apply(&model.Entry{Kind: model.EntryType, Type: &ty})
	}
	for i := range cheap + dear {
		name := "cheap"
		if i >= cheap {
			name = "dear"
		}
		id := model.MachineID(i + 1)
		info := &model.MachineInfo{Name: fmt.Sprint("m", i), Type: name, Zone: "a"}
		apply(&model.Entry{Kind: model.EntryMachine, Machine: id, Info: info})
		m.Machines[id].Contact.Reported, m.Machines[id].Contact.Session = true, 1
	}
	a := New([]config.Objective{{Kind: "wait", Class: "web", WithinS: 25, Share: 0.9}})
	for _, spot := range []bool{false, true} {
		a.refusals[InstanceOffer{Spot: spot}] = refusal{until: 1 << 62}
	}
	return m, a, apply
}

// webService is a service of small replicas.
func webService(id uint64, tasks int) *wire.JobSpec {
	return &wire.JobSpec{
		ID: wire.JobID(id), Class: "web", Team: "red", Shape: wire.Service, Priority: wire.Production,
		Tasks: tasks, CPUs: 4, MemoryGB: 4, Image: "w", ImageGB: 2,
	}
}

// wholeMachineGang is a gang of one member that fills an expensive machine.
func wholeMachineGang(id uint64) *wire.JobSpec {
	return &wire.JobSpec{
		ID: wire.JobID(id), Class: "gang", Team: "red", Shape: wire.Gang, Priority: wire.High,
		Tasks: 1, CPUs: 94, GPUs: 8, MemoryGB: 600, Image: "g", ImageGB: 7,
	}
}

// placeServices accepts two services of a task each and places them on a machine.
func placeServices(apply func(*model.Entry), from int, on model.MachineID) {
	for i := range 2 {
		id := uint64(from + i)
		apply(model.Accepted(webService(id, 1), 0))
		apply(&model.Entry{Kind: model.EntryPlace, Job: model.JobID(id), Task: 0, Attempt: 1, Machine: on, Session: 1})
	}
}

// TestNoGPUMachinesForStandby: no machine with GPUs is provisioned for services that are only
// expected. It stood idle, was released, and the next one was provisioned, a minute's
// price each time.
func TestNoGPUMachinesForStandby(t *testing.T) {
	m, a, apply := newTestModel(t, 1, 0)
	a.Plan(m, 0)
	placeServices(apply, 1, 1) // the only cheap machine is full, and more will come
	if p := a.Plan(m, 60e9); len(p.ScaleOuts) != 0 {
		t.Errorf("provisions %+v for services that are expected", p.ScaleOuts)
	}
	gang := wholeMachineGang(9)
	gang.Priority, gang.Tasks, gang.CPUs, gang.SameZone = wire.Normal, 2, 80, true
	apply(model.Accepted(gang, 0))
	p := a.Plan(m, 61e9)
	if len(p.ScaleOuts) != 1 || p.ScaleOuts[0].Count != 2 || m.TypeNames.Name(p.ScaleOuts[0].Type) != "dear" {
		t.Errorf("provisions %+v for a gang of two", p.ScaleOuts)
	}
}

// TestReplacementsForExpiringLeases: while leases expire in a partitioned zone, machines for
// what is there are provisioned already, in another zone.
func TestReplacementsForExpiringLeases(t *testing.T) {
	m, a, apply := newTestModel(t, 2, 0)
	a.refusals = map[InstanceOffer]refusal{}
	a.Plan(m, 0)
	placeServices(apply, 1, 1)
	before := a.Plan(m, 60e9)
	apply(&model.Entry{Kind: model.EntrySuspect, Machine: 1})
	apply(&model.Entry{Kind: model.EntrySuspect, Machine: 2})
	if n := scaledOut(a.Plan(m, 60e9)); n != 0 {
		t.Errorf("provisions %d machines in the partitioned zone, the only one", n)
	}
	m.Types[0].ZoneIDs = append(m.Types[0].ZoneIDs, m.Zones.ID("b"))
	if n, k := scaledOut(before), scaledOut(a.Plan(m, 60e9)); k < n+1 {
		t.Errorf("provisions %d machines, %d before the only ones became suspect", k, n)
	}
}

// TestServicesDisplaceGangs: when nothing else is there and nothing can be provisioned, services
// may go where a gang of lower priority has to leave, if they fill half of its room.
func TestServicesDisplaceGangs(t *testing.T) {
	m, a, apply := newTestModel(t, 0, 2)
	for _, spot := range []bool{false, true} {
		a.refusals[InstanceOffer{Type: 1, Spot: spot}] = refusal{until: 1 << 62}
	}
	for n := range 2 {
		id := model.JobID(n + 1)
		apply(model.Accepted(wholeMachineGang(uint64(id)), 0))
		machine := model.MachineID(n + 1)
		apply(&model.Entry{Kind: model.EntryPlace, Job: id, Task: 0, Attempt: 1, Machine: machine, Session: 1})
	}
	if p := a.Plan(m, 0); len(p.ForServices) != 0 {
		t.Errorf("services may go to %d machines although none waits", len(p.ForServices))
	}
	for n := range 10 { // 3 replicas each, 23 fill a machine
		apply(model.Accepted(webService(uint64(8+n), 3), 0))
		want := 0
		if n >= 3 {
			want = 1
		}
		if p := a.Plan(m, model.Time(n+1)*1e9); len(p.ForServices) != want {
			t.Errorf("%d replicas may go to %d machines of gangs", 3*n+3, len(p.ForServices))
		}
	}
}

func scaledOut(p Plan) (n int) {
	for _, h := range p.ScaleOuts {
		n += h.Count
	}
	return n
}

// TestLateBoots: a machine that does not come up while others do is covered anew, once,
// and abandoned early; when none comes up, all may be slow, and they are waited for.
func TestLateBoots(t *testing.T) {
	t.Run("others are up", func(t *testing.T) { testLateBoots(t, true) })
	t.Run("none is up", func(t *testing.T) { testLateBoots(t, false) })
}

func testLateBoots(t *testing.T, others bool) {
	m, a, apply := newTestModel(t, 0, 1)
	a.refusals = map[InstanceOffer]refusal{}
	a.Plan(m, 0)
	provision := func(id model.MachineID, at int64) *model.Machine {
		info := &model.MachineInfo{Name: fmt.Sprint("new", id), Type: "cheap", Zone: "a"}
		apply(&model.Entry{Kind: model.EntryMachine, Machine: id, At: at, Info: info})
		return m.Machines[id]
	}
	late := provision(10, 1000) // cheap machines boot for 40 s
	for id := model.MachineID(11); id < 13; id++ {
		machine := provision(id, 1000)
		machine.Contact.Reported = others
		if others { // and they are taken
			placeServices(apply, int(id)*10, id)
		}
	}
	apply(model.Accepted(webService(1, 2), 0))
	a.Objectives = nil // nothing is kept ready
	checkAt := func(s int64) ([]*model.Machine, int) {
		abandoned := a.CheckBoots(m, 1000+s*1000, model.Time(s)*1e9, 0)
		return abandoned, scaledOut(a.Plan(m, model.Time(s)*1e9))
	}
	if abandoned, n := checkAt(60); len(abandoned) != 0 || n != 0 {
		t.Errorf("after 60 s: %d abandoned, %d provisioned", len(abandoned), n)
	}
	abandoned, n := checkAt(80)
	if overdue := late.Lifecycle.BootOverdue; len(abandoned) != 0 || overdue != others || (n == 1) != others {
		t.Errorf("after 80 s: %d abandoned, overdue %v, %d provisioned", len(abandoned), overdue, n)
	}
	if n == 1 {
		provision(20, 81_000)
	}
	if abandoned, n = checkAt(110); (len(abandoned) == 1) != others || others && n != 0 {
		t.Errorf("after 110 s: %d abandoned, %d provisioned", len(abandoned), n)
	}
	if abandoned, _ = checkAt(160); !others && len(abandoned) != 3 {
		t.Errorf("after 160 s %d of 3 are abandoned", len(abandoned))
	}
	late.Contact.Reported = true // it comes up all the same, and is of use
	if checkAt(161); late.Lifecycle.BootOverdue {
		t.Error("a machine that has come up counts as late")
	}
}

// TestBootTimesAreLearnt: what machines took of late counts where it differs clearly from what the cloud says.
func TestBootTimesAreLearnt(t *testing.T) {
	m, a, _ := newTestModel(t, 1, 1)
	for range 4 {
		a.OnBooted(0, 0, 0.05)
		a.OnBooted(1, 0, 1.2)
	}
	if s := a.bootSeconds(m, 0, 0); s > 3 {
		t.Errorf("cheap machines that are up at once are expected after %g s", s)
	}
	if s := a.bootSeconds(m, 1, 0); s != 25 {
		t.Errorf("expensive machines are expected after %g s", s)
	}
}

// TestReleasedCapacityIsRetried: what the cloud took back it has again. While an offer was refused, the
// replacement of a machine that had died waited out the pause.
func TestReleasedCapacityIsRetried(t *testing.T) {
	m, a, apply := newTestModel(t, 0, 0)
	o := InstanceOffer{}
	a.OnAvailable(o)
	for range 4 {
		a.OnRefused(o, 0) // a pause of 80 s
	}
	spec := webService(1, 1)
	spec.Types = []string{"cheap"}
	apply(model.Accepted(spec, 0))
	if n := scaledOut(a.Plan(m, 10e9)); n != 0 {
		t.Fatalf("%d machines are asked for in the pause", n)
	}
	a.OnAvailable(o)
	if n := scaledOut(a.Plan(m, 10e9)); n != 1 {
		t.Errorf("%d machines are asked for once the cloud took one back", n)
	}
}

// TestGuaranteedArraysYieldToServices: low-priority arrays leave for services also when they are within their
// team's guarantee, so an expensive machine that services hold is emptied though such arrays fill the cheap
// one. Their room counted as taken, and after a partition gangs waited for expensive machines until the day's end.
func TestGuaranteedArraysYieldToServices(t *testing.T) {
	m, a, apply := newTestModel(t, 1, 1)
	m.Teams[0].CPUs = 200
	apply(model.Accepted(wholeMachineGang(9), 0))
	apply(model.Accepted(&wire.JobSpec{
		ID: wire.JobID(8), Class: "low", Team: "red", Shape: wire.Array, Priority: wire.Low,
		Tasks: 8, CPUs: 1, MemoryGB: 1, Image: "l", ImageGB: 1, EstimateS: 60,
	}, 0))
	for k := range int32(8) {
		apply(&model.Entry{Kind: model.EntryPlace, Job: 8, Task: k, Attempt: 1, Machine: 1, Session: 1})
	}
	placeServices(apply, 1, 2)
	a.Objectives = nil // nothing is kept ready
	p := a.Plan(m, 60e9)
	if !m.Jobs[8].Scheduling.Guaranteed {
		t.Fatal("the array is not within the guarantee")
	}
	if p.Vacate != m.Machines[2] {
		t.Errorf("the expensive machine is kept for two replicas, though eight low-priority tasks hold the cheap one")
	}
}
