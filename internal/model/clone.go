package model

import (
	"maps"
	"slices"
)

// Clone copies what scheduling reads and changes: jobs, runs, machines, teams and names. Nothing that the copy's
// owner does reaches the model, and the copy may be read while the model goes on; what never changes (jobs'
// descriptions, machines' details) is shared. What only matters between a leader and its workers (commands under way,
// judgements) is left out, and so are the final states, which grow with history; machines are not found by name. It
// takes some milliseconds for ten thousand runs.
func (m *Model) Clone() *Model {
	c := &Model{
		Images:    m.Images.Clone(),
		Classes:   m.Classes.Clone(),
		Zones:     m.Zones.Clone(),
		TypeNames: m.TypeNames.Clone(),
		Jobs: make(
			map[JobID]*Job,
			len(m.Jobs),
		),
		Finals:      map[JobID]Final{},
		Machines:    make(map[MachineID]*Machine, len(m.Machines)),
		ByName:      map[string]*Machine{},
		teamByName:  map[string]*Team{},
		Types:       slices.Clone(m.Types),
		Tombstones:  map[string]bool{},
		NextMachine: m.NextMachine,
		jobOrder:    m.jobOrder,
		LiveTasks:   m.LiveTasks,
		finalSeqs:   map[JobID]uint64{},
		classBias: slices.Clone(
			m.classBias,
		),
		ByClass:  slices.Clone(m.ByClass),
		ByTeam:   slices.Clone(m.ByTeam),
		TermBase: m.TermBase,
		GangWait: m.GangWait,
	}
	for i := range c.Types {
		c.Types[i].ZoneIDs = slices.Clone(c.Types[i].ZoneIDs)
	}
	for _, t := range m.Teams {
		t := *t
		c.Teams = append(c.Teams, &t)
		c.teamByName[t.Name] = &t
	}
	// One piece of memory for each kind: thousands of small ones take ten times as long.
	machines, imageCount, fetchCount, runCount := make([]Machine, len(m.Order)), 0, 0, 0
	for _, machine := range m.Order {
		imageCount, fetchCount, runCount = imageCount+len(
			machine.cache,
		), fetchCount+len(
			machine.fetches,
		), runCount+len(
			machine.Runs,
		)
	}
	c.Order = make([]*Machine, len(m.Order))
	cacheSlab, fetchSlab, runSlab, runPtrs := make(
		[]cachedImage,
		0,
		imageCount,
	), make(
		[]pendingFetch,
		0,
		fetchCount,
	), make(
		[]Run,
		runCount,
	), make(
		[]*Run,
		runCount,
	)
	for i, machine := range m.Order {
		o := &machines[i]
		*o = *machine
		o.cache, cacheSlab = appendPiece(cacheSlab, machine.cache)
		o.fetches, fetchSlab = appendPiece(fetchSlab, machine.fetches)
		o.Health.FailedJobs, o.Contact.unresolvedStarts, o.Contact.reapable = nil, nil, nil
		c.Order[i] = o
		c.Machines[o.ID] = o
	}
	live, taskCount := m.JobsInOrder(), 0
	for _, j := range live {
		taskCount += len(j.Tasks)
	}
	jobs, taskSlab := make([]Job, len(live)), make([]Task, 0, taskCount)
	c.jobsInOrder = make([]*Job, len(live))
	for i, j := range live {
		o := &jobs[i]
		*o = *j
		o.Tasks, taskSlab = appendPiece(taskSlab, j.Tasks)
		o.retryTasks, o.Observed.FailedOn = slices.Clone(j.retryTasks), maps.Clone(j.Observed.FailedOn)
		if j.Team != nil {
			o.Team = c.Teams[j.Team.Index]
		}
		c.Jobs[o.ID], c.jobsInOrder[i] = o, o
	}
	k := 0
	for i, machine := range m.Order { // runs keep their order on a machine: decisions may follow it
		o := c.Order[i]
		from := k
		for _, r := range machine.Runs {
			n := &runSlab[k]
			*n = *r
			n.Job, n.Machine = c.Jobs[r.Job.ID], o
			n.Job.Tasks[r.Task].Run = n
			runPtrs[k] = n
			k++
		}
		o.Runs = runPtrs[from:k:k]
	}
	return c
}

// appendPiece copies a list to the end of a slab, and gives the copy, which can't grow into what follows.
func appendPiece[T any](slab, list []T) (copied, rest []T) {
	from := len(slab)
	slab = append(slab, list...)
	return slab[from:len(slab):len(slab)], slab
}
