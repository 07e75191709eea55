package singleton

import (
	"testing"
	"time"
)

// TestTrustEndsBeforeTheLease: a holder's trust, on a clock that is slow by as much as clocks may drift apart, ends
// before the lease may end, on one that is fast.
func TestTrustEndsBeforeTheLease(t *testing.T) {
	const drift = 0.0005 // each way
	for n := range NameCount {
		rules := DefaultRules(n)
		if slow := float64(rules.TrustPeriod) * (1 + 2*drift); slow >= float64(rules.TTL) {
			t.Errorf("%v: trusted for %v of a lease of %v", n, time.Duration(slow), rules.TTL)
		}
		if rules.RenewInterval*2 >= rules.TrustPeriod {
			t.Errorf("%v: one renewal that is lost costs the lease", n)
		}
	}
}

// TestFreeRoleIsAcquiredInTurn: a free role is acquired by one node at once and by the others in turn, the leader
// last.
func TestFreeRoleIsAcquiredInTurn(t *testing.T) {
	const freeAt = 10 * time.Second
	nodes := []string{"a", "b", "c"}
	for n := range NameCount {
		first, last := "", ""
		var order []Time
		for _, node := range nodes {
			at := acquiredAt(t, n, node, freeAt, &View{Ready: true, Live: nodes, Leader: "b"})
			if order = append(order, at); at == freeAt {
				first += node
			} else if at == freeAt+2*DefaultRules(n).RankDelay {
				last += node
			}
		}
		if len(first) != 1 || last != "b" {
			t.Errorf("%v: acquired at %v", n, order)
		}
	}
}

// acquiredAt is when a node asks for a role that is free from a time on.
func acquiredAt(t *testing.T, n Name, node string, freeAt Time, view *View) Time {
	t.Helper()
	role := New(n, node, DefaultRules(n))
	role.Observe(RoleHolder{Term: 7}, freeAt)
	at := freeAt
	for role.Decide(at, view) != Acquire {
		if at += 100 * time.Millisecond; at > time.Minute {
			t.Fatalf("%v: %s never acquires it", n, node)
		}
	}
	return at
}

// TestLeaderReleasesRolesInTurn: a leader that holds roles releases them one after the other once there is another
// node.
func TestLeaderReleasesRolesInTurn(t *testing.T) {
	var releasedAt []Time
	for n := range NameCount {
		releasedAt = append(releasedAt, leaderReleasesAt(n, 5*time.Second, []string{"a", "b", "c"}))
	}
	if releasedAt[0] < 20*time.Second || releasedAt[1]-releasedAt[0] < 10*time.Second || releasedAt[1] > 2*time.Minute {
		t.Errorf("the leader released its roles at %v", releasedAt)
	}
}

// leaderReleasesAt is when the leader b, which holds a role and makes progress, releases it if it is alone until a
// time.
func leaderReleasesAt(n Name, aloneUntil Time, nodes []string) Time {
	role := New(n, "b", DefaultRules(n))
	role.Observe(RoleHolder{Term: 7}, 0)
	role.Acquired(0, 0, 1, 9)
	view, at := &View{Ready: true, Live: []string{"b"}, Leader: "b"}, Time(0)
	for ; ; at += 250 * time.Millisecond {
		if at > aloneUntil {
			view.Live = nodes
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

// TestOlderUpdatesOfAKeyAreIgnored: updates of the key come several ways; an older one changes nothing, a newer one
// ends the hold.
func TestOlderUpdatesOfAKeyAreIgnored(t *testing.T) {
	role := New(Provisioning, "a", DefaultRules(Provisioning))
	role.Observe(RoleHolder{Term: 7}, 0)
	role.Acquired(0, time.Second, 1, 9)
	for _, h := range []RoleHolder{{Term: 8}, {Node: "b", Term: 6}, {Node: "a", Term: 9}} {
		if role.Observe(h, time.Second); !role.Trusted(time.Second) {
			t.Fatalf("%+v ended a hold under term 9", h)
		}
	}
	if !role.IsCurrent(9) || role.IsCurrent(8) || role.IsCurrent(0) {
		t.Error("what is reported under term 9 is current, and nothing older")
	}
	if role.Observe(RoleHolder{Term: 12}, 2*time.Second); role.Trusted(2*time.Second) || role.Term() != 0 {
		t.Error("the key is gone, and the hold goes on")
	}
	if role.Acquired(2*time.Second, 2*time.Second, 2, 10); role.Term() != 0 {
		t.Error("a late answer of a key that is gone counts")
	}
}

// TestLostWhileRenewing: a hold that ends while its renewal is in flight leaves the node able to acquire the role
// again. The response used to be ignored, and the node waited for it for good.
func TestLostWhileRenewing(t *testing.T) {
	role, view := New(Provisioning, "a", DefaultRules(Provisioning)), &View{Ready: true, Live: []string{"a"}}
	role.Observe(RoleHolder{Term: 7}, 0)
	role.Acquired(0, 0, 1, 9)
	if decision := role.Decide(2*time.Second, view); decision != Renew {
		t.Fatalf("asked for %d, not a renewal", decision)
	}
	role.Observe(RoleHolder{Term: 12}, 3*time.Second) // the key is gone
	if decision := role.Decide(4*time.Second, view); decision != NoAction {
		t.Errorf("asked for %d while an answer is awaited", decision)
	}
	role.Renewed(2*time.Second, false, true)
	if decision := role.Decide(5*time.Second, view); decision != Acquire {
		t.Errorf("asked for %d, not for the free key", decision)
	}
}
