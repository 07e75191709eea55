package intern

import "testing"

// TestTable checks that indices follow the order in which names are added, and that a clone is independent.
func TestTable(t *testing.T) {
	var table Table
	for i, name := range []string{"x", "y", "x"} {
		if id := table.ID(name); id != int32(i%2) {
			t.Errorf("name %q at position %d: got index %d, want %d", name, i, id, i%2)
		}
	}
	if id, ok := table.Find("y"); !ok || id != 1 || table.Name(id) != "y" || table.Len() != 2 {
		t.Errorf("name y: got index %d, found %v, %d names, want index 1, found, 2 names", id, ok, table.Len())
	}
	if _, ok := table.Find("z"); ok {
		t.Error("name z, which was not added: found, want not found")
	}
	clone := table.Clone()
	clone.ID("z")
	if _, ok := table.Find("z"); ok || table.Len() != 2 || clone.Len() != 3 || clone.Name(0) != "x" {
		t.Errorf("after adding a name to the clone: got %d names in the table and %d in the clone, want 2 and 3",
			table.Len(), clone.Len())
	}
}
