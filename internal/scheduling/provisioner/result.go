package provisioner

import (
	"slices"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// MaxListedMachines is the maximum number of machines in one listing result between controllers.
const MaxListedMachines = 300

// Append appends the result to b, in the encoding for other controllers, and returns the extended slice.
func (result *Result) Append(b []byte) []byte {
	b = append(b, byte(result.Kind))
	switch result.Kind {
	case ScaledOut:
		for _, s := range []string{result.ScaleOut.Name, result.ScaleOut.Type, result.ScaleOut.Zone} {
			b = codec.String(b, s)
		}
		b = codec.Bool(b, result.ScaleOut.Spot)
		b = codec.Uint(b, uint64(result.ScaleOut.Count))
		b = codec.Uint(b, uint64(max(0, result.Elapsed.Milliseconds())))
		b = appendNames(b, result.Machines)
	case Released, MachinesUnlisted:
		b = appendNames(b, result.Machines)
	case MachinesListed:
		b = codec.Uint(b, uint64(len(result.Listing)))
		for i := range result.Listing {
			b = appendListedMachine(b, &result.Listing[i])
		}
	case TypesListed:
		b = codec.Uint(b, uint64(len(result.MachineTypes)))
		for i := range result.MachineTypes {
			b = appendMachineType(b, &result.MachineTypes[i])
		}
	}
	return b
}

// numericFields returns pointers to the numeric fields of a machine type, in the order of the encoding.
func numericFields(t *wire.MachineType) []*float64 {
	return []*float64{
		&t.CPUs, &t.GPUs, &t.MemoryGB, &t.CacheGB, &t.FetchGBPerS, &t.Price, &t.SpotPrice, &t.BootS,
	}
}

func appendMachineType(b []byte, t *wire.MachineType) []byte {
	b = codec.String(b, t.Name)
	for _, f := range numericFields(t) {
		b = codec.Float(b, *f)
	}
	return appendNames(b, t.Zones)
}

func readMachineType(r *codec.Reader) wire.MachineType {
	t := wire.MachineType{Name: r.String()}
	for _, f := range numericFields(&t) {
		*f = r.Float()
	}
	t.Zones = readNames(r)
	return t
}

func appendListedMachine(b []byte, m *wire.ListedMachine) []byte {
	for _, s := range []string{m.Name, m.Addr, m.Type, m.Zone, m.State} {
		b = codec.String(b, s)
	}
	return codec.Float(codec.Bool(b, m.Spot), m.AgeS)
}

func readListedMachine(r *codec.Reader) wire.ListedMachine {
	return wire.ListedMachine{
		Name:  r.String(),
		Addr:  r.String(),
		Type:  r.String(),
		Zone:  r.String(),
		State: r.String(),
		Spot:  r.Bool(),
		AgeS:  r.Float(),
	}
}

// SplitListing splits a machine list into results of at most MaxListedMachines machines and about maxBytes bytes each.
// An empty list gives one result without machines, which proves that the cloud answered.
func SplitListing(machines []wire.ListedMachine, maxBytes int) (parts []*Result) {
	start, size := 0, 0
	var encoded []byte
	for i := range machines {
		encoded = appendListedMachine(encoded[:0], &machines[i])
		if i > start && (i-start == MaxListedMachines || size+len(encoded) > maxBytes) {
			parts = append(parts, &Result{Kind: MachinesListed, Listing: machines[start:i]})
			start, size = i, 0
		}
		size += len(encoded)
	}
	return append(parts, &Result{Kind: MachinesListed, Listing: machines[start:]})
}

// SplitUnlisted returns results with the names of machines that the cloud no longer lists, at most MaxListedMachines in
// each.
func SplitUnlisted(names []string) (parts []*Result) {
	for part := range slices.Chunk(names, MaxListedMachines) {
		parts = append(parts, &Result{Kind: MachinesUnlisted, Machines: part})
	}
	return parts
}

func appendNames(b []byte, names []string) []byte {
	b = codec.Uint(b, uint64(len(names)))
	for _, n := range names {
		b = codec.String(b, n)
	}
	return b
}

func readNames(r *codec.Reader) []string {
	n := r.Max(uint64(len(r.Data)))
	list := make([]string, 0, n)
	for range n {
		list = append(list, r.String())
	}
	return list
}

// ReadResult decodes a result. It returns codec.ErrMalformed if the input is empty, truncated or of an unknown kind, or
// has trailing bytes.
func ReadResult(b []byte) (*Result, error) {
	if len(b) == 0 {
		return nil, codec.ErrMalformed
	}
	result := &Result{Kind: ResultKind(b[0])}
	r := &codec.Reader{Data: b[1:]}
	switch result.Kind {
	case ScaledOut:
		result.ScaleOut = ScaleOut{
			Name:  r.String(),
			Type:  r.String(),
			Zone:  r.String(),
			Spot:  r.Bool(),
			Count: r.Max(wire.MaxScaleOut),
		}
		result.Elapsed = time.Duration(r.Max(1<<31)) * time.Millisecond
		result.Machines = readNames(r)
	case Released, MachinesUnlisted:
		result.Machines = readNames(r)
	case MachinesListed:
		for range r.Max(MaxListedMachines) {
			result.Listing = append(result.Listing, readListedMachine(r))
		}
	case TypesListed:
		for range r.Max(uint64(len(r.Data))) {
			result.MachineTypes = append(result.MachineTypes, readMachineType(r))
		}
	case CloudUnavailable:
	default:
		return nil, codec.ErrMalformed
	}
	if !r.Done() {
		return nil, codec.ErrMalformed
	}
	return result, nil
}
