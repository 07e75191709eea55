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

// TestGoldenPage: dashboards look for the names, labels and buckets on the page. Each counter and each part of
// the view has a value of its own, so that names that changed places are found too.
func TestGoldenPage(t *testing.T) {
	s := New(api.RequestKinds...)
	s.Placed.Set(101)
	s.Stopped.Set(102)
	s.Provisioned.Set(103)
	s.ProvisionRefused.Set(104)
	s.ScaledIn.Set(105)
	s.Terms.Set(106)
	s.Relayed.Set(107)
	s.AnsweredLocally.Set(108)
	s.Reassigned.Set(109)
	s.NotAdmitted.Set(110)
	s.LogBytes.Set(111)
	s.SchedulingRound.Update(0.0625)
	s.LogWrite.Update(0.03125)
	for p := range candidacy.PhaseCount {
		s.ObserveFailover(p, 0.25*float64(p+1))
	}
	for i, kind := range api.RequestKinds {
		for status, times := range map[int]int{200: 1, 201: 1, 400: 2, 404: 1, 429: 2, 503: 2} {
			for range times + i {
				s.ObserveRequest(kind, status, time.Duration(i+1)*time.Second/8)
			}
		}
	}
	ok := false
	page := s.Handler(func() (Snapshot, bool) {
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
			HoldsProvisioning:  ok,
			HoldsCompaction:    !ok,
			OpenProvisioning:   13,
			PeerFrames:         14,
			PeerBytes:          15,
			PeerWrites:         16,
			AssignedAgents:     17,
		}, ok
	})
	var b strings.Builder
	for _, path := range []string{Path, Path, "/"} {
		w := httptest.NewRecorder()
		page.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		fmt.Fprintf(&b, "=== GET %s\n%d %s\n", path, w.Code, w.Header().Get("Content-Type"))
		for line := range strings.Lines(w.Body.String()) {
			// What the library tells of the process differs from run to run.
			if !strings.HasPrefix(line, "process_") && !strings.HasPrefix(line, "go_") {
				b.WriteString(line)
			}
		}
		ok = true
	}
	fmt.Fprintf(&b, "=== profile at %s\n", ProfilePath)
	golden.Check(t, "page.txt", []byte(b.String()))
}
