// Package model owns what the service believes: jobs, tasks, machines, teams,
// and what is evidence for a change. It is pure: entries, reports and the time
// go in, entries to log and commands to give come out.
//
// The replicated part (jobs, placements, machines, final states) changes only
// through Apply, with the log's entries in the log's order, so every node that
// read the same log believes the same. Observations (sessions, phases, caches)
// belong to the node that leads and are gathered anew by each leader.
//
// Invariants:
//   - a task has at most one Run, from the entry that placed it until evidence
//     that it is gone (rule: ran_twice);
//   - a Run counts against its team, zone and machine as long as it exists,
//     whatever its job has become (rules: quota, wrong_place).
package model

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"fieldhill/internal/agents/lease"
	"fieldhill/internal/agents/staleness"
	"fieldhill/internal/config"
	"fieldhill/internal/intern"
	"fieldhill/internal/scheduling/pending"
	"fieldhill/wire"
)

// Time is steady time since the process began.
type Time = time.Duration

// JobID is a job's number.
type JobID uint64

// MachineID numbers machines in the order in which the log names them.
type MachineID uint32

// Kind is a job's shape.
type Kind uint8

// The shapes.
const (
	Array Kind = iota
	Gang
	Service
)

// Priority orders jobs; higher is more urgent.
type Priority uint8

// The priorities.
const (
	Low Priority = iota
	Normal
	High
	Production
)

// TaskState is the replicated state of a task.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Placed
	Done
)

// Phase is what the machine last said of a run.
type Phase uint8

// The phases.
const (
	Unseen Phase = iota // placed; its machine has not spoken of it yet
	Fetching
	AwaitingGang
	Running
	Saving
)

// Final is how a job ended.
type Final uint8

// The final states.
const (
	FinalDone Final = iota + 1
	FinalCancelled
)

const epsilon = 1e-6

// Task is one task of a job.
type Task struct {
	State   TaskState
	Attempt uint32 // the latest attempt
	Run     *Run
}

// Job is an accepted job that is not over, or has tasks that are not gone.
type Job struct {
	ID         JobID
	Spec       *wire.JobSpec
	Kind       Kind
	Priority   Priority
	Team       *Team
	Class      int32
	Image      int32
	Zone       int32   // -1: any
	Types      []int32 // nil: any
	TypesKey   string  // equal for jobs that allow the same types
	Tasks      []Task
	Done       int
	Live       int // tasks with a Run
	Running    int // runs seen running or saving
	Cancelled  bool
	Order      uint64 // order of acceptance
	At         int64  // time of day of acceptance, ms
	AcceptSeq  uint64
	FinalSeq   uint64
	retryTasks []int32
	nextTask   int32
	settled    bool // it is settled
	started    bool // a task of it was placed

	Scheduling JobScheduling
	Observed   JobObservation
}

// JobScheduling is what the leader's scheduler keeps of a job between rounds; the log does not have it.
type JobScheduling struct {
	// What the leader keeps for scheduling.
	WaitedRounds   int            // rounds spent waiting for a busy machine with the image
	PendingReason  pending.Reason // what was in the way of its next task when last looked at
	reasonHistory  [maxReasonHistory]ReasonSince
	NotBefore      Time
	LocalRoomSince Time // when room was last begun to be made where its image is; 0: never
	// it fits into its team's guarantee together with the team's earlier unfinished jobs
	WithinGuarantee bool
	Guaranteed      bool // it is served as within the guarantee
	Deferrable      bool // its part of the guarantee may wait for what is owed
	UnderServed     bool // its class or team is served for too little of its work (the floor)
	Rank            int  // who has a higher one is served before it
}

// JobObservation is what this replica, or this leader, has observed of a job; the log does not have it.
type JobObservation struct {
	// CancelledFrom is from when its cancellation counts at the earliest; 0: for longer than this replica has followed.
	CancelledFrom Time
	Errors        int
	FailedOn      map[MachineID]Time // machines where a task of it failed, and when last
	Faulty        bool               // it fails on every machine, as far as was seen
	pauses        int                // how often it was paused for that
	taskTimes     average            // of its completed tasks' times, in logarithms
	KnownSince    Time               // when this node learnt of it
}

// Waiting counts the tasks that want a place.
func (j *Job) Waiting() int {
	if j.Cancelled {
		return 0
	}
	return len(j.Tasks) - j.Done - j.Live
}

// NextWaiting finds a task that wants a place, or -1.
func (j *Job) NextWaiting() int32 {
	if j.Waiting() == 0 {
		return -1
	}
	for n := len(j.retryTasks); n > 0; n-- {
		t := j.retryTasks[n-1]
		if j.Tasks[t].State == Waiting {
			return t
		}
		j.retryTasks = j.retryTasks[:n-1]
	}
	for ; int(j.nextTask) < len(j.Tasks); j.nextTask++ {
		if j.Tasks[j.nextTask].State == Waiting {
			return j.nextTask
		}
	}
	return -1
}

// ZoneCount counts the tasks that are placed in a zone, and in any other.
func (j *Job) ZoneCount(zone int32) (inZone, elsewhere int) {
	if j.Live == 0 {
		return 0, 0
	}
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			if r.Machine.Zone == zone {
				inZone++
			} else {
				elsewhere++
			}
		}
	}
	return inZone, elsewhere
}

// Run is an attempt of a task that is placed and not evidently gone.
type Run struct {
	Job               *Job
	Task              int32
	Attempt           uint32
	Machine           *Machine
	Session           uint64
	PlacedSeq         uint64 // the log's sequence number of its placement
	Phase             Phase
	PlacedAt          Time
	StartedAt         Time   // when it was first seen running
	Stop              bool   // it is to be stopped
	Hard              bool   // without saving
	Inherited         bool   // placed by an earlier leader, whose commands may be under way
	answeredReportSeq uint64 // the report whose answer carried its start; 0: none under way
	goneFromToken     uint64 // a report that it is gone counts from this token on; 0: none said so
	seenObservation   uint64
}

// IsUnsent tells whether no start of the run can have been sent by anybody: starts
// go out once the placement is committed.
func (r *Run) IsUnsent(committed uint64) bool {
	return r.Phase == Unseen && !r.Inherited && r.PlacedSeq > committed
}

// IsWanted tells whether the run should go on.
func (r *Run) IsWanted() bool { return !r.Stop && !r.Job.Cancelled }

type runKey struct {
	job     JobID
	task    int32
	attempt uint32
}

func (r *Run) key() runKey { return runKey{r.Job.ID, r.Task, r.Attempt} }

// Team is an owner of jobs.
type Team struct {
	config.Team
	Index              int // in Model.Teams
	UsedCPUs, UsedGPUs float64
	LiveTasks          int // of its unfinished jobs, not completed
}

// Type is a machine type.
type Type struct {
	wire.MachineType
	ZoneIDs []int32
	Known   bool
}

type cachedImage struct {
	image    int32
	sizeGB   float64
	lastUsed Time
}

// pendingFetch is an image that runs wait for: how many, and how large it is.
type pendingFetch struct {
	image       int32
	waitingRuns int32
	sizeGB      float64
}

// ReservedResources is the room that services without GPUs have taken of a machine: it does
// not give way.
type ReservedResources struct{ CPUs, GPUs, Mem float64 }

// Machine is a rented machine that is not evidently gone.
type Machine struct {
	ID       MachineID
	Info     MachineInfo
	Type     int32
	Zone     int32
	Spot     bool
	At       int64 // time of day when the log first named it, ms
	Runs     []*Run
	CPUs     float64 // in use
	GPUs     float64
	Mem      float64
	Reserved ReservedResources // of that, what services without GPUs hold
	cache    []cachedImage
	fetches  []pendingFetch

	// Suspect tells that the log forbids all nodes but the leader to renew its
	// lease: it has long said nothing.
	Suspect bool
	// Releasing tells that its return is under way. No token fences a deletion: one
	// that was decided before its leader stood still, or was held by the network, may
	// be carried out at any later time. So the log has it first, and no later leader
	// gives the machine work; it repeats the deletion until the cloud answers.
	Releasing  bool
	ReleaseSeq uint64 // the log's number of that

	suspectSeq uint64 // the log's number of the entry that made it suspect
	Contact    MachineContact
	Health     MachineHealth
	Lifecycle  MachineLifecycle
}

// MachineContact is what this leader has observed of a machine's agent since its term began; the log does not have it.
type MachineContact struct {
	// What the leader observes.
	Session               uint64
	Reports               staleness.Tracker // what was heard of its worker
	InboundPartitionSince Time              // since when answers are known not to arrive; 0: they do
	TokenBump             uint64
	Reported              bool // it has reported to this leader
	LastReport            Time
	KnownSince            Time
	// since when its reports reach no controller, though it answers: its lease ran out; 0: they do
	OutboundPartitionSince Time
	// SuspectFrom is since when every node that may renew the lease of a suspect
	// machine either knows of that or has a copy of the log older than this.
	SuspectFrom      Time
	Renewals         lease.ExpiryProof // what the other nodes said of its lease since
	DirectInFlight   bool              // a direct command is under way
	Probing          bool              // it is being asked how it is
	ProbedAt         Time              // when it was last asked because of what it said
	DirectFailed     bool              // the last direct command got no answer
	unresolvedStarts map[runKey]startTokens
	reapable         []reapableTask
	observation      uint64
	lastObservedAt   Time // when it was last observed
	silenceEndedAt   Time // when it was last heard of again after a silence
}

// MachineHealth is how well a machine has served this leader's tasks; the log does not have it.
type MachineHealth struct {
	Quarantined     bool // distrusted
	SlowUntil       Time // it was found to be slow, and gets only services until then
	Failures        int  // errors since the last completion
	FailedJobs      map[JobID]*Job
	DoubtSince      Time    // since when it gets nothing new, because jobs failed on it; 0: it does
	pace            average // of its tasks' times against those of their peers
	paceJobs        int     // by how many jobs, as far as they took turns
	lastPaceJob     JobID
	lastOnTimeStart Time // when the last one began that completed in time
	slowFoundAt     Time // when it was last found to be slow
	slowCount       int  // how often
}

// MachineLifecycle is from when to when this leader counts on a machine; the log does not have it.
type MachineLifecycle struct {
	ProvisionedAt Time // when this leader rented it; 0: another did
	BootOverdue   bool // it should have come up by now
	PreemptionAt  Time // when the cloud takes it; 0: no notice
	Draining      bool // gets no new work and is returned when empty
	IdleSince     Time
}

// startTokens holds the tokens of direct starts: of the one that waits for its
// answer, and of the last one that got none. 0: none.
type startTokens struct{ awaiting, lost uint64 }

type reapableTask struct {
	key    runKey
	exited bool
	seq    uint64
}

// Model is everything.
type Model struct {
	Images, Classes, Zones, TypeNames intern.Table
	Jobs                              map[JobID]*Job
	Finals                            map[JobID]Final
	Machines                          map[MachineID]*Machine
	Order                             []*Machine // by id
	ByName                            map[string]*Machine
	Teams                             []*Team
	// by class and by team index; the former may be shorter than Classes
	ByClass, ByTeam []CompletionStats
	teamByName      map[string]*Team
	// live jobs in the order of acceptance, and settled ones until the next look
	jobsInOrder   []*Job
	settledCount  int    // how many of jobsInOrder are settled
	Types         []Type // by type index
	Tombstones    map[string]bool
	GangWait      Time // how long a gang's member waits for the others, by the platform
	tombstoneRing []string
	maxFleetSize  int // how many machines there were at once at most, as far as this process knows
	NextMachine   MachineID
	Intents       []Intent // rentals that may be under way, in the order of the log
	jobOrder      uint64
	LiveTasks     int
	finalSeqs     map[JobID]uint64 // log number of recent final states
	// by class: by how much its owners' estimates were wrong, in logarithms
	classBias []average

	// TermBase is the lowest token of the present term.
	TermBase uint64
}

// New makes an empty model.
func New(p *config.Params) *Model {
	m := &Model{
		Jobs: map[JobID]*Job{}, Finals: map[JobID]Final{}, Machines: map[MachineID]*Machine{},
		ByName: map[string]*Machine{}, teamByName: map[string]*Team{}, Tombstones: map[string]bool{},
		finalSeqs: map[JobID]uint64{}, NextMachine: 1, GangWait: config.Seconds(p.Workers.GangWaitS),
	}
	for _, t := range p.Teams {
		team := &Team{Team: t, Index: len(m.Teams)}
		m.Teams = append(m.Teams, team)
		m.teamByName[t.Name] = team
	}
	m.ByTeam = make([]CompletionStats, len(m.Teams))
	for _, z := range p.Zones {
		m.Zones.ID(z)
	}
	return m
}

// TeamOf finds a team; nil if the settings don't name it.
func (m *Model) TeamOf(name string) *Team { return m.teamByName[name] }

func kindOf(s string) Kind {
	switch s {
	case wire.Gang:
		return Gang
	case wire.Service:
		return Service
	}
	return Array
}

func priorityOf(s string) Priority {
	switch s {
	case wire.Production:
		return Production
	case wire.High:
		return High
	case wire.Normal:
		return Normal
	}
	return Low
}

// TypesKnown tells whether the cloud's offer is known.
func (m *Model) TypesKnown() bool {
	for i := range m.Types {
		if m.Types[i].Known {
			return true
		}
	}
	return false
}

// typeIndex returns the slot of a type.
func (m *Model) typeIndex(name string) int32 {
	id := m.TypeNames.ID(name)
	for int(id) >= len(m.Types) {
		m.Types = append(m.Types, Type{})
	}
	return id
}

// TypeOf returns a machine's type.
func (m *Model) TypeOf(machine *Machine) *Type { return &m.Types[machine.Type] }

// CanEverRun says why a job can never run, or "".
func (m *Model) CanEverRun(s *wire.JobSpec) string {
	team := m.teamByName[s.Team]
	if team == nil {
		return "unknown team"
	}
	n := 1.0
	if kindOf(s.Shape) != Array {
		n = float64(s.Tasks)
	}
	if (team.CPUsMax > 0 && s.CPUs*n > team.CPUsMax+epsilon) || (team.GPUsMax > 0 && s.GPUs*n > team.GPUsMax+epsilon) {
		return "over the team's limit"
	}
	zones := map[int32]bool{}
	for i := range m.Types {
		t := &m.Types[i]
		if !t.Known || s.CPUs > t.CPUs+epsilon || s.GPUs > t.GPUs+epsilon || s.MemoryGB > t.MemoryGB+epsilon ||
			!allowsType(s, t.Name) {
			continue
		}
		for _, z := range t.ZoneIDs {
			if s.Zone == nil || m.Zones.Name(z) == *s.Zone {
				zones[z] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case kindOf(s.Shape) == Gang && s.Tasks > 1 && s.Spread && (s.SameZone || len(zones) < 2):
		return "spread leaves no place for all tasks of the gang in one zone"
	}
	return ""
}

func allowsType(s *wire.JobSpec, name string) bool {
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == name {
			return true
		}
	}
	return false
}

// AllowsMachine tells whether a job may use a machine's type, zone and kind at all.
func (j *Job) AllowsMachine(typ, zone int32, spot bool) bool {
	if spot && !j.Spec.Spot || j.Zone >= 0 && j.Zone != zone {
		return false
	}
	if j.Types == nil {
		return true
	}
	for _, t := range j.Types {
		if t == typ {
			return true
		}
	}
	return false
}

// ZoneAllows tells whether one more task of the job may start in a zone, given
// where the others are. Tasks of old attempts count until they are gone.
func (j *Job) ZoneAllows(zone int32) bool {
	if !j.Spec.SameZone && !j.Spec.Spread {
		return true
	}
	inZone, elsewhere := j.ZoneCount(zone)
	if j.Spec.SameZone && elsewhere > 0 {
		return false
	}
	return !j.Spec.Spread || inZone+1 <= (len(j.Tasks)+1)/2
}

// Fits tells whether a task of the job has room on a machine.
func (m *Model) Fits(j *Job, machine *Machine) bool {
	t := &m.Types[machine.Type]
	return t.Known && machine.CPUs+j.Spec.CPUs <= t.CPUs+epsilon && machine.GPUs+j.Spec.GPUs <= t.GPUs+epsilon &&
		machine.Mem+j.Spec.MemoryGB <= t.MemoryGB+epsilon
}

// TeamLimitAllows tells whether n more tasks keep the team's limit.
func (j *Job) TeamLimitAllows(n int) bool {
	t := j.Team
	if t == nil {
		return false
	}
	return (t.CPUsMax == 0 || t.UsedCPUs+j.Spec.CPUs*float64(n) <= t.CPUsMax+epsilon) &&
		(t.GPUsMax == 0 || t.UsedGPUs+j.Spec.GPUs*float64(n) <= t.GPUsMax+epsilon)
}

// IsUsable tells whether a machine may be given work.
func (machine *Machine) IsUsable() bool {
	return machine.Contact.Reported && !machine.IsLeaving() && !machine.Releasing && !machine.Suspect &&
		machine.Health.DoubtSince == 0 &&
		machine.Contact.InboundPartitionSince == 0
}

// Apply carries out one entry of the log.
func (m *Model) Apply(e *Entry, seq uint64, now Time) error {
	switch e.Kind {
	case EntryAccept:
		return m.acceptJob(e, seq, now)
	case EntryCancel:
		if j := m.Jobs[e.Job]; j != nil && !j.Cancelled {
			j.Cancelled = true
			j.FinalSeq = seq
			m.settle(j, now)
		}
	case EntryPlace:
		return m.placeTask(e, seq, now)
	case EntryEnded:
		if r := m.findRun(e.Job, e.Task, e.Attempt); r != nil {
			m.dropRun(r, now)
			m.settle(r.Job, now)
		}
	case EntryDone:
		j := m.Jobs[e.Job]
		if j == nil || int(e.Task) >= len(j.Tasks) {
			return nil
		}
		t := &j.Tasks[e.Task]
		if r := t.Run; r != nil {
			r.Machine.TouchImage(m, j, now)
			m.dropRun(r, now)
		}
		if t.State != Done {
			t.State = Done
			m.taskCompleted(j)
		}
		if j.Done == len(j.Tasks) && !j.Cancelled {
			j.FinalSeq = seq
		}
		m.settle(j, now)
	case EntryMachine:
		m.addMachine(e, now)
	case EntryGone:
		m.removeMachine(e.Machine, now)
	case EntryRelease:
		if machine := m.Machines[e.Machine]; machine != nil && !machine.Releasing {
			machine.Releasing, machine.ReleaseSeq = true, seq
		}
	case EntrySuspect, EntryTrust, EntryLeaseExpired:
		machine := m.Machines[e.Machine]
		if machine == nil {
			return nil
		}
		machine.Suspect, machine.Contact.SuspectFrom, machine.suspectSeq, machine.Contact.Renewals = e.Kind != EntryTrust, 0, seq, lease.ExpiryProof{}
		if e.Kind == EntryLeaseExpired {
			m.dropRuns(machine, now)
		}
	case EntryIntent:
		if m.intentIndex(e.Info.Name) < 0 {
			m.Intents = append(
				m.Intents,
				Intent{
					Name:  e.Info.Name,
					Type:  e.Info.Type,
					Zone:  e.Info.Zone,
					Spot:  e.Info.Spot,
					Count: e.Count,
					Seq:   seq,
				},
			)
		}
	case EntryIntentDone:
		if i := m.intentIndex(e.Info.Name); i >= 0 {
			m.Intents = slices.Delete(m.Intents, i, i+1)
		}
	case EntryType:
		id := m.typeIndex(e.Type.Name)
		t := &m.Types[id]
		t.MachineType, t.Known, t.ZoneIDs = *e.Type, true, nil
		for _, z := range e.Type.Zones {
			t.ZoneIDs = append(t.ZoneIDs, m.Zones.ID(z))
		}
	default:
		return fmt.Errorf("model: unknown entry kind %d", e.Kind)
	}
	return nil
}

// Intent is a rental whose fate is not known. The log has it before anybody asks the cloud, so whoever has to finish
// it does so under the same name, and it rents nothing twice.
type Intent struct {
	Name, Type, Zone string
	Spot             bool
	Count            int
	Seq              uint64 // the log's number of it
}

// intentIndex finds a rental, -1 if there is none.
func (m *Model) intentIndex(name string) int {
	return slices.IndexFunc(m.Intents, func(i Intent) bool { return i.Name == name })
}

func (m *Model) acceptJob(e *Entry, seq uint64, now Time) error {
	if m.Jobs[e.Job] != nil || m.Finals[e.Job] != 0 {
		return fmt.Errorf("model: job %d accepted twice", e.Job)
	}
	j := m.newJob(e.Job, e.Spec, e.At, now)
	j.AcceptSeq = seq
	return nil
}

func (m *Model) newJob(id JobID, s *wire.JobSpec, at int64, now Time) *Job {
	j := &Job{
		ID: id, Spec: s, Kind: kindOf(s.Shape), Priority: priorityOf(s.Priority), Team: m.teamByName[s.Team],
		Class: m.Classes.ID(s.Class), Image: m.Images.ID(s.Image), Zone: -1, At: at, Order: m.jobOrder,
		Tasks: make([]Task, s.Tasks), Observed: JobObservation{KnownSince: now},
	}
	m.jobOrder++
	if s.Zone != nil {
		j.Zone = m.Zones.ID(*s.Zone)
	}
	if s.Types != nil {
		j.Types, j.TypesKey = []int32{}, "="+strings.Join(s.Types, "=")
		for _, t := range s.Types {
			j.Types = append(j.Types, m.typeIndex(t))
		}
	}
	m.Jobs[id] = j
	m.jobsInOrder = append(m.jobsInOrder, j)
	m.countTasks(j, len(j.Tasks))
	m.updateStats(j, func(s *CompletionStats) { s.Jobs, s.Tasks = s.Jobs+1, s.Tasks+len(j.Tasks) })
	return j
}

// taskCompleted notes that one more task of a job is done.
func (m *Model) taskCompleted(j *Job) {
	j.Done++
	m.countTasks(j, -1)
	m.markStarted(j)
	m.updateStats(j, func(s *CompletionStats) { s.TasksDone++ })
}

// countTasks counts a job's tasks that are not completed in or out.
func (m *Model) countTasks(j *Job, delta int) {
	m.LiveTasks += delta
	if j.Team != nil {
		j.Team.LiveTasks += delta
	}
}

func (m *Model) findRun(job JobID, task int32, attempt uint32) *Run {
	j := m.Jobs[job]
	if j == nil || task < 0 || int(task) >= len(j.Tasks) {
		return nil
	}
	if r := j.Tasks[task].Run; r != nil && r.Attempt == attempt {
		return r
	}
	return nil
}

func (m *Model) placeTask(e *Entry, seq uint64, now Time) error {
	j, machine := m.Jobs[e.Job], m.Machines[e.Machine]
	if j == nil || machine == nil || int(e.Task) >= len(j.Tasks) || j.Tasks[e.Task].State != Waiting || j.Cancelled {
		return fmt.Errorf("model: placement of %d/%d on %d does not fit the log", e.Job, e.Task, e.Machine)
	}
	t := &j.Tasks[e.Task]
	r := &Run{
		Job:       j,
		Task:      e.Task,
		Attempt:   e.Attempt,
		Machine:   machine,
		Session:   e.Session,
		PlacedSeq: seq,
		PlacedAt:  now,
	}
	t.State, t.Attempt, t.Run = Placed, e.Attempt, r
	j.Live++
	m.markStarted(j)
	machine.Runs = append(machine.Runs, r)
	machine.countFetch(r, 1)
	m.chargeRun(r, 1)
	return nil
}

func (m *Model) chargeRun(r *Run, sign float64) {
	s, machine := r.Job.Spec, r.Machine
	machine.CPUs += sign * s.CPUs
	machine.GPUs += sign * s.GPUs
	machine.Mem += sign * s.MemoryGB
	if r.Job.Kind == Service && s.GPUs == 0 {
		machine.Reserved.CPUs += sign * s.CPUs
		machine.Reserved.Mem += sign * s.MemoryGB
	}
	if len(machine.Runs) == 0 {
		// no drift from rounding
		machine.CPUs, machine.GPUs, machine.Mem, machine.Reserved = 0, 0, 0, ReservedResources{}
	}
	if t := r.Job.Team; t != nil {
		t.UsedCPUs += sign * s.CPUs
		t.UsedGPUs += sign * s.GPUs
	}
}

func (m *Model) dropRun(r *Run, now Time) {
	r.setPhase(Unseen)
	j, machine := r.Job, r.Machine
	machine.countFetch(r, -1)
	for i, o := range machine.Runs {
		if o == r {
			machine.Runs[i] = machine.Runs[len(machine.Runs)-1]
			machine.Runs = machine.Runs[:len(machine.Runs)-1]
			break
		}
	}
	if len(machine.Runs) == 0 {
		machine.Lifecycle.IdleSince = now
	}
	m.chargeRun(r, -1)
	j.Live--
	t := &j.Tasks[r.Task]
	t.Run = nil
	if t.State == Placed {
		t.State = Waiting
		j.retryTasks = append(j.retryTasks, r.Task)
	}
}

// settle turns a job whose tasks are all gone, and which is over, into its
// final state, which costs a few bytes and is kept for good.
func (m *Model) settle(j *Job, now Time) {
	if j.Live > 0 || m.Jobs[j.ID] != j {
		return
	}
	switch {
	case j.Cancelled:
		m.Finals[j.ID] = FinalCancelled
	case j.Done == len(j.Tasks):
		m.Finals[j.ID] = FinalDone
	default:
		return
	}
	m.countTasks(j, j.Done-len(j.Tasks))
	m.finalSeqs[j.ID] = j.FinalSeq
	m.recordEnd(j, now)
	delete(m.Jobs, j.ID)
	j.settled = true
	m.settledCount++
}

// JobsInOrder lists the live jobs in the order of acceptance. The list is the
// model's own, kept in order as jobs come and go: it may be read until the next
// call.
func (m *Model) JobsInOrder() []*Job {
	if m.settledCount > 0 {
		m.jobsInOrder = slices.DeleteFunc(m.jobsInOrder, func(j *Job) bool { return j.settled })
		m.settledCount = 0
	}
	return m.jobsInOrder
}

// FinalSeq tells the log number that made a job final, for answers that must not
// run ahead of the log.
func (m *Model) FinalSeq(id JobID) uint64 { return m.finalSeqs[id] }

// ForgetCommitted drops bookkeeping that only matters until its entry is committed.
func (m *Model) ForgetCommitted(committed uint64) {
	for id, s := range m.finalSeqs {
		if s <= committed {
			delete(m.finalSeqs, id)
		}
	}
}

func (m *Model) addMachine(e *Entry, now Time) {
	if old := m.ByName[e.Info.Name]; old != nil || m.Machines[e.Machine] != nil {
		if old != nil && e.Info.Addr != "" {
			old.Info.Addr = e.Info.Addr // it was rented, and has told where it is
		}
		return
	}
	machine := &Machine{
		ID: e.Machine, Info: *e.Info, Type: m.typeIndex(e.Info.Type), Zone: m.Zones.ID(e.Info.Zone), Spot: e.Info.Spot,
		At: e.At, Contact: MachineContact{KnownSince: now}, Lifecycle: MachineLifecycle{IdleSince: now},
	}
	m.Machines[machine.ID] = machine
	m.ByName[machine.Info.Name] = machine
	m.Order = append(m.Order, machine)
	m.maxFleetSize = max(m.maxFleetSize, len(m.Order))
	m.NextMachine = max(m.NextMachine, machine.ID+1)
}

// dropRuns notes that everything on a machine is gone.
func (m *Model) dropRuns(machine *Machine, now Time) {
	for len(machine.Runs) > 0 {
		r := machine.Runs[0]
		m.dropRun(r, now)
		m.settle(r.Job, now)
	}
}

// minTombstones is how many names of gone machines are kept at least. Of a larger fleet twice as many as it ever had
// are, so that none is forgotten while a list lags though all machines were lost and others were rented. Replicas may
// differ in how many they keep: no entry is applied otherwise for it.
const minTombstones = 1024

func (m *Model) removeMachine(id MachineID, now Time) {
	machine := m.Machines[id]
	if machine == nil {
		return
	}
	m.dropRuns(machine, now)
	delete(m.Machines, id)
	delete(m.ByName, machine.Info.Name)
	for i, o := range m.Order {
		if o == machine {
			m.Order = append(m.Order[:i], m.Order[i+1:]...)
			break
		}
	}
	m.addTombstone(machine.Info.Name)
}

// addTombstone remembers a gone machine's name, so that a late report or a lagging list
// does not bring it back.
func (m *Model) addTombstone(name string) {
	if m.Tombstones[name] {
		return
	}
	m.Tombstones[name] = true
	m.tombstoneRing = append(m.tombstoneRing, name)
	if len(m.tombstoneRing) > max(minTombstones, 2*m.maxFleetSize) {
		delete(m.Tombstones, m.tombstoneRing[0])
		m.tombstoneRing = m.tombstoneRing[1:]
	}
}

func (r *Run) setPhase(p Phase) {
	wasRunning, isRunning := r.Phase >= Running, p >= Running
	if wasRunning != isRunning {
		if isRunning {
			r.Job.Running++
		} else {
			r.Job.Running--
		}
	}
	if fetched := p > Fetching; fetched != (r.Phase > Fetching) {
		if fetched {
			r.Machine.countFetch(r, -1)
		} else {
			r.Machine.countFetch(r, 1)
		}
	}
	r.Phase = p
}

// countFetch counts a run in or out of those that wait for their image.
func (machine *Machine) countFetch(r *Run, delta int32) {
	for i := range machine.fetches {
		if p := &machine.fetches[i]; p.image == r.Job.Image {
			p.sizeGB = r.Job.Spec.ImageGB
			if p.waitingRuns += delta; p.waitingRuns <= 0 {
				machine.fetches[i] = machine.fetches[len(machine.fetches)-1]
				machine.fetches = machine.fetches[:len(machine.fetches)-1]
			}
			return
		}
	}
	if delta > 0 {
		machine.fetches = append(machine.fetches, pendingFetch{r.Job.Image, delta, r.Job.Spec.ImageGB})
	}
}

// TouchImage notes that a machine has a job's image.
func (machine *Machine) TouchImage(m *Model, j *Job, now Time) {
	for i := range machine.cache {
		if machine.cache[i].image == j.Image {
			machine.cache[i].lastUsed = now
			return
		}
	}
	machine.cache = append(machine.cache, cachedImage{j.Image, j.Spec.ImageGB, now})
	limit := m.Types[machine.Type].CacheGB
	if !m.Types[machine.Type].Known {
		limit = math.Inf(1)
	}
	cachedGB := 0.0
	for _, c := range machine.cache {
		cachedGB += c.sizeGB
	}
	for cachedGB > limit && len(machine.cache) > 1 {
		oldest := -1
		for i := range machine.cache {
			if machine.cache[i].image != j.Image && !machine.usesImage(machine.cache[i].image) &&
				(oldest < 0 || machine.cache[i].lastUsed < machine.cache[oldest].lastUsed) {
				oldest = i
			}
		}
		if oldest < 0 {
			break
		}
		cachedGB -= machine.cache[oldest].sizeGB
		machine.cache = append(machine.cache[:oldest], machine.cache[oldest+1:]...)
	}
}

func (machine *Machine) usesImage(image int32) bool {
	for _, r := range machine.Runs {
		if r.Job.Image == image {
			return true
		}
	}
	return false
}

// HasImage tells whether a machine is thought to have an image. Reports don't list
// images, so this is inferred from the tasks that got theirs.
func (machine *Machine) HasImage(image int32) bool {
	for i := range machine.cache {
		if machine.cache[i].image == image {
			return true
		}
	}
	return false
}

// FetchBacklog tells whether a machine is getting an image, and how many GB it still
// has to fetch in all.
func (machine *Machine) FetchBacklog(image int32) (fetchingImage bool, totalGB float64) {
	for i := range machine.fetches {
		if p := &machine.fetches[i]; !machine.HasImage(p.image) {
			fetchingImage = fetchingImage || p.image == image
			totalGB += p.sizeGB
		}
	}
	return fetchingImage, totalGB
}
