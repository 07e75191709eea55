package scale

// CapacityTables recomputes the tables of docs/CAPACITY.md.
func CapacityTables(dir string) (string, error) { return "", nil }
