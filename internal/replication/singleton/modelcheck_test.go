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

// This is a model of two nodes, the key-value store, the cloud and the log around the real Roles. Time is in whole
// units. Whatever a node requests may be answered at once, or be in flight for any time, be lost, or lose its answer;
// between the look at its trust and a request a node may be paused, for any time; it may end and start anew.

// fault is what is broken on purpose.
type fault int

const (
	noFault                fault = iota
	noGuard                      // writes of a role don't require its key
	trustFromAnswer              // a lease is trusted from when the answer came
	provisionBeforeLogging       // machines are provisioned before the request is in the log
	falseProgress                // a lease is renewed whether the role makes progress or not
)

var modelRules = Rules{
	TTL: 3, TrustPeriod: 2, RenewInterval: 1, Patience: 2, InitialBackoff: 2, MaxBackoff: 4, SettleTime: 100,
}

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

// String is what traces call it.
func (k messageKind) String() string {
	return [...]string{"the asking for the key", "the answer on the key", "a renewal", "the answer to a renewal",
		"a scale-out", "the answer to the scale-out", "a write"}[k]
}

// message is a request or an answer in flight. term is the holder's, or what the answer says; ok tells that it
// worked.
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
	awaitingAnswer bool   // an Acquire or Renew is in flight
	pendingAction  string // looked at its trust, and is about to: "provision NAME", "write"
	actionTerm     uint64 // the term under which it looked
	wrote          bool
	provisioned    bool
	restarts       int // how often it started
}

type modelState struct {
	fault fault
	// What is left out, so that the rest can be followed further: writes, provisioning, and that anything is in
	// flight for long or lost.
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
	openRequests    []string // scale-out requests in the log
	provisioned     []string // names under which machines were provisioned
	violation       string
}

func nodeName(i int) string { return string(rune('A' + i)) }

func (w modelState) clone() modelState {
	w.messages = slices.Clone(w.messages)
	w.openRequests = slices.Clone(w.openRequests)
	w.provisioned = slices.Clone(w.provisioned)
	return w
}

// stateKey is the encoding of a state that tells it from others.
type stateKey []byte

func (k *stateKey) ints(list ...int64) {
	for _, x := range list {
		*k = binary.AppendVarint(*k, x)
	}
}

func (k *stateKey) times(list ...Time) {
	for _, x := range list {
		k.ints(int64(x))
	}
}

func (k *stateKey) bools(list ...bool) {
	for _, x := range list {
		if x {
			*k = append(*k, 1)
		} else {
			*k = append(*k, 0)
		}
	}
}

func (k *stateKey) strings(list ...string) {
	for _, x := range list {
		*k = append(append(*k, x...), 0)
	}
}

func (k *stateKey) role(r *Role) {
	k.ints(int64(r.holder.Term), int64(r.stalledHolders), int64(r.lease), int64(r.term))
	k.times(r.holder.Since, r.freeSince, r.trustedUntil, r.renewSentAt, r.heldSince, r.lastProgress)
	k.times(r.betterHolderSince, r.backoffUntil, r.backoff)
	k.bools(r.observed, r.awaitingResponse, r.progressed)
	k.strings(r.holder.Node, r.releaseReason)
}

func (k *stateKey) node(n *node) {
	k.role(&n.role)
	k.ints(int64(n.actionTerm), int64(n.restarts))
	k.bools(n.awaitingAnswer, n.wrote, n.provisioned)
	k.strings(n.pendingAction)
}

func (k *stateKey) message(m *message) {
	k.ints(int64(m.kind), int64(m.node), int64(m.sent), int64(m.lease), int64(m.term))
	k.bools(m.ok)
	k.strings(m.name)
}

// Key leaves out the order of the messages.
func (w modelState) Key() string {
	k := make(stateKey, 0, 256)
	k.ints(int64(w.now), int64(w.holder), int64(w.term), int64(w.deletedRevision), int64(w.lease), int64(w.leaseEnds))
	k.ints(int64(len(w.openRequests)))
	k.strings(w.provisioned...)
	for i := range w.nodes {
		k.node(&w.nodes[i])
	}
	messages := make([]string, len(w.messages))
	for i := range w.messages {
		from := len(k)
		k.message(&w.messages[i])
		messages[i], k = string(k[from:]), k[:from]
	}
	slices.Sort(messages)
	k.strings(messages...)
	return string(k)
}

func (w modelState) Violation() string {
	if w.violation != "" {
		return w.violation
	}
	if w.nodes[0].role.Trusted(w.now) && w.nodes[1].role.Trusted(w.now) {
		return "both nodes trust that they hold the role"
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		holds := w.holder == i && n.role.Term() == w.term
		heldFor := w.now - n.role.HeldSince()
		if holds && !n.provisioned && !n.wrote && heldFor > modelRules.Patience+modelRules.TTL+2 {
			return nodeName(i) + " holds the role for long without progress"
		}
	}
	if len(w.provisioned) > wantedRequests {
		return fmt.Sprintf("machines were provisioned %d times for %d request: %v",
			len(w.provisioned), wantedRequests, w.provisioned)
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
			w.violation = fmt.Sprintf("a write of %s under term %d is applied, the key is of term %d",
				nodeName(m.node), m.term, w.term)
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
		// It is reported to the leader, which accepts it from the present holder alone.
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
		description := m.kind.String()
		if m.name != "" {
			description += " " + m.name
		}
		description += " of " + nodeName(m.node)
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
func sendSteps(step stepFunc, mayDelay bool, description string, m message, before func(w *modelState)) {
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

// stepFunc adds a step that may happen next.
type stepFunc func(name string, apply func(*modelState))

func (w modelState) nodeSteps(i int, step stepFunc) {
	n := &w.nodes[i]
	self := nodeName(i)
	// The watch shows the key as it is; being late it shows what was, which changes nothing that is not seen later.
	observed := RoleHolder{Term: w.deletedRevision}
	if w.holder >= 0 {
		observed = RoleHolder{Node: nodeName(w.holder), Term: w.term}
	}
	if n.role.Holder().Term != observed.Term || n.role.Holder().Node != observed.Node {
		step(self+" sees the key", func(w *modelState) { w.nodes[i].role.Observe(observed, w.now) })
	}
	if n.awaitingAnswer {
		step(self+" stops waiting", func(w *modelState) { w.nodes[i].stopWaiting(w.now) })
	} else if len(w.messages) < 3 {
		w.decisionSteps(i, step)
	}
	w.writeSteps(i, step)
	w.provisionSteps(i, step)
	if n.restarts == 0 && n.role.Term() != 0 && !w.promptDelivery {
		step(self+" ends and starts anew", func(w *modelState) {
			w.nodes[i] = node{role: *New(Provisioning, self, modelRules), restarts: 1}
		})
	}
}

// stopWaiting has a node take a response that did not come for an unknown outcome.
func (n *node) stopWaiting(now Time) {
	n.awaitingAnswer = false
	if n.role.Term() == 0 {
		n.role.Acquired(0, now, 0, 0)
	} else {
		n.role.Renewed(0, false, false)
	}
}

// decisionSteps are what a node may do of its own accord with the key.
func (w modelState) decisionSteps(i int, step stepFunc) {
	n, self := &w.nodes[i], nodeName(i)
	next := n.role
	if w.fault == falseProgress {
		next.RecordIdle(w.now)
	}
	await := func(w *modelState) { w.nodes[i].role, w.nodes[i].awaitingAnswer = next, true }
	switch next.Decide(w.now, &View{Ready: true, Live: []string{"A", "B"}, Leader: "?"}) {
	case Acquire:
		request := message{kind: acquireRequest, node: i, sent: w.now, lease: uint64(10*(i+1)) + uint64(w.now)}
		sendSteps(step, !w.promptDelivery, self+" asks for the key", request, await)
	case Renew:
		request := message{kind: renewRequest, node: i, sent: w.now, lease: next.Lease()}
		sendSteps(step, !w.promptDelivery, self+" renews its lease", request, await)
	case Release:
		step(self+" releases the key: "+next.ReleaseReason(), func(w *modelState) {
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

// writeSteps are the two halves of a write: the look at the trust, and the request.
func (w modelState) writeSteps(i int, step stepFunc) {
	n, self := &w.nodes[i], nodeName(i)
	switch {
	case n.pendingAction == "" && n.role.Trusted(w.now) && !n.wrote && !w.noWrites:
		step(self+" is about to write", func(w *modelState) {
			w.nodes[i].pendingAction, w.nodes[i].actionTerm = "write", n.role.Term()
		})
	case n.pendingAction == "write":
		request := message{kind: writeRequest, node: i, term: n.actionTerm}
		sendSteps(step, !w.promptDelivery, self+" writes", request, func(w *modelState) {
			w.nodes[i].pendingAction, w.nodes[i].wrote = "", true
		})
	}
}

// provisionSteps are the two halves of a scale-out request: the look at the trust, and the request.
func (w modelState) provisionSteps(i int, step stepFunc) {
	n, self := &w.nodes[i], nodeName(i)
	if n.pendingAction == "" && n.role.Trusted(w.now) && !n.provisioned && !w.noProvisioning {
		if name := w.requestName(i); name != "" {
			step(self+" is about to provision "+name, func(w *modelState) {
				w.nodes[i].pendingAction, w.nodes[i].actionTerm = provisionAction+name, n.role.Term()
			})
		}
	}
	if name, ok := strings.CutPrefix(n.pendingAction, provisionAction); ok {
		request := message{kind: provisionRequest, node: i, term: n.actionTerm, name: name}
		sendSteps(step, !w.promptDelivery, self+" provisions "+name, request, func(w *modelState) {
			w.nodes[i].pendingAction = ""
		})
	}
}

// provisionAction is what a pending action that provisions begins with; the name of the request follows.
const provisionAction = "provision "

// requestName is the name under which a node provisions next, "" if nothing is wanted.
func (w modelState) requestName(i int) string {
	switch {
	case len(w.openRequests) == 0:
		return ""
	case w.fault == provisionBeforeLogging: // its own name, which the log is to learn with the answer
		return fmt.Sprint(nodeName(i), w.nodes[i].restarts)
	}
	return w.openRequests[0]
}

var maxStates = flag.Int("states", 50_000, "how many states to look at where nothing is to be found")

// TestNoInterleavingBreaksARole explores every order of what may happen to two nodes that want one role, and finds
// each way in which its rules could be left out.
func TestNoInterleavingBreaksARole(t *testing.T) {
	for _, c := range []struct {
		name  string
		w     modelState
		depth int
		finds string // in what is broken
	}{
		{"writes", modelState{noProvisioning: true}, 10, ""},
		{"provisioning", modelState{noWrites: true}, 10, ""},
		{"the lease alone", modelState{noProvisioning: true, noWrites: true}, 12, ""},
		{"nothing late", modelState{noProvisioning: true, noWrites: true, promptDelivery: true}, 60, ""},
		{"no guard", modelState{fault: noGuard, noProvisioning: true}, 12, "is applied"},
		{"trust from the answer", modelState{fault: trustFromAnswer, noProvisioning: true, noWrites: true},
			12, "both nodes trust"},
		{"the log entry behind the request",
			modelState{fault: provisionBeforeLogging, noWrites: true, promptDelivery: true},
			12, "provisioned 2 times"},
		{"renewal without progress",
			modelState{fault: falseProgress, noProvisioning: true, noWrites: true, promptDelivery: true},
			60, "without progress"},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := c.w
			w.holder, w.openRequests = -1, []string{"request"}
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
