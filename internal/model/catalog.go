package model

import (
	"slices"

	"fieldhill/internal/intern"
	"fieldhill/wire"
)

// Type is a machine type with the indexes of its zones.
type Type struct {
	wire.MachineType
	ZoneIDs []int32 // indexes in Model.Zones of the zones in which the cloud offers it
	Known   bool    // described by the cloud; otherwise only the name is known, from a job or a machine
}

// catalog holds the interned names and the cloud's machine types. Entries are never removed, so indexes stay valid.
type catalog struct {
	// Interned names of container images, job classes, zones and machine types.
	Images, Classes, Zones, TypeNames intern.Table
	// Machine types, by their index in TypeNames.
	Types []Type
}

// TypesKnown reports whether the cloud has described any machine type.
func (c *catalog) TypesKnown() bool {
	return slices.ContainsFunc(c.Types, func(t Type) bool { return t.Known })
}

// typeIndex returns the index of the machine type with the given name. It adds a type that is not in the catalog yet,
// with its name only.
func (c *catalog) typeIndex(name string) int32 {
	id := c.TypeNames.ID(name)
	for int(id) >= len(c.Types) {
		c.Types = append(c.Types, Type{})
	}
	return id
}

// setType stores a machine type as described by the cloud.
func (c *catalog) setType(machineType *wire.MachineType) {
	t := &c.Types[c.typeIndex(machineType.Name)]
	t.MachineType, t.Known, t.ZoneIDs = *machineType, true, nil
	for _, z := range machineType.Zones {
		t.ZoneIDs = append(t.ZoneIDs, c.Zones.ID(z))
	}
}

// TypeOf returns the catalog's entry for the type of a machine. The pointer is valid until a type is added.
func (c *catalog) TypeOf(machine *Machine) *Type { return &c.Types[machine.Type] }

// The report of a machine lists its tasks and those that have ended since it received an answer, which makes up to two
// generations of tasks. maxTaskStatusBytes is the size of the status of one task in the JSON form.
const maxTaskStatusBytes = 85

// MaxMachineTasks is the maximum number of tasks on a machine. With more, its report might exceed the size limit of a
// message, and its lease could not be renewed.
const MaxMachineTasks = wire.MaxBody / (2 * maxTaskStatusBytes)

// Fits reports whether a machine has enough free resources for a task of the job. It is false if the cloud has not
// described the machine's type.
func (c *catalog) Fits(j *Job, machine *Machine) bool {
	t := &c.Types[machine.Type]
	return t.Known && machine.CPUs+j.Spec.CPUs <= t.CPUs+epsilon && machine.GPUs+j.Spec.GPUs <= t.GPUs+epsilon &&
		machine.Mem+j.Spec.MemoryGB <= t.MemoryGB+epsilon && len(machine.Runs) < MaxMachineTasks
}

// zonesFor returns the zones that the job allows and in which the cloud offers an allowed machine type that is large
// enough for a task of the job.
func (c *catalog) zonesFor(s *wire.JobSpec) map[int32]bool {
	zones := map[int32]bool{}
	for i := range c.Types {
		t := &c.Types[i]
		if !t.Known || s.CPUs > t.CPUs+epsilon || s.GPUs > t.GPUs+epsilon || s.MemoryGB > t.MemoryGB+epsilon ||
			s.Types != nil && !slices.Contains(s.Types, t.Name) {
			continue
		}
		for _, z := range t.ZoneIDs {
			if s.Zone == nil || c.Zones.Name(z) == *s.Zone {
				zones[z] = true
			}
		}
	}
	return zones
}

// CanEverRun returns the reason why a job can never run with the configured teams and the known machine types, or "" if
// there is no such reason.
func (m *Model) CanEverRun(s *wire.JobSpec) string {
	team := m.teamByName[s.Team]
	if team == nil {
		return "unknown team"
	}
	concurrentTasks := 1.0 // tasks that must run at the same time
	if kindOf(s.Shape) != Array {
		concurrentTasks = float64(s.Tasks)
	}
	if (team.CPUsMax > 0 && s.CPUs*concurrentTasks > team.CPUsMax+epsilon) ||
		(team.GPUsMax > 0 && s.GPUs*concurrentTasks > team.GPUsMax+epsilon) {
		return "over the team's limit"
	}
	zones := m.zonesFor(s)
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case kindOf(s.Shape) == Gang && s.Tasks > 1 && s.Spread && (s.SameZone || len(zones) < 2):
		return "spread leaves no place for all tasks of the gang in one zone"
	}
	return ""
}
