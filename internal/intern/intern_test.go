package intern

import "testing"

// TestTable checks that indices follow the order in which names are added, and that a clone is independent.
func TestTable(t *testing.T) {
	var table Table
	for i, name := range []string{"x", "y", "x"} {
		if id := table.ID(name); id != int32(i%2) {
			t.Errorf("name %q at position %d: index %d", name, i, id)
		}
	}
	if id, ok := table.Find("y"); !ok || id != 1 || table.Name(id) != "y" || table.Len() != 2 {
		t.Errorf("name y: index %d, found %v, %d names", id, ok, table.Len())
	}
	if _, ok := table.Find("z"); ok {
		t.Error("found a name that was not added")
	}
	clone := table.Clone()
	clone.ID("z")
	if _, ok := table.Find("z"); ok || table.Len() != 2 || clone.Len() != 3 || clone.Name(0) != "x" {
		t.Errorf("after adding a name to the clone: table has %d names, clone %d", table.Len(), clone.Len())
	}
}
