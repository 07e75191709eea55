package controller

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/metrics"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/scheduling/pending"
)

// telemetry provides the data of the metrics page and logs the leader's periodic summaries. It reads the state of other
// components, and writes only telemetryTerm.
type telemetry struct {
	*environment
	loop    *eventLoop
	replica *replica
	roles   *singletonRoles
	rounds  *schedulingRounds
	term    *termState
}

// telemetryTerm is the state of telemetry for one term of leadership. It is owned by the event loop.
type telemetryTerm struct {
	lastSummary   time.Time
	loggedReasons map[model.JobID]pending.Code // last logged reason of each pending job
}

const (
	// snapshotTimeout is how long the metrics page waits for the event loop.
	snapshotTimeout = time.Second
	// summaryInterval is how often the leader logs its summaries.
	summaryInterval = 20 * time.Second
	// longPendingThreshold is how long a job must be pending before it gets log lines of its own, one for each change
	// of the reason why it is pending.
	longPendingThreshold = model.Time(20 * time.Second)
	// maxSummaryLines limits how many jobs, and how many of the worst-served classes, are logged per summary.
	maxSummaryLines = 10
)

// snapshot returns the data of the metrics page; ok is false if the event loop's queue is full or the loop does not
// provide the data within snapshotTimeout.
func (tm *telemetry) snapshot() (view metrics.Snapshot, ok bool) {
	views := make(chan metrics.Snapshot, 1)
	if tm.loop.tryPost(func() { views <- tm.view() }) != nil {
		return view, false
	}
	select {
	case view = <-views:
		return view, true
	case <-time.After(snapshotTimeout):
	case <-tm.ctx.Done():
	}
	return view, false
}

// view builds the data of the metrics page. It must run on the event loop.
func (tm *telemetry) view() metrics.Snapshot {
	view := metrics.Snapshot{
		IsLeader:         tm.term.isActive(),
		Applied:          tm.replica.appliedSeq,
		Jobs:             len(tm.replica.model.Jobs),
		OpenProvisioning: len(tm.replica.model.Intents),
		PeerFrames:       tm.traffic.Frames.Load(),
		PeerBytes:        tm.traffic.Bytes.Load(),
		PeerWrites:       tm.traffic.Writes.Load(),
		WorstClass:       1,
		WorstTeam:        1,
	}
	if tm.term.leader != nil {
		view.Term = tm.term.leader.Term
	}
	if roles := tm.roles.state; roles != nil {
		view.HoldsProvisioning = roles.roles[singleton.Provisioning].Trusted(tm.now())
		view.HoldsCompaction = roles.roles[singleton.Compaction].Trusted(tm.now())
	}
	if tm.term.ownTerm != nil {
		view.AssignedAgents = tm.term.ownTerm.assignments.table.Counts()[relay.Leader]
		view.WorstClass, view.UnderServedClasses = tm.rounds.scheduler.LowestClassShare()
		view.WorstTeam, view.UnderServedTeams = tm.rounds.scheduler.LowestTeamShare()
	}
	for _, j := range tm.replica.model.Jobs {
		view.Waiting += j.Waiting()
		view.Running += j.PlacedTasks
	}
	tm.countMachines(&view)
	return view
}

// countMachines counts the machines by state. Only the leader knows which machines are up.
func (tm *telemetry) countMachines(view *metrics.Snapshot) {
	for _, machine := range tm.replica.model.MachinesInOrder {
		switch {
		case machine.Releasing:
			view.Releasing++
		case machine.Suspect:
			view.Suspect++
		case tm.term.ownTerm == nil:
		case !machine.Contact.Reported:
			view.Booting++
		default:
			view.Up++
			if len(machine.Runs) == 0 {
				view.Idle++
			}
		}
	}
}

// logPending logs the number of pending tasks by class and by reason, and the jobs that have been pending for longer
// than longPendingThreshold and whose reason has changed since it was last logged, at most maxSummaryLines of them.
func (tm *telemetry) logPending(term *leaderTerm) {
	classes, reasons, logged := map[string]int{}, map[string]int{}, map[model.JobID]pending.Code{}
	var longPending []*model.Job
	for _, j := range tm.replica.model.JobsInOrder() {
		waiting := j.Waiting()
		if waiting == 0 {
			continue
		}
		reason := j.Scheduling.PendingReason
		classes[j.Spec.Class] += waiting
		reasons[reason.Code.String()] += waiting
		switch {
		case !reason.IsSet():
		case term.telemetry.loggedReasons[j.ID] == reason.Code:
			logged[j.ID] = reason.Code
		case tm.now()-j.Observed.KnownSince > longPendingThreshold && len(longPending) < maxSummaryLines:
			longPending = append(longPending, j)
		}
	}
	for _, j := range longPending {
		reason := j.Scheduling.PendingReason
		logged[j.ID] = reason.Code
		tm.log.Info("job pending", "job", j.Spec.ID, "class", j.Spec.Class, "team", j.Spec.Team,
			"tasks", j.Waiting(), "reason", reason.Code, "explanation", reason)
	}
	term.telemetry.loggedReasons = logged
	tm.log.Info("workload summary", "jobs", len(tm.replica.model.Jobs), "pending_by_class", classes,
		"pending_by_reason", reasons, "service_headroom_cpus", tm.rounds.scheduler.ServiceHeadroom)
	tm.logCompletionSummaries()
}

// completionSummary is the content of a log line with the completion statistics of a class or a team.
type completionSummary struct {
	kind, name  string
	share       float64
	underServed bool
	stats       *model.CompletionStats
}

// logCompletionSummaries logs the completion statistics of every team, but of the worst-served classes only: users
// choose the class names, so the number of classes is unbounded.
func (tm *telemetry) logCompletionSummaries() {
	var lines []completionSummary
	for i := range tm.replica.model.ByClass {
		share, underServed := tm.rounds.scheduler.ClassShare(int32(i))
		name := tm.replica.model.Classes.Name(int32(i))
		lines = append(lines, completionSummary{"class", name, share, underServed, &tm.replica.model.ByClass[i]})
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].share < lines[k].share })
	lines = lines[:min(len(lines), maxSummaryLines)]
	for i := range tm.replica.model.ByTeam {
		share, underServed := tm.rounds.scheduler.TeamShare(i)
		name := tm.replica.model.Teams[i].Name
		lines = append(lines, completionSummary{"team", name, share, underServed, &tm.replica.model.ByTeam[i]})
	}
	for _, l := range lines {
		tm.log.Info("completion summary", l.kind, l.name, "share", math.Round(l.share*1000)/1000,
			"under_served", l.underServed, "jobs", l.stats.Jobs, "started", l.stats.Started, "completed", l.stats.Done,
			"cancelled", l.stats.Cancelled, "tasks", l.stats.Tasks, "tasks_completed", l.stats.TasksDone,
			"availability", l.stats.Availability())
	}
}

// machineUsage summarizes the use of the machines of one type.
type machineUsage struct {
	up, booting, idle                      int
	cpus, serviceCPUs, gangCPUs, arrayCPUs float64
}

// add counts a machine, which has the given number of CPUs, and the CPUs that its tasks use.
func (u *machineUsage) add(machine *model.Machine, cpus float64) {
	if !machine.Contact.Reported {
		u.booting++
		return
	}
	u.up++
	if len(machine.Runs) == 0 {
		u.idle++
	}
	u.cpus += cpus
	for _, run := range machine.Runs {
		switch run.Job.Kind {
		case model.Service:
			u.serviceCPUs += run.Job.Spec.CPUs
		case model.Gang:
			u.gangCPUs += run.Job.Spec.CPUs
		default:
			u.arrayCPUs += run.Job.Spec.CPUs
		}
	}
}

// logMachineSummary logs the machine usage and the pending jobs once per summaryInterval.
func (tm *telemetry) logMachineSummary(term *leaderTerm) {
	if time.Since(term.telemetry.lastSummary) < summaryInterval {
		return
	}
	term.telemetry.lastSummary = time.Now()
	usages := map[string]*machineUsage{}
	for _, machine := range tm.replica.model.MachinesInOrder {
		name := machine.Info.Type
		if machine.Spot {
			name += "/spot"
		}
		if usages[name] == nil {
			usages[name] = &machineUsage{}
		}
		usages[name].add(machine, tm.replica.model.TypeOf(machine).CPUs)
	}
	for _, name := range slices.Sorted(maps.Keys(usages)) {
		u := usages[name]
		tm.log.Info("machine usage", "type", name, "up", u.up, "booting", u.booting, "idle", u.idle, "cpus", u.cpus,
			"service_cpus", u.serviceCPUs, "gang_cpus", u.gangCPUs, "array_cpus", u.arrayCPUs)
	}
	tm.logPending(term)
}
