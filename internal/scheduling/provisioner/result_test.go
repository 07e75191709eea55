package provisioner

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/cloud"
	"fieldhill/wire"
)

// TestResultRoundTrip checks that results are decoded as they were encoded, and that truncated encodings and trailing
// bytes are rejected.
func TestResultRoundTrip(t *testing.T) {
	for _, result := range []Result{
		{Kind: ScaledOut, ScaleOut: ScaleOut{"fh-3-1", "small", "a", true, 12}, Machines: []string{"host-1", "host-2"},
			Elapsed: 1500 * time.Millisecond},
		{Kind: ScaledOut, ScaleOut: ScaleOut{Name: "fh-3-2", Count: 50}, Machines: []string{}},
		{Kind: Released, Machines: []string{"host-1"}},
		{Kind: MachinesUnlisted, Machines: []string{"host-1"}},
		{Kind: MachinesListed, Listing: []wire.ListedMachine{{Name: "host-1", Addr: "10.1.0.1:1", Type: "small",
			Zone: "a", Spot: true, State: wire.MachineRunning, AgeS: 61.5}}},
		{Kind: TypesListed, MachineTypes: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.18,
			BootS: 25, Zones: []string{"a", "b"}}}},
		{Kind: CloudUnavailable},
	} {
		encoded := result.Append(nil)
		decoded, err := ReadResult(encoded)
		if err != nil {
			t.Fatalf("kind %d: ReadResult: %v", result.Kind, err)
		}
		if diff := cmp.Diff(&result, decoded); diff != "" {
			t.Errorf("kind %d: decoded result differs (-want +got): %s", result.Kind, diff)
		}
		for n := range encoded {
			if _, err := ReadResult(encoded[:n]); err == nil {
				t.Errorf("kind %d: ReadResult of %d of %d bytes: got no error, want one", result.Kind, n, len(encoded))
			}
		}
		if _, err := ReadResult(append(encoded, 0)); err == nil {
			t.Errorf("kind %d: ReadResult with a trailing byte: got no error, want one", result.Kind)
		}
	}
}

// TestSplitListingRoundTrip checks that machine lists of any length are split into results that other controllers can
// read, without loss, and that an empty list gives one result.
func TestSplitListingRoundTrip(t *testing.T) {
	const maxBytes = 64 << 10
	for _, c := range []struct{ machines, nameLength, parts int }{
		{0, 11, 1}, {1, 11, 1}, {300, 11, 1}, {301, 11, 2}, {4000, 11, 14}, {10_000, 11, 34}, {4000, 1000, 64},
	} {
		machines := make([]wire.ListedMachine, c.machines)
		for i := range machines {
			machines[i] = wire.ListedMachine{Name: fmt.Sprintf("%0*d", c.nameLength, i), Type: "small", Zone: "a",
				State: wire.MachineRunning}
		}
		parts := SplitListing(machines, maxBytes)
		if len(parts) != c.parts {
			t.Errorf("%d machines: got %d parts, want %d", c.machines, len(parts), c.parts)
		}
		var all []wire.ListedMachine
		for _, part := range parts {
			b := part.Append(nil)
			got, err := ReadResult(b)
			if err != nil || len(b) > maxBytes+16 {
				t.Fatalf("%d machines: part of %d bytes, want at most %d; error %v",
					c.machines, len(b), maxBytes+16, err)
			}
			all = append(all, got.Listing...)
		}
		if !slices.Equal(all, machines) {
			t.Errorf("%d machines: got %d after the round trip, want the same machines unchanged", c.machines, len(all))
		}
	}
}

// TestListingElapsedCoversAllPages checks that the reported duration of a listing covers all its pages.
func TestListingElapsedCoversAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, pageDelay = 20, 1500 * time.Millisecond // as for 10,000 machines
		network := emulator.NewNetwork()
		ln, err := network.Host("cloud").Listen("cloud:1")
		if err != nil {
			t.Fatal(err)
		}
		pagesRead := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(pageDelay)
			pagesRead++
			machines := []wire.ListedMachine{{Name: fmt.Sprintf("host-%06d", pagesRead)}}
			b, _ := wire.Marshal(&wire.MachineList{More: pagesRead < pages, Machines: machines})
			_, _ = w.Write(b)
		})}
		go func() { _ = server.Serve(ln) }()
		ctx, stop := context.WithCancel(t.Context())
		client := cloud.New(network.Host("node"), "cloud:1", 100)
		results := make(chan Result, 1)
		p := New(ctx, client, 1, time.Second, func() bool { return true }, func(f func()) { f() },
			func(r Result) { results <- r }, slog.New(slog.DiscardHandler))
		p.fetchListing()
		result := <-results
		if result.Kind != MachinesListed || len(result.Listing) != pages || result.Elapsed < pages*pageDelay {
			t.Errorf("got kind %d, %d machines, elapsed %v; want kind %d, %d machines, elapsed at least %v",
				result.Kind, len(result.Listing), result.Elapsed, MachinesListed, pages, pages*pageDelay)
		}
		stop()
		client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}
