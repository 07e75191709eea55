// Package intern maps names to dense indices, so that everything behind the
// edges of the program compares and stores small integers, and tables by name are
// slices.
package intern

import (
	"maps"
	"slices"
)

// Table gives each name an index, counted from 0 in the order in which they were first seen. The zero value is empty.
type Table struct {
	ids   map[string]int32
	names []string // by index
}

// ID returns the index of a name, giving it one if it is new.
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

// Find returns the index of a name that is known already.
func (t *Table) Find(name string) (int32, bool) {
	id, ok := t.ids[name]
	return id, ok
}

// Name returns the name behind an index.
func (t *Table) Name(id int32) string { return t.names[id] }

// Len tells how many names there are.
func (t *Table) Len() int { return len(t.names) }

// Clone copies a table: names that either gets later are not in the other.
func (t *Table) Clone() Table { return Table{maps.Clone(t.ids), slices.Clone(t.names)} }
