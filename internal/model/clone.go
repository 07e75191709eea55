package model

import (
	"maps"
	"slices"
)

// Clone copies what scheduling reads and changes: jobs, runs, machines, teams and names. Nothing
// that the copy's owner does reaches the model, and the copy may be read while the model goes
// on; what never changes (jobs' descriptions, machines' details) is shared. What only matters
// between a leader and its workers (commands under way, judgements) is left out, and so are the
// final states, which grow with history. It takes some milliseconds for ten thousand runs.
func (m *Model) Clone() *Model {
	c := &Model{
		Images: m.Images.Clone(), Classes: m.Classes.Clone(), Zones: m.Zones.Clone(), TypeNames: m.TypeNames.Clone(),
		Jobs: make(map[JobID]*Job, len(m.Jobs)), Finals: map[JobID]Final{}, Machines: make(map[MachineID]*Machine, len(m.Machines)),
		ByName: make(map[string]*Machine, len(m.Machines)), teamByName: map[string]*Team{}, Types: slices.Clone(m.Types), Tombs: map[string]bool{},
		NextMachine: m.NextMachine, jobOrder: m.jobOrder, LiveTasks: m.LiveTasks, finalSeq: map[JobID]uint64{},
		bias: slices.Clone(m.bias), TermBase: m.TermBase,
	}
	for i := range c.Types {
		c.Types[i].ZoneIDs = slices.Clone(c.Types[i].ZoneIDs)
	}
	for _, t := range m.Teams {
		t := *t
		c.Teams = append(c.Teams, &t)
		c.teamByName[t.Name] = &t
	}
	for _, mc := range m.Order {
		o := *mc
		o.Runs, o.cache, o.pulls = make([]*Run, 0, len(mc.Runs)), slices.Clone(mc.cache), slices.Clone(mc.pulls)
		o.FailedJobs, o.unsure, o.dead = nil, nil, nil
		c.Order = append(c.Order, &o)
		c.Machines[o.ID], c.ByName[o.Info.Name] = &o, &o
	}
	for _, j := range m.JobsInOrder() {
		o := *j
		o.Tasks, o.retry, o.FailedOn = slices.Clone(j.Tasks), slices.Clone(j.retry), maps.Clone(j.FailedOn)
		if j.Team != nil {
			o.Team = c.Teams[j.Team.Index]
		}
		c.Jobs[o.ID] = &o
		c.inOrder = append(c.inOrder, &o)
	}
	for i, mc := range m.Order { // runs keep their order on a machine: decisions may follow it
		for _, r := range mc.Runs {
			o := *r
			o.Job, o.Machine = c.Jobs[r.Job.ID], c.Order[i]
			o.Job.Tasks[r.Task].Run = &o
			c.Order[i].Runs = append(c.Order[i].Runs, &o)
		}
	}
	return c
}
