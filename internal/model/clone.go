package model

import (
	"maps"
	"slices"
)

// Clone copies the state that scheduling reads and changes: jobs, runs, machines, teams and names. The copy and the
// original can be used concurrently; immutable data (job specifications, machine details) is shared. Clone omits state
// that only matters between a leader and its agents (commands in flight, failures to attribute), the final states,
// which grow with the history, the index of machines by name, the tombstones and the intents. Copying 10,000 runs takes
// a few milliseconds.
func (m *Model) Clone() *Model {
	c := &Model{
		catalog:         m.catalog.clone(),
		machineTable:    m.machineTable.clone(),
		teamTable:       m.teamTable.clone(),
		completionTable: m.completionTable.clone(),
		durationStats:   durationStats{classBias: slices.Clone(m.classBias)},
		leaderTerm:      m.leaderTerm,
		GangWait:        m.GangWait,
	}
	c.jobTable = m.jobTable.clone(c.Teams)
	cloneRuns(c, m)
	return c
}

func (c *catalog) clone() catalog {
	copied := catalog{
		Images: c.Images.Clone(), Classes: c.Classes.Clone(), Zones: c.Zones.Clone(), TypeNames: c.TypeNames.Clone(),
		Types: slices.Clone(c.Types),
	}
	for i := range copied.Types {
		copied.Types[i].ZoneIDs = slices.Clone(copied.Types[i].ZoneIDs)
	}
	return copied
}

func (t *teamTable) clone() teamTable {
	copied := teamTable{teamByName: make(map[string]*Team, len(t.Teams))}
	for _, team := range t.Teams {
		o := *team
		copied.insertTeam(&o)
	}
	return copied
}

func (t *completionTable) clone() completionTable {
	return completionTable{ByClass: slices.Clone(t.ByClass), ByTeam: slices.Clone(t.ByTeam)}
}

// clone copies the machines. Their Runs are the original runs until cloneRuns replaces them. Objects of one type share
// one allocation, because thousands of small allocations take ten times as long.
func (t *machineTable) clone() machineTable {
	copied := newMachineTable()
	copied.Machines = make(map[MachineID]*Machine, len(t.Machines))
	copied.NextMachine = t.NextMachine
	copied.MachinesInOrder = make([]*Machine, len(t.MachinesInOrder))
	imageCount, fetchCount := 0, 0
	for _, machine := range t.MachinesInOrder {
		imageCount += len(machine.cache)
		fetchCount += len(machine.fetches)
	}
	machines := make([]Machine, len(t.MachinesInOrder))
	cacheSlab := make([]cachedImage, 0, imageCount)
	fetchSlab := make([]pendingFetch, 0, fetchCount)
	for i, machine := range t.MachinesInOrder {
		o := &machines[i]
		*o = *machine
		o.cache, cacheSlab = appendToSlab(cacheSlab, machine.cache)
		o.fetches, fetchSlab = appendToSlab(fetchSlab, machine.fetches)
		o.Health.FailedJobs = nil
		o.Contact.unresolvedStarts, o.Contact.sentStarts = nil, nil
		o.Contact.reapable, o.Contact.previousReapable = nil, nil
		copied.MachinesInOrder[i] = o
		copied.Machines[o.ID] = o
	}
	return copied
}

// clone copies the live jobs and links them to the copied teams. The Run of each task is the original run until
// cloneRuns replaces it.
func (t *jobTable) clone(teams []*Team) jobTable {
	live, taskCount := t.JobsInOrder(), 0
	for _, j := range live {
		taskCount += len(j.Tasks)
	}
	copied := newJobTable()
	copied.Jobs = make(map[JobID]*Job, len(live))
	copied.LiveTasks, copied.jobOrder = t.LiveTasks, t.jobOrder
	copied.jobsInOrder = make([]*Job, len(live))
	jobs, taskSlab := make([]Job, len(live)), make([]Task, 0, taskCount)
	for i, j := range live {
		o := &jobs[i]
		*o = *j
		o.Tasks, taskSlab = appendToSlab(taskSlab, j.Tasks)
		o.retryTasks, o.Observed.FailedOn = slices.Clone(j.retryTasks), maps.Clone(j.Observed.FailedOn)
		if j.Team != nil {
			o.Team = teams[j.Team.Index]
		}
		copied.Jobs[o.ID], copied.jobsInOrder[i] = o, o
	}
	return copied
}

// cloneRuns copies the runs and links them to the copied jobs and machines. The order of a machine's runs is preserved,
// since scheduling decisions may depend on it.
func cloneRuns(copied, original *Model) {
	runCount := 0
	for _, machine := range original.MachinesInOrder {
		runCount += len(machine.Runs)
	}
	runs, runPtrs := make([]Run, runCount), make([]*Run, 0, runCount)
	for i, machine := range original.MachinesInOrder {
		from := len(runPtrs)
		for _, r := range machine.Runs {
			o := &runs[len(runPtrs)]
			*o = *r
			o.Job, o.Machine = copied.Jobs[r.Job.ID], copied.MachinesInOrder[i]
			o.Job.Tasks[r.Task].Run = o
			runPtrs = append(runPtrs, o)
		}
		copied.MachinesInOrder[i].Runs = runPtrs[from:len(runPtrs):len(runPtrs)]
	}
}

// appendToSlab copies list to the end of slab. The copy's capacity is limited to its length, so that appending to it
// cannot overwrite later data in the slab.
func appendToSlab[T any](slab, list []T) (copied, rest []T) {
	from := len(slab)
	slab = append(slab, list...)
	return slab[from:len(slab):len(slab)], slab
}
