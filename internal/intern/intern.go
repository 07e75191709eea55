// Package intern maps names to dense indices, so that internal code compares and stores small integers, and uses slices
// instead of maps for tables by name.
package intern

import (
	"maps"
	"slices"
)

// Table assigns each name an index, starting from 0, in the order in which the names are added. The zero value is an
// empty table.
type Table struct {
	ids   map[string]int32
	names []string // by index
}

// ID returns the index of a name, adding the name if it is new.
func (t *Table) ID(name string) int32 {
	if id, ok := t.ids[name]; ok {
		return id
	}
	if t.ids == nil {
		t.ids = map[string]int32{}
	}
	id := int32(len(t.names))
	t.ids[name] = id
	t.names = append(t.names, name)
	return id
}

// Find returns the index of a name, and whether the table has the name.
func (t *Table) Find(name string) (int32, bool) {
	id, ok := t.ids[name]
	return id, ok
}

// Name returns the name with the given index, which must be one that ID has returned.
func (t *Table) Name(id int32) string { return t.names[id] }

// Len returns the number of names.
func (t *Table) Len() int { return len(t.names) }

// Clone returns an independent copy of the table.
func (t *Table) Clone() Table { return Table{maps.Clone(t.ids), slices.Clone(t.names)} }
