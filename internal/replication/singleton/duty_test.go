package singleton

import (
	"testing"
	"time"
)

// TestTrustEndsBeforeTheLease: a holder's trust, on a clock that is slow by as much as clocks may drift apart, ends before
// the lease may, on one that is fast.
func TestTrustEndsBeforeTheLease(t *testing.T) {
	const drift = 0.0005 // each way
	for n := range Names {
		r := Usual(n)
		if slow := float64(r.Trust) * (1 + 2*drift); slow >= float64(r.TTL) {
			t.Errorf("%v: trusted for %v of a lease of %v", n, time.Duration(slow), r.TTL)
		}
		if r.Every*2 >= r.Trust {
			t.Errorf("%v: one renewal that is lost costs the lease", n)
		}
	}
}

// TestWhoTakesIt: a free duty is taken by one node at once and by the others in turn, the leader last; a leader that holds
// duties gives them away one after the other once there is somebody else.
func TestWhoTakesIt(t *testing.T) {
	nodes := []string{"a", "b", "c"}
	for n := range Names {
		first, last := "", ""
		var order []Time
		for _, node := range nodes {
			k := New(n, node, Usual(n))
			k.Seen(Holder{Term: 7}, 10*time.Second)
			at := 10 * time.Second
			for k.Tick(at, &View{Ready: true, Live: nodes, Leader: "b"}) != Take {
				if at += 100 * time.Millisecond; at > time.Minute {
					t.Fatalf("%v: %s never takes it", n, node)
				}
			}
			if order = append(order, at); at == 10*time.Second {
				first += node
			} else if at == 10*time.Second+2*Usual(n).Turn {
				last += node
			}
		}
		if len(first) != 1 || last != "b" {
			t.Errorf("%v: taken at %v", n, order)
		}
	}
	var gave []Time
	for n := range Names {
		k := New(n, "b", Usual(n))
		k.Seen(Holder{Term: 7}, 0)
		k.Took(0, 0, 1, 9)
		view, at := &View{Ready: true, Live: []string{"b"}, Leader: "b"}, Time(0)
		for ; ; at += 250 * time.Millisecond {
			if at > 5*time.Second {
				view.Live = nodes
			}
			k.Got(at)
			do := k.Tick(at, view)
			if do == Leave || at > 5*time.Minute {
				break
			}
			if do == Renew {
				k.Renewed(at, true, false)
			}
		}
		gave = append(gave, at)
	}
	if gave[0] < 20*time.Second || gave[1]-gave[0] < 10*time.Second || gave[1] > 2*time.Minute {
		t.Errorf("the leader gave its duties away at %v", gave)
	}
}

// TestOlderWordsOfAKey: words of the key come by several ways; an older one changes nothing, a newer one ends what is held.
func TestOlderWordsOfAKey(t *testing.T) {
	k := New(Rent, "a", Usual(Rent))
	k.Seen(Holder{Term: 7}, 0)
	k.Took(0, time.Second, 1, 9)
	for _, h := range []Holder{{Term: 8}, {Node: "b", Term: 6}, {Node: "a", Term: 9}} {
		if k.Seen(h, time.Second); !k.Trusted(time.Second) {
			t.Fatalf("%+v ended a hold under term 9", h)
		}
	}
	if !k.Current(9) || k.Current(8) || k.Current(0) {
		t.Error("what is said under term 9 is current, and nothing older")
	}
	if k.Seen(Holder{Term: 12}, 2*time.Second); k.Trusted(2*time.Second) || k.Term() != 0 {
		t.Error("the key is gone, and the hold goes on")
	}
	if k.Took(2*time.Second, 2*time.Second, 2, 10); k.Term() != 0 {
		t.Error("a late answer of a key that is gone counts")
	}
}

// TestLostWhileRenewing: a hold that ends while its renewal is under way leaves the node able to take the duty again. The
// answer used to be passed over, and the node waited for it for good.
func TestLostWhileRenewing(t *testing.T) {
	k, view := New(Rent, "a", Usual(Rent)), &View{Ready: true, Live: []string{"a"}}
	k.Seen(Holder{Term: 7}, 0)
	k.Took(0, 0, 1, 9)
	if do := k.Tick(2*time.Second, view); do != Renew {
		t.Fatalf("asked for %d, not a renewal", do)
	}
	k.Seen(Holder{Term: 12}, 3*time.Second) // the key is gone
	if do := k.Tick(4*time.Second, view); do != Nothing {
		t.Errorf("asked for %d while an answer is awaited", do)
	}
	k.Renewed(2*time.Second, false, true)
	if do := k.Tick(5*time.Second, view); do != Take {
		t.Errorf("asked for %d, not for the free key", do)
	}
}
