package intern

import "testing"

// TestTable: names have indices in the order of first sight, and a clone goes its own way.
func TestTable(t *testing.T) {
	var table Table
	for i, name := range []string{"x", "y", "x"} {
		if id := table.ID(name); id != int32(i%2) {
			t.Errorf("%q, number %d, has index %d", name, i, id)
		}
	}
	if id, ok := table.Find("y"); !ok || id != 1 || table.Name(id) != "y" || table.Len() != 2 {
		t.Errorf("y has index %d, %v, of %d", id, ok, table.Len())
	}
	if _, ok := table.Find("z"); ok {
		t.Error("a name that was never seen is found")
	}
	clone := table.Clone()
	clone.ID("z")
	if _, ok := table.Find("z"); ok || table.Len() != 2 || clone.Len() != 3 || clone.Name(0) != "x" {
		t.Errorf("after a clone has one more name: %d names, the clone %d", table.Len(), clone.Len())
	}
}
