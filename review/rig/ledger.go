package main

import (
	"sync"
	"time"

	"fieldhill/wire"
)

// ledger holds the jobs that users submitted, and what the machines did with their tasks.
type ledger struct {
	mu     sync.Mutex
	specs  map[uint64]*wire.JobSpec
	done   map[string]bool
	onBox  map[string]map[string]*machine // by task: the machines that it is on, by name
	starts map[string]int                 // by job
	ends   map[string]int                 // by job: exits of its tasks that were not done
	gangs  map[gangKey]map[string]bool    // tasks that wait for the others or run, by attempt of their gang
}

// gangKey names an attempt of a gang.
type gangKey struct {
	job     string
	attempt uint64
}

// join adds a task to its gang, and gangComplete reports whether all tasks of its attempt have joined.
func (l *ledger) join(t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := gangKey{t.spec.ID, t.attempt}
	if l.gangs[key] == nil {
		l.gangs[key] = map[string]bool{}
	}
	l.gangs[key][t.id] = true
}

func (l *ledger) gangComplete(t *task) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.gangs[gangKey{t.spec.ID, t.attempt}]) == t.spec.Tasks
}

func newLedger() *ledger {
	return &ledger{
		specs: map[uint64]*wire.JobSpec{}, done: map[string]bool{}, onBox: map[string]map[string]*machine{},
		starts: map[string]int{}, ends: map[string]int{}, gangs: map[gangKey]map[string]bool{},
	}
}

func (l *ledger) register(spec *wire.JobSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number, _ := wire.ParseJobID(spec.ID)
	l.specs[number] = spec
}

func (l *ledger) spec(number uint64) *wire.JobSpec {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.specs[number]
}

func (l *ledger) isFinished(task string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done[task]
}

func (l *ledger) finished(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done[task] = true
	number, _, _ := wire.ParseTaskID(task)
	if spec := l.specs[number]; spec.Shape == wire.Gang { // its tasks complete together
		for i := range spec.Tasks {
			l.done[wire.TaskID(number, i)] = true
		}
	}
}

func (l *ledger) put(m *machine, t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onBox[t.id] == nil {
		l.onBox[t.id] = map[string]*machine{}
	}
	l.onBox[t.id][m.name] = m
	l.starts[t.spec.ID]++
}

func (l *ledger) take(m *machine, t *task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.onBox[t.id], m.name)
	delete(l.gangs[gangKey{t.spec.ID, t.attempt}], t.id)
	if !l.done[t.id] {
		l.ends[t.spec.ID]++
	}
}

// tally is how far a job has come.
type tally struct {
	done, present int
	byZone        map[string]int // tasks on machines, by zone
	starts, ends  int
}

func (l *ledger) tally(spec *wire.JobSpec) tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	number, _ := wire.ParseJobID(spec.ID)
	t := tally{byZone: map[string]int{}, starts: l.starts[spec.ID], ends: l.ends[spec.ID]}
	for i := range spec.Tasks {
		id := wire.TaskID(number, i)
		if l.done[id] {
			t.done++
		}
		for _, m := range l.onBox[id] {
			t.present++
			t.byZone[m.zone]++
		}
	}
	return t
}

// usedBy returns the CPUs and GPUs that the tasks of a team use.
func (l *ledger) usedBy(team string) (cpus, gpus float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, boxes := range l.onBox {
		number, _, _ := wire.ParseTaskID(id)
		if spec := l.specs[number]; spec.Team == team {
			cpus += spec.CPUs * float64(len(boxes))
			gpus += spec.GPUs * float64(len(boxes))
		}
	}
	return cpus, gpus
}

// hasRoom reports whether a machine that the next task of a job may use has room for it, while its team is under its
// limit. It returns the machine's name.
func (p *platform) hasRoom(spec *wire.JobSpec) (name string, ok bool) {
	for _, team := range p.params.Teams {
		cpus, gpus := p.usedBy(team.Name)
		if team.Name == spec.Team && (team.CPUsMax > 0 && cpus+spec.CPUs > team.CPUsMax+tolerance ||
			team.GPUsMax > 0 && gpus+spec.GPUs > team.GPUsMax+tolerance) {
			return "", false
		}
	}
	placed := p.tally(spec)
	for _, m := range p.allMachines() {
		if placeAllows(spec, &placed, m) && m.takes(spec) {
			return m.name, true
		}
	}
	return "", false
}

// placeAllows reports whether a job's constraints allow one more task of it on a machine.
func placeAllows(spec *wire.JobSpec, placed *tally, m *machine) bool {
	inZone := placed.byZone[m.zone]
	typeFits := spec.Types == nil
	for _, t := range spec.Types {
		typeFits = typeFits || t == m.typ.Name
	}
	return typeFits && (spec.Zone == nil || *spec.Zone == m.zone) && (!m.spot || spec.Spot) &&
		(!spec.SameZone || placed.present == inZone) && (!spec.Spread || inZone+1 <= (spec.Tasks+1)/2)
}

// takes reports whether a machine is up and well and has room for a task.
func (m *machine) takes(spec *wire.JobSpec) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && !m.gone && time.Now().After(m.sickUntil) && m.slow <= 1 && m.freeFor(spec)
}
