package model

import (
	"slices"

	"fieldhill/internal/intern"
	"fieldhill/wire"
)

// Type is a machine type.
type Type struct {
	wire.MachineType
	ZoneIDs []int32 // where the cloud offers it
	Known   bool    // the cloud has described it; else only its name is known, from a job or a machine
}

// catalog holds the names that others refer to by index, and the cloud's machine types. It only grows.
type catalog struct {
	// The names of container images, job classes, zones and machine types.
	Images, Classes, Zones, TypeNames intern.Table
	// Types are the machine types, by their index in TypeNames.
	Types []Type
}

// TypesKnown tells whether the cloud's offer is known.
func (c *catalog) TypesKnown() bool {
	return slices.ContainsFunc(c.Types, func(t Type) bool { return t.Known })
}

// typeIndex returns the slot of a type, and makes one if its name is new.
func (c *catalog) typeIndex(name string) int32 {
	id := c.TypeNames.ID(name)
	for int(id) >= len(c.Types) {
		c.Types = append(c.Types, Type{})
	}
	return id
}

// setType takes in a machine type as the cloud describes it.
func (c *catalog) setType(described *wire.MachineType) {
	t := &c.Types[c.typeIndex(described.Name)]
	t.MachineType, t.Known, t.ZoneIDs = *described, true, nil
	for _, z := range described.Zones {
		t.ZoneIDs = append(t.ZoneIDs, c.Zones.ID(z))
	}
}

// TypeOf returns a machine's type.
func (c *catalog) TypeOf(machine *Machine) *Type { return &c.Types[machine.Type] }

// Fits tells whether a task of the job has room on a machine.
func (c *catalog) Fits(j *Job, machine *Machine) bool {
	t := &c.Types[machine.Type]
	return t.Known && machine.CPUs+j.Spec.CPUs <= t.CPUs+epsilon && machine.GPUs+j.Spec.GPUs <= t.GPUs+epsilon &&
		machine.Mem+j.Spec.MemoryGB <= t.MemoryGB+epsilon
}

// zonesFor is the set of the zones in which the cloud offers an allowed type on which a task of a job has room.
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

// CanEverRun says why a job can never run, or "".
func (m *Model) CanEverRun(s *wire.JobSpec) string {
	team := m.teamByName[s.Team]
	if team == nil {
		return "unknown team"
	}
	together := 1.0 // tasks that run at once or not at all
	if kindOf(s.Shape) != Array {
		together = float64(s.Tasks)
	}
	if (team.CPUsMax > 0 && s.CPUs*together > team.CPUsMax+epsilon) ||
		(team.GPUsMax > 0 && s.GPUs*together > team.GPUsMax+epsilon) {
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
