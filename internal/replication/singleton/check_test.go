package singleton

import (
	"encoding/binary"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"fieldhill/internal/testing/modelcheck"
)

// This is a model of two nodes, the state service, the cloud and the log around the real keepers. Time is in whole
// units. Whatever a node does may be answered at once, or be under way for any time, be lost, or lose its answer;
// between the look at its trust and a request a node may stop, for any time; it may end and start anew.

// fault is what is broken on purpose.
type fault int

const (
	whole           fault = iota
	noGuard               // writes of a duty don't require its key
	trustFromAnswer       // a lease is trusted from when the answer came
	actFirst              // machines are rented before the wish is in the log
	falseProgress         // a lease is renewed whether the duty gets on or not
)

var modelRules = Rules{TTL: 3, Trust: 2, Every: 1, Patience: 2, Back: 2, BackMost: 4, Settle: 100}

const wishes = 1

type kind byte

const (
	takeReq kind = iota
	takeAns
	renewReq
	renewAns
	hireReq
	hireAns
	writeReq
)

// msg is a request or an answer under way. term is the holder's, or what the answer says; ok tells that it worked.
type msg struct {
	kind  kind
	node  int
	sent  Time
	lease uint64
	term  uint64
	name  string
	ok    bool
}

type node struct {
	k     Keeper
	asks  bool   // a Take or Renew is under way
	act   string // looked at its trust, and is about to: "hire NAME", "write"
	under uint64 // the term under which it looked
	wrote bool
	hired bool
	lives int // how often it started
}

type world struct {
	f fault
	// What is left out, so that the rest can be followed further: writes, rentals, and that anything is under way
	// for long or lost.
	noWrites, noRents, prompt bool

	now    Time
	nodes  [2]node
	rev    uint64
	holder int // of the key; -1: none
	term   uint64
	gone   uint64 // the change that deleted the key
	lease  uint64
	ends   Time // of the key's lease
	net    []msg
	open   []string // wishes in the log
	rented []string // names under which machines were rented
	broken string
}

func names(i int) string { return string(rune('A' + i)) }

func (w world) clone() world {
	w.net, w.open, w.rented = slices.Clone(w.net), slices.Clone(w.open), slices.Clone(w.rented)
	return w
}

func (w world) Key() string {
	b := make([]byte, 0, 256)
	num := func(list ...int64) {
		for _, x := range list {
			b = binary.AppendVarint(b, x)
		}
	}
	flag := func(list ...bool) {
		for _, x := range list {
			if x {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	text := func(list ...string) {
		for _, x := range list {
			b = append(append(b, x...), 0)
		}
	}
	num(int64(w.now), int64(w.holder), int64(w.term), int64(w.gone), int64(w.lease), int64(w.ends), int64(len(w.open)))
	text(w.rented...)
	for i := range w.nodes {
		n := &w.nodes[i]
		k := &n.k
		num(int64(k.holder.Term), int64(k.holder.Since), int64(k.freeSince), int64(k.stuck), int64(k.lease), int64(k.term), int64(k.until), int64(k.renewed),
			int64(k.since), int64(k.progress), int64(k.better), int64(k.backUntil), int64(k.back), int64(n.under), int64(n.lives))
		flag(k.seen, k.asking, k.got, n.asks, n.wrote, n.hired)
		text(k.holder.Node, k.why, n.act)
	}
	net := make([]string, len(w.net))
	for i, m := range w.net {
		from := len(b)
		num(int64(m.kind), int64(m.node), int64(m.sent), int64(m.lease), int64(m.term))
		flag(m.ok)
		text(m.name)
		net[i], b = string(b[from:]), b[:from]
	}
	slices.Sort(net)
	text(net...)
	return string(b)
}

func (w world) Broken() string {
	if w.broken != "" {
		return w.broken
	}
	if w.nodes[0].k.Trusted(w.now) && w.nodes[1].k.Trusted(w.now) {
		return "both nodes trust that they hold the duty"
	}
	for i := range w.nodes {
		if k := &w.nodes[i].k; w.holder == i && k.Term() == w.term && !w.nodes[i].hired && !w.nodes[i].wrote &&
			w.now-k.Since() > modelRules.Patience+modelRules.TTL+2 {
			return names(i) + " holds the duty for long and gets nowhere"
		}
	}
	if len(w.rented) > wishes {
		return fmt.Sprintf("machines were rented %d times for %d wish: %v", len(w.rented), wishes, w.rented)
	}
	return ""
}

// free deletes the key.
func (w *world) free() {
	w.rev++
	w.holder, w.term, w.lease, w.gone = -1, 0, 0, w.rev
}

// serve carries out a request and gives the answer, nil if there is none.
func (w *world) serve(m msg) *msg {
	switch m.kind {
	case takeReq:
		a := msg{kind: takeAns, node: m.node, sent: m.sent, lease: m.lease}
		if w.holder < 0 {
			w.rev++
			w.holder, w.term, w.lease, w.ends = m.node, w.rev, m.lease, w.now+modelRules.TTL
			a.term = w.term
		}
		return &a
	case renewReq:
		ok := w.holder >= 0 && w.lease == m.lease
		if ok {
			w.ends = w.now + modelRules.TTL
		}
		return &msg{kind: renewAns, node: m.node, sent: m.sent, lease: m.lease, ok: ok}
	case hireReq:
		if !slices.Contains(w.rented, m.name) {
			w.rented = append(w.rented, m.name)
		}
		return &msg{kind: hireAns, node: m.node, term: m.term, name: m.name, ok: true}
	case writeReq:
		if w.f != noGuard && (w.holder < 0 || w.term != m.term) {
			return nil
		}
		if w.holder < 0 || w.term != m.term {
			w.broken = fmt.Sprintf("a write of %s under term %d is applied, the key is of term %d", names(m.node), m.term, w.term)
		}
	}
	return nil
}

// hear has a node take in an answer.
func (w *world) hear(m msg) {
	n := &w.nodes[m.node]
	sent := m.sent
	if w.f == trustFromAnswer {
		sent = w.now
	}
	switch m.kind {
	case takeAns:
		if n.asks {
			n.asks = false
			n.k.Took(sent, w.now, m.lease, m.term)
		}
	case renewAns:
		if n.asks && n.k.Lease() == m.lease {
			n.asks = false
			n.k.Renewed(sent, m.ok, !m.ok)
		}
	case hireAns:
		// It is told to the leader, which believes the present holder alone.
		if n.k.Term() == m.term && n.k.Current(m.term) {
			n.hired = true
			n.k.Got(w.now)
			w.open = slices.DeleteFunc(w.open, func(s string) bool { return s == m.name })
		}
	}
}

func (w world) Steps() (list []modelcheck.Step) {
	step := func(name string, f func(w *world)) {
		c := w.clone()
		f(&c)
		list = append(list, modelcheck.Step{Name: fmt.Sprintf("at %d: %s", w.now, name), To: c})
	}
	if w.now < 16 {
		step("time goes by", func(w *world) {
			if w.now++; w.holder >= 0 && w.now > w.ends {
				w.free() // leases end late by less than a unit
			}
		})
	}
	if w.holder >= 0 && w.now >= w.ends {
		step("the lease ends", func(w *world) { w.free() })
	}
	for i, m := range w.net {
		request := m.kind == takeReq || m.kind == renewReq || m.kind == hireReq || m.kind == writeReq
		what := fmt.Sprintf("%s of %s", [...]string{"the asking for the key", "the answer on the key", "a renewal", "the answer to a renewal", "a rental " + m.name, "the answer to the rental " + m.name, "a write"}[m.kind], names(m.node))
		if request {
			step(what+" is carried out", func(w *world) {
				w.net = slices.Delete(w.net, i, i+1)
				if a := w.serve(m); a != nil {
					w.net = append(w.net, *a)
				}
			})
		} else {
			step(what+" comes", func(w *world) {
				w.net = slices.Delete(w.net, i, i+1)
				w.hear(m)
			})
		}
		step(what+" is lost", func(w *world) { w.net = slices.Delete(w.net, i, i+1) })
	}
	for i := range w.nodes {
		w.nodeSteps(i, step)
	}
	return list
}

// send gives the ways that a request may go.
func send(step func(string, func(*world)), late bool, what string, m msg, first func(w *world)) {
	step(what+", answered at once", func(w *world) {
		first(w)
		if a := w.serve(m); a != nil {
			w.hear(*a)
		}
	})
	if late {
		step(what+", under way", func(w *world) {
			first(w)
			w.net = append(w.net, m)
		})
	}
}

func (w world) nodeSteps(i int, step func(string, func(*world))) {
	n := &w.nodes[i]
	me := names(i)
	view := &View{Ready: true, Live: []string{"A", "B"}, Leader: "?"}
	// The watch shows the key as it is; being late it shows what was, which changes nothing that is not seen later.
	seen := Holder{Term: w.gone}
	if w.holder >= 0 {
		seen = Holder{Node: names(w.holder), Term: w.term}
	}
	if n.k.Holder().Term != seen.Term || n.k.Holder().Node != seen.Node {
		step(me+" sees the key", func(w *world) { w.nodes[i].k.Seen(seen, w.now) })
	}
	if n.asks {
		step(me+" gives up waiting", func(w *world) {
			n := &w.nodes[i]
			n.asks = false
			if n.k.Term() == 0 {
				n.k.Took(0, w.now, 0, 0)
			} else {
				n.k.Renewed(0, false, false)
			}
		})
	} else if len(w.net) < 3 {
		c := n.k
		if w.f == falseProgress {
			c.Idle(w.now)
		}
		switch c.Tick(w.now, view) {
		case Take:
			lease := uint64(10*(i+1)) + uint64(w.now)
			send(step, !w.prompt, me+" asks for the key", msg{kind: takeReq, node: i, sent: w.now, lease: lease}, func(w *world) { w.nodes[i].k, w.nodes[i].asks = c, true })
		case Renew:
			send(step, !w.prompt, me+" renews its lease", msg{kind: renewReq, node: i, sent: w.now, lease: c.Lease()}, func(w *world) { w.nodes[i].k, w.nodes[i].asks = c, true })
		case Leave:
			step(me+" lets go: "+c.Why(), func(w *world) {
				if w.holder == i && w.lease == c.Lease() {
					w.free()
				}
				c.Left()
				w.nodes[i].k, w.nodes[i].hired, w.nodes[i].wrote = c, false, false
			})
		default:
			if c != n.k {
				step(me+" looks at the time", func(w *world) { w.nodes[i].k = c })
			}
		}
	}
	switch {
	case n.act == "" && n.k.Trusted(w.now) && !n.wrote && !w.noWrites:
		step(me+" is about to write", func(w *world) { w.nodes[i].act, w.nodes[i].under = "write", n.k.Term() })
	case n.act == "write":
		send(step, !w.prompt, me+" writes", msg{kind: writeReq, node: i, term: n.under}, func(w *world) { w.nodes[i].act, w.nodes[i].wrote = "", true })
	}
	if n.act == "" && n.k.Trusted(w.now) && !n.hired && !w.noRents {
		name := ""
		if len(w.open) > 0 {
			name = w.open[0]
		}
		if w.f == actFirst { // its own name, which the log is to learn with the answer
			name = fmt.Sprint(me, n.lives)
			if len(w.open) == 0 {
				name = ""
			}
		}
		if name != "" {
			step(me+" is about to rent "+name, func(w *world) { w.nodes[i].act, w.nodes[i].under = "hire "+name, n.k.Term() })
		}
	}
	if name, ok := strings.CutPrefix(n.act, "hire "); ok {
		send(step, !w.prompt, me+" rents "+name, msg{kind: hireReq, node: i, term: n.under, name: name}, func(w *world) { w.nodes[i].act = "" })
	}
	if n.lives == 0 && n.k.Term() != 0 && !w.prompt {
		step(me+" ends and starts anew", func(w *world) {
			w.nodes[i] = node{k: *New(Rent, me, modelRules), lives: 1}
		})
	}
}

var states = flag.Int("states", 50_000, "how many states to look at where nothing is to be found")

// TestNoOrderBreaksADuty explores every order of what may happen to two nodes that want one duty, and finds each
// way in which the rules of it could be left out.
func TestNoOrderBreaksADuty(t *testing.T) {
	for _, c := range []struct {
		name  string
		w     world
		depth int
		finds string // in what is broken
	}{
		{"writes", world{noRents: true}, 10, ""},
		{"rentals", world{noWrites: true}, 10, ""},
		{"the lease alone", world{noRents: true, noWrites: true}, 12, ""},
		{"nothing late", world{noRents: true, noWrites: true, prompt: true}, 60, ""},
		{"no guard", world{f: noGuard, noRents: true}, 12, "is applied"},
		{"trust from the answer", world{f: trustFromAnswer, noRents: true, noWrites: true}, 12, "both nodes trust"},
		{"the wish behind the act", world{f: actFirst, noWrites: true, prompt: true}, 12, "rented 2 times"},
		{"renewal without progress", world{f: falseProgress, noRents: true, noWrites: true, prompt: true}, 60, "gets nowhere"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := c.w
			w.holder, w.open = -1, []string{"wish"}
			for i := range w.nodes {
				w.nodes[i].k = *New(Rent, names(i), modelRules)
				w.nodes[i].k.Seen(Holder{}, 0)
			}
			most := *states
			if c.finds != "" {
				most = 200_000
			}
			r := modelcheck.Explore(w, c.depth, most)
			t.Log(r)
			if (r.Broken == "") != (c.finds == "") || !strings.Contains(r.Broken, c.finds) {
				t.Errorf("found %q", r.Broken)
			}
		})
	}
}
