package provisioner

import (
	"time"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// MaxListedMachines is how many rows of the machine list an outcome may carry between controllers.
const MaxListedMachines = 300

// Append encodes an outcome for another controller.
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
			machineType := &result.MachineTypes[i]
			b = codec.String(b, machineType.Name)
			for _, f := range []float64{machineType.CPUs, machineType.GPUs, machineType.MemoryGB, machineType.CacheGB, machineType.FetchGBPerS, machineType.Price, machineType.SpotPrice, machineType.BootS} {
				b = codec.Float(b, f)
			}
			b = appendNames(b, machineType.Zones)
		}
	}
	return b
}

func appendRow(b []byte, r *wire.ListedMachine) []byte {
	for _, s := range []string{r.Name, r.Addr, r.Type, r.Zone, r.State} {
		b = codec.String(b, s)
	}
	return codec.Float(codec.Bool(b, r.Spot), r.AgeS)
}

// SplitListed makes outcomes of a machine list, each of MaxListedMachines rows and about so many bytes at most. An
// empty list is one outcome too: it says that the cloud answers.
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

// ReadResult decodes an outcome. What is cut short or goes on is an error.
func ReadResult(b []byte) (*Result, error) {
	if len(b) == 0 {
		return nil, codec.ErrShort
	}
	result, r := &Result{Kind: ResultKind(b[0])}, &codec.Reader{Data: b[1:]}
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
			result.Listing = append(
				result.Listing,
				wire.ListedMachine{
					Name:  r.String(),
					Addr:  r.String(),
					Type:  r.String(),
					Zone:  r.String(),
					State: r.String(),
					Spot:  r.Bool(),
					AgeS:  r.Float(),
				},
			)
		}
	case TypesListed:
		for range r.Max(uint64(len(r.Data))) {
			machineType := wire.MachineType{Name: r.String()}
			for _, f := range []*float64{&machineType.CPUs, &machineType.GPUs, &machineType.MemoryGB, &machineType.CacheGB, &machineType.FetchGBPerS, &machineType.Price, &machineType.SpotPrice, &machineType.BootS} {
				*f = r.Float()
			}
			machineType.Zones = readNames(r)
			result.MachineTypes = append(result.MachineTypes, machineType)
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
