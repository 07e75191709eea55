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

// TestResultRoundTrip: what is written is read, and what is truncated anywhere, or goes on, is refused.
func TestResultRoundTrip(t *testing.T) {
	for _, result := range []Result{
		{Kind: ScaledOut, ScaleOut: ScaleOut{"fh-3-1", "small", "a", true, 12}, Machines: []string{"host-1", "host-2"},
			Elapsed: 1500 * time.Millisecond},
		{Kind: ScaledOut, ScaleOut: ScaleOut{Name: "fh-3-2", Count: 50}, Machines: []string{}},
		{Kind: Released, Machines: []string{"host-1"}},
		{Kind: MachinesListed, Listing: []wire.ListedMachine{{Name: "host-1", Addr: "10.1.0.1:1", Type: "small",
			Zone: "a", Spot: true, State: wire.MachineRunning, AgeS: 61.5}}},
		{Kind: TypesListed, MachineTypes: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Price: 0.18,
			BootS: 25, Zones: []string{"a", "b"}}}},
		{Kind: CloudUnavailable},
	} {
		encoded := result.Append(nil)
		decoded, err := ReadResult(encoded)
		if err != nil {
			t.Fatalf("kind %d: %v", result.Kind, err)
		}
		if diff := cmp.Diff(&result, decoded); diff != "" {
			t.Errorf("kind %d: %s", result.Kind, diff)
		}
		for n := range encoded {
			if _, err := ReadResult(encoded[:n]); err == nil {
				t.Errorf("kind %d: %d of %d bytes are taken", result.Kind, n, len(encoded))
			}
		}
		if _, err := ReadResult(append(encoded, 0)); err == nil {
			t.Errorf("kind %d: what goes on is taken", result.Kind)
		}
	}
}

// TestListInParts: a list of any length is reported whole, each part is one that other controllers read, and an empty
// one is reported.
func TestListInParts(t *testing.T) {
	const most = 64 << 10
	for _, c := range []struct{ rows, letters, parts int }{
		{0, 11, 1}, {1, 11, 1}, {300, 11, 1}, {301, 11, 2}, {4000, 11, 14}, {10_000, 11, 34}, {4000, 1000, 64},
	} {
		rows := make([]wire.ListedMachine, c.rows)
		for i := range rows {
			rows[i] = wire.ListedMachine{Name: fmt.Sprintf("%0*d", c.letters, i), Type: "small", Zone: "a",
				State: wire.MachineRunning}
		}
		parts := SplitListed(rows, most)
		if len(parts) != c.parts {
			t.Errorf("%d rows: %d parts, not %d", c.rows, len(parts), c.parts)
		}
		var all []wire.ListedMachine
		for _, o := range parts {
			b := o.Append(nil)
			got, err := ReadResult(b)
			if err != nil || len(b) > most+16 {
				t.Fatalf("%d rows: a part of %d bytes: %v", c.rows, len(b), err)
			}
			all = append(all, got.Listing...)
		}
		if !slices.Equal(all, rows) {
			t.Errorf("%d rows came back as %d", c.rows, len(all))
		}
	}
}

// TestListIsTimed: a result says how long the whole list took to read, page after page.
func TestListIsTimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, each = 20, 1500 * time.Millisecond // 10,000 machines
		network := emulator.NewNetwork()
		ln, err := network.Host("cloud").Listen("cloud:1")
		if err != nil {
			t.Fatal(err)
		}
		read := 0
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(each)
			read++
			rows := []wire.ListedMachine{{Name: fmt.Sprintf("host-%06d", read)}}
			b, _ := wire.Marshal(&wire.MachineList{More: read < pages, Machines: rows})
			_, _ = w.Write(b)
		})}
		go func() { _ = server.Serve(ln) }()
		ctx, stop := context.WithCancel(t.Context())
		client := cloud.New(network.Host("node"), "cloud:1", 100)
		results := make(chan Result, 1)
		p := New(ctx, client, 1, time.Second, func() bool { return true }, func(f func()) { f() },
			func(r Result) { results <- r }, slog.New(slog.DiscardHandler))
		p.fetchListing()
		if o := <-results; o.Kind != MachinesListed || len(o.Listing) != pages || o.Elapsed < pages*each {
			t.Errorf("kind %d, %d rows, read in %v; it took %v and more", o.Kind, len(o.Listing), o.Elapsed, pages*each)
		}
		stop()
		client.Close()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Minute)
	})
}
