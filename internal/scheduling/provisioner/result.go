package provisioner

import (
	"time"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// MaxListedMachines is how many rows of the machine list a result may carry between controllers.
const MaxListedMachines = 300

// Append encodes a result for another controller.
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
	case Released:
		b = appendNames(b, result.Machines)
	case MachinesListed:
		b = codec.Uint(b, uint64(len(result.Listing)))
		for i := range result.Listing {
			b = appendRow(b, &result.Listing[i])
		}
	case TypesListed:
		b = codec.Uint(b, uint64(len(result.MachineTypes)))
		for i := range result.MachineTypes {
			b = appendType(b, &result.MachineTypes[i])
		}
	}
	return b
}

// typeNumbers are the numbers of a machine type, in the order of the format.
func typeNumbers(t *wire.MachineType) []*float64 {
	return []*float64{
		&t.CPUs, &t.GPUs, &t.MemoryGB, &t.CacheGB, &t.FetchGBPerS, &t.Price, &t.SpotPrice, &t.BootS,
	}
}

func appendType(b []byte, t *wire.MachineType) []byte {
	b = codec.String(b, t.Name)
	for _, f := range typeNumbers(t) {
		b = codec.Float(b, *f)
	}
	return appendNames(b, t.Zones)
}

func readType(r *codec.Reader) wire.MachineType {
	t := wire.MachineType{Name: r.String()}
	for _, f := range typeNumbers(&t) {
		*f = r.Float()
	}
	t.Zones = readNames(r)
	return t
}

func appendRow(b []byte, r *wire.ListedMachine) []byte {
	for _, s := range []string{r.Name, r.Addr, r.Type, r.Zone, r.State} {
		b = codec.String(b, s)
	}
	return codec.Float(codec.Bool(b, r.Spot), r.AgeS)
}

func readRow(r *codec.Reader) wire.ListedMachine {
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

// SplitListed makes results of a machine list, each of MaxListedMachines rows and about so many bytes at most. An
// empty list is one result too: it says that the cloud answers.
func SplitListed(rows []wire.ListedMachine, maxBytes int) (parts []*Result) {
	from, size := 0, 0
	var row []byte
	for i := range rows {
		row = appendRow(row[:0], &rows[i])
		if i > from && (i-from == MaxListedMachines || size+len(row) > maxBytes) {
			parts = append(parts, &Result{Kind: MachinesListed, Listing: rows[from:i]})
			from, size = i, 0
		}
		size += len(row)
	}
	return append(parts, &Result{Kind: MachinesListed, Listing: rows[from:]})
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

// ReadResult decodes a result. What is truncated or goes on is an error.
func ReadResult(b []byte) (*Result, error) {
	if len(b) == 0 {
		return nil, codec.ErrShort
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
	case Released:
		result.Machines = readNames(r)
	case MachinesListed:
		for range r.Max(MaxListedMachines) {
			result.Listing = append(result.Listing, readRow(r))
		}
	case TypesListed:
		for range r.Max(uint64(len(r.Data))) {
			result.MachineTypes = append(result.MachineTypes, readType(r))
		}
	case CloudUnavailable:
	default:
		return nil, codec.ErrShort
	}
	if !r.Done() {
		return nil, codec.ErrShort
	}
	return result, nil
}
