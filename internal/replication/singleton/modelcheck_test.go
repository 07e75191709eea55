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
	noFault                fault = iota
	noGuard                      // writes of a duty don't require its key
	trustFromAnswer              // a lease is trusted from when the answer came
	provisionBeforeLogging       // machines are rented before the wish is in the log
	falseProgress                // a lease is renewed whether the duty gets on or not
)

var modelRules = Rules{TTL: 3, Trust: 2, RenewInterval: 1, Patience: 2, Backoff: 2, MaxBackoff: 4, SettleTime: 100}

const wantedRequests = 1

type messageKind byte

const (
	acquireRequest messageKind = iota
	acquireResponse
	renewRequest
	renewResponse
	provisionRequest
	provisionResponse
	writeRequest
)

// message is a request or an answer under way. term is the holder's, or what the answer says; ok tells that it worked.
type message struct {
	kind  messageKind
	node  int
	sent  Time
	lease uint64
	term  uint64
	name  string
	ok    bool
}

type node struct {
	role           Role
	awaitingAnswer bool   // a Take or Renew is under way
	pendingAction  string // looked at its trust, and is about to: "hire NAME", "write"
	actionTerm     uint64 // the term under which it looked
	wrote          bool
	provisioned    bool
	restarts       int // how often it started
}

type modelState struct {
	fault fault
	// What is left out, so that the rest can be followed further: writes, rentals, and that anything is under way
	// for long or lost.
	noWrites, noProvisioning, promptDelivery bool

	now             Time
	nodes           [2]node
	revision        uint64
	holder          int // of the key; -1: none
	term            uint64
	deletedRevision uint64 // the change that deleted the key
	lease           uint64
	leaseEnds       Time // of the key's lease
	messages        []message
	openRequests    []string // wishes in the log
	provisioned     []string // names under which machines were rented
	violation       string
}

func nodeName(i int) string { return string(rune('A' + i)) }

func (w modelState) clone() modelState {
	w.messages, w.openRequests, w.provisioned = slices.Clone(
		w.messages,
	), slices.Clone(
		w.openRequests,
	), slices.Clone(
		w.provisioned,
	)
	return w
}

func (w modelState) Key() string {
	b := make([]byte, 0, 256)
	appendInts := func(list ...int64) {
		for _, x := range list {
			b = binary.AppendVarint(b, x)
		}
	}
	appendBools := func(list ...bool) {
		for _, x := range list {
			if x {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	appendStrings := func(list ...string) {
		for _, x := range list {
			b = append(append(b, x...), 0)
		}
	}
	appendInts(
		int64(w.now),
		int64(w.holder),
		int64(w.term),
		int64(w.deletedRevision),
		int64(w.lease),
		int64(w.leaseEnds),
		int64(len(w.openRequests)),
	)
	appendStrings(w.provisioned...)
	for i := range w.nodes {
		n := &w.nodes[i]
		role := &n.role
		appendInts(
			int64(role.holder.Term),
			int64(role.holder.Since),
			int64(role.freeSince),
			int64(role.stalledHolders),
			int64(role.lease),
			int64(role.term),
			int64(role.trustedUntil),
			int64(role.renewSentAt),
			int64(
				role.heldSince,
			),
			int64(role.lastProgress),
			int64(role.betterSince),
			int64(role.backoffUntil),
			int64(role.backoff),
			int64(n.actionTerm),
			int64(n.restarts),
		)
		appendBools(role.observed, role.awaitingAnswer, role.progressed, n.awaitingAnswer, n.wrote, n.provisioned)
		appendStrings(role.holder.Node, role.releaseReason, n.pendingAction)
	}
	messages := make([]string, len(w.messages))
	for i, m := range w.messages {
		from := len(b)
		appendInts(int64(m.kind), int64(m.node), int64(m.sent), int64(m.lease), int64(m.term))
		appendBools(m.ok)
		appendStrings(m.name)
		messages[i], b = string(b[from:]), b[:from]
	}
	slices.Sort(messages)
	appendStrings(messages...)
	return string(b)
}

func (w modelState) Violation() string {
	if w.violation != "" {
		return w.violation
	}
	if w.nodes[0].role.Trusted(w.now) && w.nodes[1].role.Trusted(w.now) {
		return "both nodes trust that they hold the duty"
	}
	for i := range w.nodes {
		if role := &w.nodes[i].role; w.holder == i && role.Term() == w.term && !w.nodes[i].provisioned &&
			!w.nodes[i].wrote &&
			w.now-role.HeldSince() > modelRules.Patience+modelRules.TTL+2 {
			return nodeName(i) + " holds the duty for long and gets nowhere"
		}
	}
	if len(w.provisioned) > wantedRequests {
		return fmt.Sprintf(
			"machines were rented %d times for %d wish: %v",
			len(w.provisioned),
			wantedRequests,
			w.provisioned,
		)
	}
	return ""
}

// releaseKey deletes the key.
func (w *modelState) releaseKey() {
	w.revision++
	w.holder, w.term, w.lease, w.deletedRevision = -1, 0, 0, w.revision
}

// serve carries out a request and gives the answer, nil if there is none.
func (w *modelState) serve(m message) *message {
	switch m.kind {
	case acquireRequest:
		answer := message{kind: acquireResponse, node: m.node, sent: m.sent, lease: m.lease}
		if w.holder < 0 {
			w.revision++
			w.holder, w.term, w.lease, w.leaseEnds = m.node, w.revision, m.lease, w.now+modelRules.TTL
			answer.term = w.term
		}
		return &answer
	case renewRequest:
		ok := w.holder >= 0 && w.lease == m.lease
		if ok {
			w.leaseEnds = w.now + modelRules.TTL
		}
		return &message{kind: renewResponse, node: m.node, sent: m.sent, lease: m.lease, ok: ok}
	case provisionRequest:
		if !slices.Contains(w.provisioned, m.name) {
			w.provisioned = append(w.provisioned, m.name)
		}
		return &message{kind: provisionResponse, node: m.node, term: m.term, name: m.name, ok: true}
	case writeRequest:
		if w.fault != noGuard && (w.holder < 0 || w.term != m.term) {
			return nil
		}
		if w.holder < 0 || w.term != m.term {
			w.violation = fmt.Sprintf(
				"a write of %s under term %d is applied, the key is of term %d",
				nodeName(m.node),
				m.term,
				w.term,
			)
		}
	}
	return nil
}

// receive has a node take in an answer.
func (w *modelState) receive(m message) {
	n := &w.nodes[m.node]
	sent := m.sent
	if w.fault == trustFromAnswer {
		sent = w.now
	}
	switch m.kind {
	case acquireResponse:
		if n.awaitingAnswer {
			n.awaitingAnswer = false
			n.role.Acquired(sent, w.now, m.lease, m.term)
		}
	case renewResponse:
		if n.awaitingAnswer && n.role.Lease() == m.lease {
			n.awaitingAnswer = false
			n.role.Renewed(sent, m.ok, !m.ok)
		}
	case provisionResponse:
		// It is told to the leader, which believes the present holder alone.
		if n.role.Term() == m.term && n.role.IsCurrent(m.term) {
			n.provisioned = true
			n.role.RecordProgress(w.now)
			w.openRequests = slices.DeleteFunc(w.openRequests, func(s string) bool { return s == m.name })
		}
	}
}

func (w modelState) NextSteps() (list []modelcheck.Step) {
	step := func(name string, f func(w *modelState)) {
		next := w.clone()
		f(&next)
		list = append(list, modelcheck.Step{Name: fmt.Sprintf("at %d: %s", w.now, name), To: next})
	}
	if w.now < 16 {
		step("time goes by", func(w *modelState) {
			if w.now++; w.holder >= 0 && w.now > w.leaseEnds {
				w.releaseKey() // leases end late by less than a unit
			}
		})
	}
	if w.holder >= 0 && w.now >= w.leaseEnds {
		step("the lease ends", func(w *modelState) { w.releaseKey() })
	}
	for i, m := range w.messages {
		request := m.kind == acquireRequest || m.kind == renewRequest || m.kind == provisionRequest ||
			m.kind == writeRequest
		description := fmt.Sprintf(
			"%s of %s",
			[...]string{"the asking for the key", "the answer on the key", "a renewal", "the answer to a renewal", "a rental " + m.name, "the answer to the rental " + m.name, "a write"}[m.kind],
			nodeName(m.node),
		)
		if request {
			step(description+" is carried out", func(w *modelState) {
				w.messages = slices.Delete(w.messages, i, i+1)
				if answer := w.serve(m); answer != nil {
					w.messages = append(w.messages, *answer)
				}
			})
		} else {
			step(description+" comes", func(w *modelState) {
				w.messages = slices.Delete(w.messages, i, i+1)
				w.receive(m)
			})
		}
		step(description+" is lost", func(w *modelState) { w.messages = slices.Delete(w.messages, i, i+1) })
	}
	for i := range w.nodes {
		w.nodeSteps(i, step)
	}
	return list
}

// sendSteps gives the ways that a request may go.
func sendSteps(
	step func(string, func(*modelState)),
	mayDelay bool,
	description string,
	m message,
	before func(w *modelState),
) {
	step(description+", answered at once", func(w *modelState) {
		before(w)
		if answer := w.serve(m); answer != nil {
			w.receive(*answer)
		}
	})
	if mayDelay {
		step(description+", under way", func(w *modelState) {
			before(w)
			w.messages = append(w.messages, m)
		})
	}
}

func (w modelState) nodeSteps(i int, step func(string, func(*modelState))) {
	n := &w.nodes[i]
	self := nodeName(i)
	view := &View{Ready: true, Live: []string{"A", "B"}, Leader: "?"}
	// The watch shows the key as it is; being late it shows what was, which changes nothing that is not seen later.
	observed := RoleHolder{Term: w.deletedRevision}
	if w.holder >= 0 {
		observed = RoleHolder{Node: nodeName(w.holder), Term: w.term}
	}
	if n.role.Holder().Term != observed.Term || n.role.Holder().Node != observed.Node {
		step(self+" sees the key", func(w *modelState) { w.nodes[i].role.Observe(observed, w.now) })
	}
	if n.awaitingAnswer {
		step(self+" gives up waiting", func(w *modelState) {
			n := &w.nodes[i]
			n.awaitingAnswer = false
			if n.role.Term() == 0 {
				n.role.Acquired(0, w.now, 0, 0)
			} else {
				n.role.Renewed(0, false, false)
			}
		})
	} else if len(w.messages) < 3 {
		next := n.role
		if w.fault == falseProgress {
			next.RecordIdle(w.now)
		}
		switch next.Decide(w.now, view) {
		case Acquire:
			lease := uint64(10*(i+1)) + uint64(w.now)
			sendSteps(
				step,
				!w.promptDelivery,
				self+" asks for the key",
				message{kind: acquireRequest, node: i, sent: w.now, lease: lease},
				func(w *modelState) { w.nodes[i].role, w.nodes[i].awaitingAnswer = next, true },
			)
		case Renew:
			sendSteps(
				step,
				!w.promptDelivery,
				self+" renews its lease",
				message{kind: renewRequest, node: i, sent: w.now, lease: next.Lease()},
				func(w *modelState) { w.nodes[i].role, w.nodes[i].awaitingAnswer = next, true },
			)
		case Release:
			step(self+" lets go: "+next.ReleaseReason(), func(w *modelState) {
				if w.holder == i && w.lease == next.Lease() {
					w.releaseKey()
				}
				next.Released()
				w.nodes[i].role, w.nodes[i].provisioned, w.nodes[i].wrote = next, false, false
			})
		default:
			if next != n.role {
				step(self+" looks at the time", func(w *modelState) { w.nodes[i].role = next })
			}
		}
	}
	switch {
	case n.pendingAction == "" && n.role.Trusted(w.now) && !n.wrote && !w.noWrites:
		step(
			self+" is about to write",
			func(w *modelState) { w.nodes[i].pendingAction, w.nodes[i].actionTerm = "write", n.role.Term() },
		)
	case n.pendingAction == "write":
		sendSteps(
			step,
			!w.promptDelivery,
			self+" writes",
			message{kind: writeRequest, node: i, term: n.actionTerm},
			func(w *modelState) { w.nodes[i].pendingAction, w.nodes[i].wrote = "", true },
		)
	}
	if n.pendingAction == "" && n.role.Trusted(w.now) && !n.provisioned && !w.noProvisioning {
		name := ""
		if len(w.openRequests) > 0 {
			name = w.openRequests[0]
		}
		if w.fault == provisionBeforeLogging { // its own name, which the log is to learn with the answer
			name = fmt.Sprint(self, n.restarts)
			if len(w.openRequests) == 0 {
				name = ""
			}
		}
		if name != "" {
			step(
				self+" is about to rent "+name,
				func(w *modelState) { w.nodes[i].pendingAction, w.nodes[i].actionTerm = "hire "+name, n.role.Term() },
			)
		}
	}
	if name, ok := strings.CutPrefix(n.pendingAction, "hire "); ok {
		sendSteps(
			step,
			!w.promptDelivery,
			self+" rents "+name,
			message{kind: provisionRequest, node: i, term: n.actionTerm, name: name},
			func(w *modelState) { w.nodes[i].pendingAction = "" },
		)
	}
	if n.restarts == 0 && n.role.Term() != 0 && !w.promptDelivery {
		step(self+" ends and starts anew", func(w *modelState) {
			w.nodes[i] = node{role: *New(Provisioning, self, modelRules), restarts: 1}
		})
	}
}

var maxStates = flag.Int("states", 50_000, "how many states to look at where nothing is to be found")

// TestNoInterleavingBreaksARole explores every order of what may happen to two nodes that want one duty, and finds each
// way in which the rules of it could be left out.
func TestNoInterleavingBreaksARole(t *testing.T) {
	for _, c := range []struct {
		name  string
		w     modelState
		depth int
		finds string // in what is broken
	}{
		{"writes", modelState{noProvisioning: true}, 10, ""},
		{"rentals", modelState{noWrites: true}, 10, ""},
		{"the lease alone", modelState{noProvisioning: true, noWrites: true}, 12, ""},
		{"nothing late", modelState{noProvisioning: true, noWrites: true, promptDelivery: true}, 60, ""},
		{"no guard", modelState{fault: noGuard, noProvisioning: true}, 12, "is applied"},
		{"trust from the answer", modelState{fault: trustFromAnswer, noProvisioning: true, noWrites: true}, 12, "both nodes trust"},
		{"the wish behind the act", modelState{fault: provisionBeforeLogging, noWrites: true, promptDelivery: true}, 12, "rented 2 times"},
		{"renewal without progress", modelState{fault: falseProgress, noProvisioning: true, noWrites: true, promptDelivery: true}, 60, "gets nowhere"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := c.w
			w.holder, w.openRequests = -1, []string{"wish"}
			for i := range w.nodes {
				w.nodes[i].role = *New(Provisioning, nodeName(i), modelRules)
				w.nodes[i].role.Observe(RoleHolder{}, 0)
			}
			limit := *maxStates
			if c.finds != "" {
				limit = 200_000
			}
			r := modelcheck.Explore(w, c.depth, limit)
			t.Log(r)
			if (r.Violation == "") != (c.finds == "") || !strings.Contains(r.Violation, c.finds) {
				t.Errorf("found %q", r.Violation)
			}
		})
	}
}
