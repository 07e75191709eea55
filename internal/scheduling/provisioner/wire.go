package provisioner

import (
	"time"

	"fieldhill/internal/codec"
	"fieldhill/wire"
)

// MostRows is how many rows of the machine list an outcome may carry between controllers.
const MostRows = 300

// Append encodes an outcome for another controller.
func (o *Outcome) Append(b []byte) []byte {
	b = append(b, byte(o.Kind))
	switch o.Kind {
	case Hired:
		for _, s := range []string{o.Order.Name, o.Order.Type, o.Order.Zone} {
			b = codec.String(b, s)
		}
		b = codec.Bool(b, o.Order.Spot)
		b = codec.Uint(b, uint64(o.Order.Count))
		b = codec.Uint(b, uint64(max(0, o.Ago.Milliseconds())))
		b = appendNames(b, o.Names)
	case Returned:
		b = appendNames(b, o.Names)
	case Listed:
		b = codec.Uint(b, uint64(len(o.Rows)))
		for i := range o.Rows {
			b = appendRow(b, &o.Rows[i])
		}
	case Types:
		b = codec.Uint(b, uint64(len(o.Offers)))
		for i := range o.Offers {
			t := &o.Offers[i]
			b = codec.String(b, t.Name)
			for _, f := range []float64{t.CPUs, t.GPUs, t.MemoryGB, t.CacheGB, t.FetchGBPerS, t.Price, t.SpotPrice, t.BootS} {
				b = codec.Float(b, f)
			}
			b = appendNames(b, t.Zones)
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

// ListedInParts makes outcomes of a machine list, each of MostRows rows and about so many bytes at most. An empty list
// is one outcome too: it says that the cloud answers.
func ListedInParts(rows []wire.ListedMachine, most int) (parts []*Outcome) {
	from, size := 0, 0
	var row []byte
	for i := range rows {
		row = appendRow(row[:0], &rows[i])
		if i > from && (i-from == MostRows || size+len(row) > most) {
			parts = append(parts, &Outcome{Kind: Listed, Rows: rows[from:i]})
			from, size = i, 0
		}
		size += len(row)
	}
	return append(parts, &Outcome{Kind: Listed, Rows: rows[from:]})
}

func appendNames(b []byte, names []string) []byte {
	b = codec.Uint(b, uint64(len(names)))
	for _, n := range names {
		b = codec.String(b, n)
	}
	return b
}

func readNames(r *codec.Reader) []string {
	n := r.Max(uint64(len(r.B)))
	list := make([]string, 0, n)
	for range n {
		list = append(list, r.String())
	}
	return list
}

// Read decodes an outcome. What is cut short or goes on is an error.
func Read(b []byte) (*Outcome, error) {
	if len(b) == 0 {
		return nil, codec.ErrShort
	}
	o, r := &Outcome{Kind: Kind(b[0])}, &codec.Reader{B: b[1:]}
	switch o.Kind {
	case Hired:
		o.Order = Order{Name: r.String(), Type: r.String(), Zone: r.String(), Spot: r.Bool(), Count: r.Max(wire.MaxHire)}
		o.Ago = time.Duration(r.Max(1<<31)) * time.Millisecond
		o.Names = readNames(r)
	case Returned:
		o.Names = readNames(r)
	case Listed:
		for range r.Max(MostRows) {
			o.Rows = append(o.Rows, wire.ListedMachine{Name: r.String(), Addr: r.String(), Type: r.String(), Zone: r.String(), State: r.String(), Spot: r.Bool(), AgeS: r.Float()})
		}
	case Types:
		for range r.Max(uint64(len(r.B))) {
			t := wire.MachineType{Name: r.String()}
			for _, f := range []*float64{&t.CPUs, &t.GPUs, &t.MemoryGB, &t.CacheGB, &t.FetchGBPerS, &t.Price, &t.SpotPrice, &t.BootS} {
				*f = r.Float()
			}
			t.Zones = readNames(r)
			o.Offers = append(o.Offers, t)
		}
	case Away:
	default:
		return nil, codec.ErrShort
	}
	if !r.Done() {
		return nil, codec.ErrShort
	}
	return o, nil
}
