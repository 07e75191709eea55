package singleton

import (
	"testing"
	"time"
)

// TestTrustEndsBeforeTheLease checks that the TrustPeriod of a holder ends before its lease can end, even if the
// holder's clock is slow and the store's fast by the maximum drift.
func TestTrustEndsBeforeTheLease(t *testing.T) {
	const drift = 0.0005 // of each clock, in opposite directions
	for n := range RoleCount {
		rules := DefaultRules(n)
		if slow := float64(rules.TrustPeriod) * (1 + 2*drift); slow >= float64(rules.TTL) {
			t.Errorf("%v: trusted for up to %v, want less than the lease TTL of %v", n, time.Duration(slow), rules.TTL)
		}
		if rules.RenewInterval*2 >= rules.TrustPeriod {
			t.Errorf("%v: RenewInterval is %v, want less than half of TrustPeriod %v, to tolerate a lost renewal",
				n, rules.RenewInterval, rules.TrustPeriod)
		}
	}
}

// TestFreeRoleIsAcquiredInTurn checks that one node acquires a free role at once and the others in order of rank, the
// leader last.
func TestFreeRoleIsAcquiredInTurn(t *testing.T) {
	const freeAt = 10 * time.Second
	nodes := []string{"a", "b", "c"}
	for n := range RoleCount {
		first, last := "", ""
		var order []Time
		for _, node := range nodes {
			at := acquiredAt(t, n, node, freeAt, &ClusterView{RolesDistributed: true, LiveNodes: nodes, Leader: "b"})
			if order = append(order, at); at == freeAt {
				first += node
			} else if at == freeAt+2*DefaultRules(n).RankDelay {
				last += node
			}
		}
		if len(first) != 1 || last != "b" {
			t.Errorf("%v: acquired at %v by %v; want one node at once, and the leader b last", n, order, nodes)
		}
	}
}

// acquiredAt returns when a node requests a role that became free at freeAt.
func acquiredAt(t *testing.T, n RoleName, node string, freeAt Time, view *ClusterView) Time {
	t.Helper()
	role := New(n, node, DefaultRules(n))
	role.Observe(RoleHolder{Term: 7}, freeAt)
	at := freeAt
	for role.Decide(at, view) != Acquire {
		if at += 100 * time.Millisecond; at > time.Minute {
			t.Fatalf("%v: node %s has not requested the role by %v, want a request within a minute", n, node, at)
		}
	}
	return at
}

// TestLeaderReleasesRolesInTurn checks that a leader that holds roles releases them one after the other, with a delay
// between them, once another node is live.
func TestLeaderReleasesRolesInTurn(t *testing.T) {
	var releasedAt []Time
	for n := range RoleCount {
		releasedAt = append(releasedAt, leaderReleasesAt(n, 5*time.Second, []string{"a", "b", "c"}))
	}
	if releasedAt[0] < 20*time.Second || releasedAt[1]-releasedAt[0] < 10*time.Second || releasedAt[1] > 2*time.Minute {
		t.Errorf("the leader released its roles at %v; want the first after 20s, the second 10s later or more, "+
			"by 2m", releasedAt)
	}
}

// leaderReleasesAt returns when the leader b, which holds a role and makes progress, releases the role if the other
// nodes become live at aloneUntil.
func leaderReleasesAt(n RoleName, aloneUntil Time, nodes []string) Time {
	role := New(n, "b", DefaultRules(n))
	role.Observe(RoleHolder{Term: 7}, 0)
	role.Acquired(0, 0, 1, 9)
	view, at := &ClusterView{RolesDistributed: true, LiveNodes: []string{"b"}, Leader: "b"}, Time(0)
	for ; ; at += 250 * time.Millisecond {
		if at > aloneUntil {
			view.LiveNodes = nodes
		}
		role.RecordProgress(at)
		decision := role.Decide(at, view)
		if decision == Release || at > 5*time.Minute {
			return at
		}
		if decision == Renew {
			role.Renewed(at, true, false)
		}
	}
}

// TestOlderUpdatesOfAKeyAreIgnored checks that an older update of the key, which may arrive late by another path,
// changes nothing, and that after a newer one the node no longer holds the role.
func TestOlderUpdatesOfAKeyAreIgnored(t *testing.T) {
	role := New(Provisioning, "a", DefaultRules(Provisioning))
	role.Observe(RoleHolder{Term: 7}, 0)
	role.Acquired(0, time.Second, 1, 9)
	for _, h := range []RoleHolder{{Term: 8}, {Node: "b", Term: 6}, {Node: "a", Term: 9}} {
		if role.Observe(h, time.Second); !role.Trusted(time.Second) {
			t.Fatalf("after the older update %+v the holder of term 9 is no longer trusted", h)
		}
	}
	if !role.IsCurrentTerm(9) || role.IsCurrentTerm(8) || role.IsCurrentTerm(0) {
		t.Errorf("IsCurrentTerm of terms 9, 8 and 0 is %v, %v, %v; want true, false, false",
			role.IsCurrentTerm(9), role.IsCurrentTerm(8), role.IsCurrentTerm(0))
	}
	if role.Observe(RoleHolder{Term: 12}, 2*time.Second); role.Trusted(2*time.Second) || role.Term() != 0 {
		t.Errorf("after the key was deleted, term is %d and trusted %v, want 0 and false",
			role.Term(), role.Trusted(2*time.Second))
	}
	if role.Acquired(2*time.Second, 2*time.Second, 2, 10); role.Term() != 0 {
		t.Errorf("a late response for a key that was deleted since gave term %d, want 0", role.Term())
	}
}

// TestLostWhileRenewing checks that a node that loses the role while a renewal is in flight can acquire the role again.
// If the response to that renewal were ignored, the node would wait for the response forever.
func TestLostWhileRenewing(t *testing.T) {
	role := New(Provisioning, "a", DefaultRules(Provisioning))
	view := &ClusterView{RolesDistributed: true, LiveNodes: []string{"a"}}
	role.Observe(RoleHolder{Term: 7}, 0)
	role.Acquired(0, 0, 1, 9)
	if decision := role.Decide(2*time.Second, view); decision != Renew {
		t.Fatalf("decision %d, want Renew", decision)
	}
	role.Observe(RoleHolder{Term: 12}, 3*time.Second) // the key was deleted
	if decision := role.Decide(4*time.Second, view); decision != NoAction {
		t.Errorf("decision %d while awaiting a response, want NoAction", decision)
	}
	role.Renewed(2*time.Second, false, true)
	if decision := role.Decide(5*time.Second, view); decision != Acquire {
		t.Errorf("decision %d with a free key, want Acquire", decision)
	}
}
