package staleness

import "testing"

func newStamp(epoch, seq, token uint64) Stamp { return Stamp{Number{epoch, seq}, token} }

// TestJudge checks the verdict on a message, given the messages that were received before it.
func TestJudge(t *testing.T) {
	const minToken = 100
	newTracker := func(stamps ...Stamp) *Tracker {
		tracker := &Tracker{}
		for _, stamp := range stamps {
			tracker.Accept(stamp, Fresh, 0, true)
		}
		return tracker
	}
	for _, test := range []struct {
		name     string
		tracker  *Tracker
		stamp    Stamp
		minEpoch uint64
		probed   bool
		want     Freshness
	}{
		{"first heartbeat of a term",
			newTracker(), newStamp(3, 7, 99), 0, false, Unproven},
		{"first heartbeat with a token of the term",
			newTracker(), newStamp(3, 7, 100), 0, false, Fresh},
		{"first message is a probe response",
			newTracker(), newStamp(3, 7, 0), 0, true, Fresh},
		{"probe response with an epoch below that in the log",
			newTracker(), newStamp(1, 2, 0), 5, true, Restarted},
		{"heartbeat with an epoch below that in the log, without a token of the term",
			newTracker(), newStamp(1, 2, 0), 5, false, Unproven},
		{"newer heartbeat",
			newTracker(newStamp(1, 4, 100)), newStamp(1, 5, 100), 0, false, Fresh},
		{"duplicate heartbeat",
			newTracker(newStamp(1, 4, 100)), newStamp(1, 4, 100), 0, false, Stale},
		{"older epoch with a higher sequence number",
			newTracker(newStamp(2, 4, 100)), newStamp(1, 90, 100), 0, false, Stale},
		{"heartbeat with a lower token",
			newTracker(newStamp(1, 4, 101)), newStamp(1, 5, 100), 0, false, Stale},
		{"probe response with a lower number",
			newTracker(newStamp(1, 4, 101)), newStamp(1, 2, 0), 0, true, Restarted},
		{"probe response with a lower token only",
			newTracker(newStamp(1, 4, 101)), newStamp(2, 5, 0), 0, true, Restarted},
	} {
		var baseline *ProbeBaseline
		if test.probed {
			baseline = test.tracker.ProbeBaseline()
		}
		if freshness := test.tracker.Judge(test.stamp, minToken, test.minEpoch, baseline); freshness != test.want {
			t.Errorf("%s: verdict %d, want %d", test.name, freshness, test.want)
		}
	}
}

// TestOvertakenProbeResponse checks that a probe response that was overtaken by a later heartbeat is stale, and does
// not count as proof of a restart.
func TestOvertakenProbeResponse(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 10, 100), Fresh, 0, true)
	baseline := tracker.ProbeBaseline()
	tracker.Accept(newStamp(1, 12, 100), Fresh, 0, true)
	if freshness := tracker.Judge(newStamp(1, 11, 100), 100, 0, baseline); freshness != Stale {
		t.Errorf("verdict on an overtaken probe response is %d, want %d", freshness, Stale)
	}
}

// TestRestartedIncarnation checks that after a restart of an agent, duplicates from its earlier incarnation are stale
// although they have higher numbers, and that heartbeats with a token issued since the restart are fresh.
func TestRestartedIncarnation(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 50, 100), Fresh, 0, true)
	baseline := tracker.ProbeBaseline()
	response := newStamp(1, 2, 0)
	if freshness := tracker.Judge(response, 100, 0, baseline); freshness != Restarted {
		t.Fatalf("verdict on a probe response with a lower number is %d, want %d", freshness, Restarted)
	}
	tracker.Accept(response, Restarted, 101, false)
	if tracker.Fenced() {
		t.Error("agent is fenced before it has shown the new token")
	}
	if freshness := tracker.Judge(newStamp(1, 60, 100), 100, 0, nil); freshness != Stale {
		t.Errorf("verdict on a duplicate from the earlier incarnation is %d, want %d", freshness, Stale)
	}
	if freshness := tracker.Judge(newStamp(1, 3, 101), 100, 0, nil); freshness != Fresh {
		t.Errorf("verdict on a heartbeat with the new token is %d, want %d", freshness, Fresh)
	}
	tracker.Accept(newStamp(1, 3, 101), Fresh, 0, true)
	if !tracker.Fenced() || tracker.Incarnations() != 1 {
		t.Errorf("fenced %v, %d restarts; want true, 1", tracker.Fenced(), tracker.Incarnations())
	}
}

// TestInboundPartition checks that a response counts as lost if the agent's next heartbeat does not carry the token of
// that response.
func TestInboundPartition(t *testing.T) {
	tracker := &Tracker{}
	tracker.Accept(newStamp(1, 1, 100), Fresh, 0, true)
	tracker.RecordResponse(101)
	tracker.Accept(newStamp(1, 2, 100), Fresh, 0, true)
	if !tracker.InboundPartitioned() {
		t.Error("lost response is not detected")
	}
	tracker.RecordResponse(101)
	acknowledged := tracker.Accept(newStamp(1, 3, 101), Fresh, 0, true)
	if !acknowledged || tracker.InboundPartitioned() {
		t.Errorf("after a received response: acknowledged %v, inbound partitioned %v; want true, false",
			acknowledged, tracker.InboundPartitioned())
	}
	tracker.RecordResponse(101) // the agent already has this token, so the response proves nothing
	acknowledged = tracker.Accept(newStamp(1, 4, 101), Fresh, 0, true)
	if acknowledged || tracker.InboundPartitioned() {
		t.Errorf("without a new token: acknowledged %v, inbound partitioned %v; want false, false",
			acknowledged, tracker.InboundPartitioned())
	}
}
