package provisioner

import (
	"fmt"
	"testing"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/golden"
	"fieldhill/wire"
)

// TestGoldenResults checks that the encoding of results exchanged between controllers, including the numbers of the
// result kinds, does not change.
func TestGoldenResults(t *testing.T) {
	machines := []wire.ListedMachine{
		{Name: "host-1", Addr: "10.1.0.1:1", Type: "small", Zone: "a", Spot: true, State: wire.MachineRunning,
			AgeS: 61.5},
		{Name: "host-2", Zone: "b", State: wire.MachineBooting},
	}
	machineTypes := []wire.MachineType{
		{Name: "small", CPUs: 4, GPUs: 0.5, MemoryGB: 16, CacheGB: 50, FetchGBPerS: 0.25, Price: 0.18, SpotPrice: 0.06,
			BootS: 25, Zones: []string{"a", "b"}},
		{Name: "none", Zones: []string{}},
	}
	for _, c := range []struct {
		file   string
		number byte
		want   Result
	}{
		{"hired.hex", 1, Result{Kind: ScaledOut, Machines: []string{"host-1", "host-2"},
			ScaleOut: ScaleOut{Name: "fh-3-1", Type: "small", Zone: "a", Spot: true, Count: 12},
			Elapsed:  1500 * time.Millisecond}},
		{"hired-none.hex", 1, Result{Kind: ScaledOut, Machines: []string{},
			ScaleOut: ScaleOut{Name: "fh-3-2", Count: 50}}},
		{"returned.hex", 2, Result{Kind: Released, Machines: []string{"host-1", "host-300"}}},
		{"listed.hex", 3, Result{Kind: MachinesListed, Listing: machines}},
		{"listed-none.hex", 3, Result{Kind: MachinesListed}},
		{"types.hex", 4, Result{Kind: TypesListed, MachineTypes: machineTypes}},
		{"away.hex", 5, Result{Kind: CloudUnavailable}},
		{"unlisted.hex", 6, Result{Kind: MachinesUnlisted, Machines: []string{"host-1", "host-300"}}},
	} {
		write := func(result *Result) []byte { return result.Append(nil) }
		golden.RoundTrip(t, c.file, &c.want, write, ReadResult)
		if b := golden.Read(t, c.file); b[0] != c.number {
			t.Errorf("%s: result kind: got %d, want %d", c.file, b[0], c.number)
		}
	}
	for _, number := range []byte{0, 7} {
		if _, err := ReadResult([]byte{number}); err == nil {
			t.Errorf("ReadResult with unknown kind %d: got no error, want one", number)
		}
	}
}

// TestReadMaxListedMachines checks that a result with the maximum number of listed machines can be read.
func TestReadMaxListedMachines(t *testing.T) {
	b := codec.Uint([]byte{3}, 300)
	for i := range 300 {
		b = codec.Float(append(codec.String(b, fmt.Sprint("host-", i)), 0, 0, 0, 0, 0), 1)
	}
	result, err := ReadResult(b)
	if err != nil || len(result.Listing) != 300 || result.Listing[299].Name != "host-299" {
		t.Errorf("ReadResult with 300 listed machines: got %+v, error %v; want host-0 to host-299", result, err)
	}
}
