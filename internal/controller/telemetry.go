package controller

import (
	"math"
	"sort"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/scheduling/pending"
)

// telemetry is the metrics page's view of the state and the leader's regular summaries in the log.
type telemetry struct {
	*environment
	loop    *eventLoop
	replica *replica
	roles   *singletonRoles
	rounds  *schedulingRounds
	term    *termState
}

// telemetryTerm is what telemetry keeps for one term of leadership.
type telemetryTerm struct {
	lastSummary   time.Time
	loggedReasons map[model.JobID]pending.Code // why jobs wait, as logged
}

// snapshot tells how this node stands, for the operators' page, unless it is too busy.
func (tm *telemetry) snapshot() (view metrics.Snapshot, ok bool) {
	views := make(chan metrics.Snapshot, 1)
	if tm.loop.tryPost(func() { views <- tm.view() }) != nil {
		return view, false
	}
	select {
	case view = <-views:
		return view, true
	case <-time.After(time.Second):
	case <-tm.ctx.Done():
	}
	return view, false
}

func (tm *telemetry) view() metrics.Snapshot {
	view := metrics.Snapshot{
		IsLeader: tm.term.isActive(),
		Applied:  tm.replica.appliedSeq,
		Jobs:     len(tm.replica.model.Jobs),
	}
	if tm.term.leader != nil {
		view.Term = tm.term.leader.Term
	}
	view.OpenProvisioning = len(tm.replica.model.Intents)
	view.PeerFrames, view.PeerBytes, view.PeerWrites = tm.traffic.Frames.Load(), tm.traffic.Bytes.Load(), tm.traffic.Writes.Load()
	if tm.term.ownTerm != nil {
		view.AssignedAgents = tm.term.ownTerm.assignments.table.Counts()[relay.Leader]
	}
	if singletons := tm.roles.state; singletons != nil {
		view.HoldsProvisioning, view.HoldsCompaction = singletons.roles[singleton.Provisioning].Trusted(
			tm.now(),
		), singletons.roles[singleton.Compaction].Trusted(
			tm.now(),
		)
	}
	view.WorstClass, view.WorstTeam = 1, 1
	if tm.term.ownTerm != nil {
		view.WorstClass, view.UnderServedClasses = tm.rounds.scheduler.WorstClass()
		view.WorstTeam, view.UnderServedTeams = tm.rounds.scheduler.WorstTeam()
	}
	for _, j := range tm.replica.model.Jobs {
		view.Waiting, view.Running = view.Waiting+j.Waiting(), view.Running+j.Live
	}
	for _, machine := range tm.replica.model.Order {
		switch {
		case machine.Releasing:
			view.Releasing++
		case machine.Suspect:
			view.Suspect++
		case tm.term.ownTerm == nil: // a replica does not know which are up
		case !machine.Contact.Reported:
			view.Booting++
		default:
			view.Up++
			if len(machine.Runs) == 0 {
				view.Idle++
			}
		}
	}
	return view
}

const (
	longWait    = model.Time(20e9) // a job that waits for longer has a line of its own, whenever its reason changes
	maxLogLines = 10               // of those at once
)

// logPending logs how many tasks wait, by class and by reason, and which jobs do for long.
func (tm *telemetry) logPending(term *leaderTerm) {
	classes, reasons, logged := map[string]int{}, map[string]int{}, map[model.JobID]pending.Code{}
	var long []*model.Job
	for _, j := range tm.replica.model.JobsInOrder() {
		waiting := j.Waiting()
		if waiting == 0 {
			continue
		}
		classes[j.Spec.Class] += waiting
		reasons[j.Scheduling.PendingReason.Code.String()] += waiting
		if j.Scheduling.PendingReason.IsSet() && term.telemetry.loggedReasons[j.ID] == j.Scheduling.PendingReason.Code {
			logged[j.ID] = j.Scheduling.PendingReason.Code
		} else if j.Scheduling.PendingReason.IsSet() && tm.now()-j.Observed.KnownSince > longWait && len(long) < maxLogLines {
			long = append(long, j)
		}
	}
	for _, j := range long {
		logged[j.ID] = j.Scheduling.PendingReason.Code
		tm.log.Info("job pending", "job", j.Spec.ID, "class", j.Spec.Class, "team", j.Spec.Team,
			"tasks", j.Waiting(), "reason", j.Scheduling.PendingReason.Code, "explanation", j.Scheduling.PendingReason)
	}
	term.telemetry.loggedReasons = logged
	tm.log.Info("workload summary", "jobs", len(tm.replica.model.Jobs), "pending_by_class", classes,
		"pending_by_reason", reasons)
	tm.logServed()
}

// logServed logs how each team is served, and those classes that are served worst: what a class is called
// is its users' affair, and there may be any number of them.
func (tm *telemetry) logServed() {
	type line struct {
		what, name string
		share      float64
		owed       bool
		s          *model.CompletionStats
	}
	var lines []line
	for i := range tm.replica.model.ByClass {
		share, underServed := tm.rounds.scheduler.ClassStanding(int32(i))
		lines = append(
			lines,
			line{"class", tm.replica.model.Classes.Name(int32(i)), share, underServed, &tm.replica.model.ByClass[i]},
		)
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].share < lines[k].share })
	lines = lines[:min(len(lines), maxLogLines)]
	for i := range tm.replica.model.ByTeam {
		share, underServed := tm.rounds.scheduler.TeamStanding(i)
		lines = append(
			lines,
			line{"team", tm.replica.model.Teams[i].Name, share, underServed, &tm.replica.model.ByTeam[i]},
		)
	}
	for _, l := range lines {
		tm.log.Info("completion summary", l.what, l.name, "share", math.Round(l.share*1000)/1000,
			"under_served", l.owed, "jobs", l.s.Jobs, "started", l.s.Started, "completed", l.s.Done,
			"cancelled", l.s.Cancelled, "tasks", l.s.Tasks, "tasks_completed", l.s.TasksDone,
			"availability", l.s.Availability())
	}
}

// logMachineSummary logs now and then what the machines are used for.
func (tm *telemetry) logMachineSummary(term *leaderTerm) {
	if time.Since(term.telemetry.lastSummary) < 20*time.Second {
		return
	}
	term.telemetry.lastSummary = time.Now()
	type sum struct {
		up, booting, idle              int
		total, services, gangs, arrays float64
	}
	sums := map[string]*sum{}
	var names []string
	for _, machine := range tm.replica.model.Order {
		name := machine.Info.Type
		if machine.Spot {
			name += "/spot"
		}
		s := sums[name]
		if s == nil {
			s = &sum{}
			sums[name] = s
			names = append(names, name)
		}
		if !machine.Contact.Reported {
			s.booting++
			continue
		}
		s.up++
		if len(machine.Runs) == 0 {
			s.idle++
		}
		s.total += tm.replica.model.TypeOf(machine).CPUs
		for _, run := range machine.Runs {
			switch run.Job.Kind {
			case model.Service:
				s.services += run.Job.Spec.CPUs
			case model.Gang:
				s.gangs += run.Job.Spec.CPUs
			default:
				s.arrays += run.Job.Spec.CPUs
			}
		}
	}
	sort.Strings(names)
	for _, name := range names {
		s := sums[name]
		tm.log.Info("machine usage", "type", name, "up", s.up, "booting", s.booting, "idle", s.idle, "cpus", s.total,
			"service_cpus", s.services, "gang_cpus", s.gangs, "array_cpus", s.arrays)
	}
	tm.logPending(term)
}
