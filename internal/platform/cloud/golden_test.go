package cloud

import (
	"context"
	"net/http"
	"testing"

	"fieldhill/internal/golden"
	"fieldhill/internal/platform/host"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// TestGoldenRequests compares the requests to the cloud and the decoded responses, among them a list of two pages, with
// the stored file.
func TestGoldenRequests(t *testing.T) {
	machine := wire.ListedMachine{Name: "m-7", Addr: "10.1.0.7:70", Type: "g8", Zone: "a", Spot: true,
		State: wire.MachineRunning, AgeS: 7.25}
	second := machine
	second.Name, second.State = "m-8 &", wire.MachineFailed
	recorder := golden.NewRecorder(t)
	c := New(host.TCP{}, recorder.Addr, 1000)
	defer c.Close()
	ctx := context.Background()
	machineType := wire.MachineType{Name: "g8", CPUs: 32, GPUs: 8, MemoryGB: 256, CacheGB: 100, FetchGBPerS: 0.1,
		Price: 3.5, SpotPrice: 1.25, BootS: 40, Zones: []string{"a", "b"}}
	request := &wire.ScaleOutRequest{IdempotencyKey: "fh-1-2", Type: "g8", Zone: "a", Spot: true, Count: 2}
	for _, call := range []struct {
		name      string
		do        func() (any, error)
		responses []any
	}{
		{"types", func() (any, error) {
			types, err := c.MachineTypes(ctx)
			return &wire.MachineTypes{Types: types}, err
		}, []any{&wire.MachineTypes{Types: []wire.MachineType{machineType}}}},
		{"hire", func() (any, error) {
			names, err := c.Provision(ctx, request)
			return &wire.MachineNames{Machines: names}, err
		}, []any{&wire.MachineNames{Machines: []string{"m-7", "m-8"}}}},
		{"release", func() (any, error) {
			return &wire.MachineNames{}, c.Release(ctx, []string{"m-7", "m-8"})
		}, []any{&wire.MachineNames{}}},
		{"list", func() (any, error) {
			list, err := c.ListMachines(ctx)
			return &wire.MachineList{Machines: list}, err
		}, []any{&wire.MachineList{Machines: []wire.ListedMachine{machine, second}, More: true},
			&wire.MachineList{Machines: []wire.ListedMachine{machine}}}},
	} {
		var bodies [][]byte
		for _, response := range call.responses {
			body, err := wire.Marshal(response)
			if err != nil {
				t.Fatal(err)
			}
			bodies = append(bodies, body)
		}
		for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusServiceUnavailable} {
			if recorder.Reply(status, nil); status == http.StatusOK {
				recorder.Reply(status, nil, bodies...)
			}
			recorder.Note("=== %s, answered with %d", call.name, status)
			got, err := call.do()
			body, _ := wire.Marshal(got)
			recorder.Note("error %v, code %d, read %s", err, msgpackhttp.StatusCode(err), golden.FormatBody(body))
		}
	}
	golden.Check(t, "requests.txt", recorder.Text())
}
