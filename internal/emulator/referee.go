package emulator

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"fieldhill/wire"
)

// Referee sees every task that is on a machine and every answer to a user, and
// notes each broken rule.
type Referee struct {
	mu      sync.Mutex
	limits  map[string][2]float64 // team: CPUs, GPUs at most
	cancelS time.Duration
	jobs    map[uint64]*truth
	on      map[string]map[string]bool // task: machines where it has its image and is not gone
	used    map[string][2]float64      // team: CPUs and GPUs of what is in on
	broken  []string
	starts  int
	close   int  // answers to questions that came within a moment after a job was accepted, ended or cancelled
	late    int  // starts of jobs whose cancellation was confirmed
	calm    bool // all troubles are over
}

// forgottenAfter is for how long all questions about an accepted job may stay unanswered once all troubles are over.
const forgottenAfter = 75 * time.Second

// Calm tells the referee that all troubles are over.
func (f *Referee) Calm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calm = true
}

// Unanswered notes a question about a job that got no answer: none at all, or a refusal, which is none.
func (f *Referee) Unanswered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := f.jobs[n]
	switch {
	case t == nil || !f.calm || !t.accepted || t.asked:
	case t.unheard.IsZero():
		t.unheard = time.Now()
	case time.Since(t.unheard) > forgottenAfter:
		f.broke("forgotten", "no question about %s was answered for %v", id, time.Since(t.unheard))
		t.unheard = time.Now()
	}
}

type truth struct {
	spec      *wire.JobSpec
	starts    int
	accepted  bool
	done      map[int]bool
	told      string
	asked     bool // its user asked to cancel it
	cancelled time.Time
	zones     map[int]string // where each task is
	changed   time.Time      // when it was told to be accepted, done or cancelled
	known     time.Time      // when its user began to submit it
	begun     time.Time      // when its first task started, of a gang all at once; zero: not yet
	unheard   time.Time      // since when no question about it was answered, all troubles over; zero: the last one was
	couldFrom time.Time      // since when a task of it waits, all troubles over, though a machine that fits has room and its team is under its limit
	upS       float64        // replicas' seconds, from replicaFrom on
	wantedS   float64
}

// NewReferee makes a referee for teams' limits.
func NewReferee(limits map[string][2]float64, cancel time.Duration) *Referee {
	return &Referee{limits: limits, cancelS: cancel, jobs: map[uint64]*truth{}, on: map[string]map[string]bool{}, used: map[string][2]float64{}}
}

func (f *Referee) broke(rule, format string, args ...any) {
	f.broken = append(f.broken, time.Now().Format("15:04:05.000 ")+rule+": "+fmt.Sprintf(format, args...))
}

// Know tells the referee of a job that a user begins to submit.
func (f *Referee) Know(s *wire.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(s.ID)
	if t := f.jobs[n]; t != nil { // a repeat, or a new try after a refusal
		if !t.accepted && t.starts == 0 {
			t.spec = s
		}
		return
	}
	f.jobs[n] = &truth{spec: s, done: map[int]bool{}, zones: map[int]string{}, known: time.Now()}
}

// Past tells the referee of a job that was done long ago.
func (f *Referee) Past(s *wire.JobSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(s.ID)
	t := &truth{spec: s, done: map[int]bool{}, zones: map[int]string{}, accepted: true, told: wire.JobDone, known: time.Now()}
	for k := range s.Tasks {
		t.done[k] = true
	}
	f.jobs[n] = t
}

// Spec finds a job, as workers do.
func (f *Referee) Spec(n uint64) *wire.JobSpec {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.jobs[n]; t != nil {
		return t.spec
	}
	return nil
}

// Start notes that a task has its image on a machine.
func (f *Referee) Start(task string, mc *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts++
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	if t == nil {
		f.broke("invented", "%s starts, nobody submitted it", task)
		return
	}
	if len(f.on[task]) > 0 {
		f.broke("ran_twice", "%s starts on %s and is on %v", task, mc.Name, f.on[task])
	}
	if f.on[task] == nil {
		f.on[task] = map[string]bool{}
	}
	s := t.spec
	okType := s.Types == nil
	for _, x := range s.Types {
		okType = okType || x == mc.Type
	}
	same, other := 0, 0
	for i, z := range t.zones {
		if i == k {
			continue
		}
		if z == mc.Zone {
			same++
		} else {
			other++
		}
	}
	if !okType || s.Zone != nil && *s.Zone != mc.Zone || mc.Spot && !s.Spot || s.SameZone && other > 0 ||
		s.Spread && same+1 > (s.Tasks+1)/2 {
		f.broke("wrong_place", "%s on %s (%s, %s, spot %v) with %d there and %d elsewhere", task, mc.Name, mc.Type, mc.Zone, mc.Spot, same, other)
	}
	if !t.cancelled.IsZero() && time.Since(t.cancelled) > f.cancelS {
		f.broke("ran_cancelled", "%s starts %v after its cancellation", task, time.Since(t.cancelled))
	}
	if !t.cancelled.IsZero() {
		f.late++
	}
	t.starts++
	t.couldFrom = time.Time{}
	if !f.on[task][mc.Name] {
		f.on[task][mc.Name] = true
		f.use(s, 1)
	}
	t.zones[k] = mc.Zone
	if t.begun.IsZero() && (s.Shape != wire.Gang || len(t.zones) == s.Tasks) {
		t.begun = time.Now()
	}
	f.checkLimit(s.Team)
}

// use notes that so many tasks more of a job are on machines.
func (f *Referee) use(s *wire.JobSpec, tasks float64) {
	u := f.used[s.Team]
	f.used[s.Team] = [2]float64{u[0] + tasks*s.CPUs, u[1] + tasks*s.GPUs}
}

// rounding is by how much a sum that was kept through many changes may be off.
const rounding = 1e-6

func (f *Referee) checkLimit(team string) {
	u := f.used[team]
	if l := f.limits[team]; u[0] > l[0]+rounding && l[0] > 0 || u[1] > l[1]+rounding && l[1] > 0 {
		f.broke("quota", "%s uses %g CPUs and %g GPUs", team, u[0], u[1])
	}
}

// addUp adds up plainly what the teams use, which the sums that are kept must agree with.
func (f *Referee) addUp() map[string][2]float64 {
	sum := map[string][2]float64{}
	for task, where := range f.on {
		n, _, _ := wire.ParseTaskID(task)
		s := f.jobs[n].spec
		u, k := sum[s.Team], float64(len(where))
		sum[s.Team] = [2]float64{u[0] + k*s.CPUs, u[1] + k*s.GPUs}
	}
	return sum
}

// Gone notes that a task is off a machine.
func (f *Referee) Gone(task string, mc *Worker, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	if t == nil {
		return
	}
	if f.on[task][mc.Name] {
		f.use(t.spec, -1)
	}
	delete(f.on[task], mc.Name)
	if len(f.on[task]) == 0 {
		delete(f.on, task)
		delete(t.zones, k)
	}
	if done {
		t.done[k] = true
	}
}

// Check looks for tasks of cancelled jobs that are still there, and counts the time of replicas. It is called
// every checkEvery.
func (f *Referee) Check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.jobs {
		if t.spec.Shape == wire.Service && t.accepted && !t.asked && time.Since(t.known) > replicaFrom {
			t.wantedS += checkEvery.Seconds() * float64(t.spec.Tasks)
			t.upS += checkEvery.Seconds() * float64(len(t.zones))
		}
	}
	plain := f.addUp()
	for team, u := range f.used {
		if p := plain[team]; math.Abs(u[0]-p[0]) > rounding || math.Abs(u[1]-p[1]) > rounding {
			f.broke("miscounted", "%s uses %v, counted as %v", team, p, u)
		}
		f.used[team] = plain[team]
	}
	for task, where := range f.on {
		n, _, _ := wire.ParseTaskID(task)
		if t := f.jobs[n]; !t.cancelled.IsZero() && time.Since(t.cancelled) > f.cancelS {
			f.broke("ran_cancelled", "%s is on %v %v after its cancellation", task, where, time.Since(t.cancelled))
			t.cancelled = time.Now() // once is enough
		}
	}
}

// Asked notes that a user begins to ask for a cancellation.
func (f *Referee) Asked(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		t.asked = true
	}
}

// Known is what users had been told of a job when a request began. Only against
// that may its answer be held: what another user is told meanwhile may be newer.
type Known struct {
	accepted bool
	told     string
	soon     bool // that had just been told
}

// soonAfter is within which time after that a question counts as a close look.
const soonAfter = 100 * time.Millisecond

// Before returns what users know of a job now.
func (f *Referee) Before(id string) Known {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		return Known{t.accepted, t.told, !t.changed.IsZero() && time.Since(t.changed) < soonAfter}
	}
	return Known{}
}

// Told notes an answer that a user got: of a submission, a poll or a cancellation.
func (f *Referee) Told(id string, what string, before Known, code int, s *wire.JobStatus) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	t := f.jobs[n]
	switch {
	case t == nil:
		if code == 200 || code == 201 {
			f.broke("invented", "%s of %s got %d", what, id, code)
		}
		return
	case before.accepted && (code == 404 || what == "submit" && (code == 400 || code == 422)):
		f.broke("forgotten", "%s of %s got %d", what, id, code)
	case code != 200 && code != 201:
		return
	}
	if before.soon {
		f.close++
	}
	t.unheard = time.Time{}
	if was := t.accepted; what == "submit" || what == "poll" {
		if t.accepted = true; !was {
			t.changed = time.Now()
		}
	}
	if s.State == wire.JobDone && len(t.done) < t.spec.Tasks {
		f.broke("not_done", "%s of %s says done, %d of %d are", what, id, len(t.done), t.spec.Tasks)
	}
	if before.told != "" && s.State != before.told {
		f.broke("went_back", "%s was called %s and now %s", id, before.told, s.State)
	}
	if s.State == wire.JobCancelled && !t.asked {
		f.broke("went_back", "%s is called cancelled, its user did not cancel it", id)
	}
	if s.State == wire.JobDone || s.State == wire.JobCancelled {
		if t.told == "" {
			t.changed = time.Now()
		}
		t.told = s.State
	}
	if s.State == wire.JobCancelled && t.cancelled.IsZero() {
		t.cancelled = time.Now()
	}
}

// Broken lists the broken rules.
func (f *Referee) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// last tells whether a task is the only one of its job that is not done.
func (f *Referee) last(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	return t != nil && t.accepted && !t.asked && !t.done[k] && len(t.done) == t.spec.Tasks-1
}

// CloseLooks counts the answers to questions that came within a moment after a job was told to be accepted, done or cancelled.
func (f *Referee) CloseLooks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.close
}

// Open lists some jobs that have tasks on machines, and that nobody has asked to cancel.
func (f *Referee) Open(most int) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.jobs {
		if t.accepted && !t.asked && t.told == "" && len(t.zones) > 0 {
			ids = append(ids, t.spec.ID)
		}
	}
	slices.Sort(ids)
	return ids[:min(most, len(ids))]
}

// isDone tells whether a task completed: its result is kept, and if it is started again it is done at once.
func (f *Referee) isDone(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, k, _ := wire.ParseTaskID(task)
	t := f.jobs[n]
	return t != nil && t.done[k]
}

// LateStarts counts the tasks that were started after the cancellation of their job was confirmed, within the time that the protocol leaves.
func (f *Referee) LateStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// Starts counts the tasks that were started.
func (f *Referee) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// StartsOf counts the tasks of a job that were started.
func (f *Referee) StartsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		return t.starts
	}
	return 0
}

// Finished counts the jobs that were told to be over, and all that were accepted.
func (f *Referee) Finished() (over, accepted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.jobs {
		if t.accepted {
			accepted++
		}
		if t.told != "" {
			over++
		}
	}
	return
}

// Running counts the tasks of a job that are on machines.
func (f *Referee) Running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := wire.JobNumber(id)
	if t := f.jobs[n]; t != nil {
		return len(t.zones)
	}
	return 0
}

// Used is how many CPUs a team's tasks use.
func (f *Referee) Used(team string) (cpus float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.used[team][0]
}

// Tasks counts all tasks that are on machines.
func (f *Referee) Tasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.on)
}

// Holds tells whether any task is on a machine.
func (f *Referee) Holds(machine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, on := range f.on {
		if on[machine] {
			return true
		}
	}
	return false
}
