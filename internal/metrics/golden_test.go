package metrics

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/golden"
	"fieldhill/internal/replication/candidacy"
)

// fullRegistry returns a registry in which every series has a distinct value, so that swapped names are detected.
func fullRegistry() *Registry {
	r := New(api.RequestKinds...)
	r.TasksPlaced.Set(101)
	r.TasksStopped.Set(102)
	r.Provisioned.Set(103)
	r.ProvisionRejected.Set(104)
	r.ScaledIn.Set(105)
	r.Terms.Set(106)
	r.Relayed.Set(107)
	r.AnsweredLocally.Set(108)
	r.Reassigned.Set(109)
	r.NotAdmitted.Set(110)
	r.LogBytes.Set(111)
	r.ReapFences.Set(112)
	r.UnexpectedAttempts.Set(117)
	for reason := range refusalReasonCount {
		r.CommandsRefused[reason].Set(113 + uint64(reason))
	}
	r.SchedulingRound.Update(0.0625)
	r.LogWrite.Update(0.03125)
	for phase := range candidacy.PhaseCount {
		r.ObserveFailover(phase, 0.25*float64(phase+1))
	}
	for i, kind := range api.RequestKinds {
		for status, count := range map[int]int{200: 1, 201: 1, 400: 2, 404: 1, 429: 2, 503: 2} {
			for range count + i {
				r.ObserveRequest(kind, status, time.Duration(i+1)*time.Second/8)
			}
		}
	}
	return r
}

// fullSnapshot returns a snapshot in which every number is distinct.
func fullSnapshot() Snapshot {
	return Snapshot{
		IsLeader:           true,
		Term:               1,
		Applied:            2,
		Jobs:               3,
		Waiting:            4,
		Running:            5,
		Up:                 6,
		Booting:            7,
		Idle:               8,
		Suspect:            9,
		Releasing:          10,
		WorstClass:         0.25,
		WorstTeam:          0.5,
		UnderServedClasses: 11,
		UnderServedTeams:   12,
		OpenProvisioning:   13,
		PeerFrames:         14,
		PeerBytes:          15,
		PeerWrites:         16,
		AssignedAgents:     17,
	}
}

// TestGoldenPage compares the names, labels, buckets and values on the page with the golden file, because dashboards
// and alerts depend on them. The first page is requested while no snapshot is available.
func TestGoldenPage(t *testing.T) {
	snapshotOK := false
	page := fullRegistry().Handler(func() (Snapshot, bool) {
		s := fullSnapshot()
		s.HoldsProvisioning, s.HoldsCompaction = snapshotOK, !snapshotOK
		return s, snapshotOK
	})
	var b strings.Builder
	for _, path := range []string{Path, Path, "/"} {
		w := httptest.NewRecorder()
		page.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		fmt.Fprintf(&b, "=== GET %s\n%d %s\n", path, w.Code, w.Header().Get("Content-Type"))
		for line := range strings.Lines(w.Body.String()) {
			// The library's process metrics differ between runs.
			if !strings.HasPrefix(line, "process_") && !strings.HasPrefix(line, "go_") {
				b.WriteString(line)
			}
		}
		snapshotOK = true
	}
	fmt.Fprintf(&b, "=== profile at %s\n", ProfilePath)
	golden.Check(t, "page.txt", []byte(b.String()))
}
