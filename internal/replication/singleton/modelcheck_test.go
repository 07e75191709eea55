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

// This file models two nodes, the key-value store, the cloud and the log. The nodes use the type Role itself, not a
// model of it. Time advances in whole units. A request may be answered at once, remain in flight for any time, be lost,
// or have its response lost. A node may be paused for any time between checking that it is trusted and sending a
// request, and it may end and restart.

// fault is a safety rule that the model deliberately breaks.
type fault int

const (
	noFault                fault = iota
	unfencedWrites               // writes of a role do not require its key
	trustFromResponse            // a lease is trusted from the arrival of the response
	provisionBeforeLogging       // machines are provisioned before the scale-out request is in the log
	renewalWithoutProgress       // a lease is renewed even if the role makes no progress
)

var modelRules = Rules{
	TTL: 3, TrustPeriod: 2, RenewInterval: 1, StallTimeout: 2, InitialBackoff: 2, MaxBackoff: 4, SettleTime: 100,
}

// wantedRequests is the number of scale-out requests in the log at the start.
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

// String returns the description used in traces.
func (k messageKind) String() string {
	return [...]string{"acquire request", "acquire response", "renew request", "renew response",
		"scale-out request", "scale-out response", "write request"}[k]
}

// message is a request or a response in flight. term is the holder's term, or the term that the response reports; ok
// reports success.
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
	role             Role
	awaitingResponse bool   // an Acquire or Renew is in flight
	pendingAction    string // action to take next, for which Trusted returned true: "provision NAME" or "write"
	actionTerm       uint64 // term when Trusted was called
	wrote            bool
	provisioned      bool
	restarts         int
}

type modelState struct {
	fault fault
	// Restrictions that reduce the number of states, so that they can be explored to a greater depth: no writes, no
	// provisioning, or no message that is delayed or lost.
	noWrites, noProvisioning, promptDelivery bool

	now             Time
	nodes           [2]node
	revision        uint64
	holder          int // index of the node that holds the key; -1 if none
	term            uint64
	deletedRevision uint64 // revision at which the key was last deleted
	lease           uint64
	leaseEndsAt     Time // when the key's lease ends
	messages        []message
	openRequests    []string // scale-out requests in the log
	provisioned     []string // names under which machines were provisioned
	violation       string
}

func nodeName(i int) string { return string(rune('A' + i)) }

func (s modelState) clone() modelState {
	s.messages = slices.Clone(s.messages)
	s.openRequests = slices.Clone(s.openRequests)
	s.provisioned = slices.Clone(s.provisioned)
	return s
}

// stateKey is an encoding of the parts of a state that determine its behavior, by which equal states are recognized.
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
	k.bools(n.awaitingResponse, n.wrote, n.provisioned)
	k.strings(n.pendingAction)
}

func (k *stateKey) message(m *message) {
	k.ints(int64(m.kind), int64(m.node), int64(m.sent), int64(m.lease), int64(m.term))
	k.bools(m.ok)
	k.strings(m.name)
}

// Key encodes the state, ignoring the order of messages.
func (s modelState) Key() string {
	k := make(stateKey, 0, 256)
	k.ints(int64(s.now), int64(s.holder), int64(s.term), int64(s.deletedRevision), int64(s.lease), int64(s.leaseEndsAt))
	k.ints(int64(len(s.openRequests)))
	k.strings(s.provisioned...)
	for i := range s.nodes {
		k.node(&s.nodes[i])
	}
	messages := make([]string, len(s.messages))
	for i := range s.messages {
		from := len(k)
		k.message(&s.messages[i])
		messages[i], k = string(k[from:]), k[:from]
	}
	slices.Sort(messages)
	k.strings(messages...)
	return string(k)
}

// Violation describes the safety property that the state violates, empty if none.
func (s modelState) Violation() string {
	if s.violation != "" {
		return s.violation
	}
	if s.nodes[0].role.Trusted(s.now) && s.nodes[1].role.Trusted(s.now) {
		return "both nodes trust that they hold the role"
	}
	for i := range s.nodes {
		n := &s.nodes[i]
		holds := s.holder == i && n.role.Term() == s.term
		heldFor := s.now - n.role.HeldSince()
		if holds && !n.provisioned && !n.wrote && heldFor > modelRules.StallTimeout+modelRules.TTL+2 {
			return nodeName(i) + " holds the role too long without progress"
		}
	}
	if len(s.provisioned) > wantedRequests {
		return fmt.Sprintf("machines were provisioned %d times for %d requests: %v",
			len(s.provisioned), wantedRequests, s.provisioned)
	}
	return ""
}

// releaseKey deletes the role's key, as the store does when the key's lease ends or is revoked.
func (s *modelState) releaseKey() {
	s.revision++
	s.holder, s.term, s.lease, s.deletedRevision = -1, 0, 0, s.revision
}

// serve executes a request at the store or the cloud and returns the response, nil if there is none.
func (s *modelState) serve(m message) *message {
	switch m.kind {
	case acquireRequest:
		answer := message{kind: acquireResponse, node: m.node, sent: m.sent, lease: m.lease}
		if s.holder < 0 {
			s.revision++
			s.holder, s.term, s.lease, s.leaseEndsAt = m.node, s.revision, m.lease, s.now+modelRules.TTL
			answer.term = s.term
		}
		return &answer
	case renewRequest:
		ok := s.holder >= 0 && s.lease == m.lease
		if ok {
			s.leaseEndsAt = s.now + modelRules.TTL
		}
		return &message{kind: renewResponse, node: m.node, sent: m.sent, lease: m.lease, ok: ok}
	case provisionRequest:
		if !slices.Contains(s.provisioned, m.name) {
			s.provisioned = append(s.provisioned, m.name)
		}
		return &message{kind: provisionResponse, node: m.node, term: m.term, name: m.name, ok: true}
	case writeRequest:
		if s.fault != unfencedWrites && (s.holder < 0 || s.term != m.term) {
			return nil
		}
		if s.holder < 0 || s.term != m.term {
			s.violation = fmt.Sprintf("write of %s under term %d is applied, but the key has term %d",
				nodeName(m.node), m.term, s.term)
		}
	}
	return nil
}

// receive delivers a response to its node.
func (s *modelState) receive(m message) {
	n := &s.nodes[m.node]
	sent := m.sent
	if s.fault == trustFromResponse {
		sent = s.now
	}
	switch m.kind {
	case acquireResponse:
		if n.awaitingResponse {
			n.awaitingResponse = false
			n.role.Acquired(sent, s.now, m.lease, m.term)
		}
	case renewResponse:
		if n.awaitingResponse && n.role.Lease() == m.lease {
			n.awaitingResponse = false
			n.role.Renewed(sent, m.ok, !m.ok)
		}
	case provisionResponse:
		// The node reports the result to the leader, which accepts it only from the current holder.
		if n.role.Term() == m.term && n.role.IsCurrentTerm(m.term) {
			n.provisioned = true
			n.role.RecordProgress(s.now)
			s.openRequests = slices.DeleteFunc(s.openRequests, func(s string) bool { return s == m.name })
		}
	}
}

// NextSteps returns the steps that can follow the state.
func (s modelState) NextSteps() (list []modelcheck.Step) {
	step := func(name string, f func(s *modelState)) {
		take := func() modelcheck.State {
			next := s.clone()
			f(&next)
			return next
		}
		list = append(list, modelcheck.Step{Name: fmt.Sprintf("at %d: %s", s.now, name), Take: take})
	}
	if s.now < 16 {
		step("time advances", func(s *modelState) {
			if s.now++; s.holder >= 0 && s.now > s.leaseEndsAt {
				s.releaseKey() // the store ends an expired lease less than one unit late
			}
		})
	}
	if s.holder >= 0 && s.now >= s.leaseEndsAt {
		step("lease ends", func(s *modelState) { s.releaseKey() })
	}
	for i, m := range s.messages {
		request := m.kind == acquireRequest || m.kind == renewRequest || m.kind == provisionRequest ||
			m.kind == writeRequest
		description := m.kind.String()
		if m.name != "" {
			description += " " + m.name
		}
		description += " of " + nodeName(m.node)
		if request {
			step(description+" is executed", func(s *modelState) {
				s.messages = slices.Delete(s.messages, i, i+1)
				if answer := s.serve(m); answer != nil {
					s.messages = append(s.messages, *answer)
				}
			})
		} else {
			step(description+" arrives", func(s *modelState) {
				s.messages = slices.Delete(s.messages, i, i+1)
				s.receive(m)
			})
		}
		step(description+" is lost", func(s *modelState) { s.messages = slices.Delete(s.messages, i, i+1) })
	}
	for i := range s.nodes {
		s.nodeSteps(i, step)
	}
	return list
}

// sendSteps adds the steps that send a request: it is answered at once or, if mayDelay, remains in flight. before is
// applied to the state first.
func sendSteps(step stepFunc, mayDelay bool, description string, m message, before func(s *modelState)) {
	step(description+", answered at once", func(s *modelState) {
		before(s)
		if answer := s.serve(m); answer != nil {
			s.receive(*answer)
		}
	})
	if mayDelay {
		step(description+", in flight", func(s *modelState) {
			before(s)
			s.messages = append(s.messages, m)
		})
	}
}

// stepFunc adds a possible next step with a name for traces; apply changes a copy of the current state.
type stepFunc func(name string, apply func(*modelState))

func (s modelState) nodeSteps(i int, step stepFunc) {
	n := &s.nodes[i]
	self := nodeName(i)
	// The watch reports the current state of the key. Watches that report an earlier state are not modeled: they add no
	// behavior, since a node may also observe the current state at any later time.
	observed := RoleHolder{Term: s.deletedRevision}
	if s.holder >= 0 {
		observed = RoleHolder{Node: nodeName(s.holder), Term: s.term}
	}
	if n.role.Holder().Term != observed.Term || n.role.Holder().Node != observed.Node {
		step(self+" observes the key", func(s *modelState) { s.nodes[i].role.Observe(observed, s.now) })
	}
	if n.awaitingResponse {
		step(self+" times out", func(s *modelState) { s.nodes[i].timeOut(s.now) })
	} else if len(s.messages) < 3 {
		s.decisionSteps(i, step)
	}
	s.writeSteps(i, step)
	s.provisionSteps(i, step)
	if n.restarts == 0 && n.role.Term() != 0 && !s.promptDelivery {
		step(self+" restarts", func(s *modelState) {
			s.nodes[i] = node{role: *New(Provisioning, self, modelRules), restarts: 1}
		})
	}
}

// timeOut makes a node treat the outcome of its request, to which no response has arrived, as unknown.
func (n *node) timeOut(now Time) {
	n.awaitingResponse = false
	if n.role.Term() == 0 {
		n.role.Acquired(0, now, 0, 0)
	} else {
		n.role.Renewed(0, false, false)
	}
}

// decisionSteps adds the steps in which a node carries out what Role.Decide returns.
func (s modelState) decisionSteps(i int, step stepFunc) {
	n, self := &s.nodes[i], nodeName(i)
	next := n.role
	if s.fault == renewalWithoutProgress {
		next.RecordIdle(s.now)
	}
	await := func(s *modelState) { s.nodes[i].role, s.nodes[i].awaitingResponse = next, true }
	switch next.Decide(s.now, &ClusterView{RolesDistributed: true, LiveNodes: []string{"A", "B"}, Leader: "?"}) {
	case Acquire:
		request := message{kind: acquireRequest, node: i, sent: s.now, lease: uint64(10*(i+1)) + uint64(s.now)}
		sendSteps(step, !s.promptDelivery, self+" requests the key", request, await)
	case Renew:
		request := message{kind: renewRequest, node: i, sent: s.now, lease: next.Lease()}
		sendSteps(step, !s.promptDelivery, self+" renews its lease", request, await)
	case Release:
		step(self+" releases the key: "+next.ReleaseReason(), func(s *modelState) {
			if s.holder == i && s.lease == next.Lease() {
				s.releaseKey()
			}
			next.Released()
			s.nodes[i].role, s.nodes[i].provisioned, s.nodes[i].wrote = next, false, false
		})
	default:
		if next != n.role {
			step(self+" re-evaluates its state", func(s *modelState) { s.nodes[i].role = next })
		}
	}
}

// writeSteps adds the two steps of a write: checking that the node is trusted, and sending the request.
func (s modelState) writeSteps(i int, step stepFunc) {
	n, self := &s.nodes[i], nodeName(i)
	switch {
	case n.pendingAction == "" && n.role.Trusted(s.now) && !n.wrote && !s.noWrites:
		step(self+" is about to write", func(s *modelState) {
			s.nodes[i].pendingAction, s.nodes[i].actionTerm = "write", n.role.Term()
		})
	case n.pendingAction == "write":
		request := message{kind: writeRequest, node: i, term: n.actionTerm}
		sendSteps(step, !s.promptDelivery, self+" writes", request, func(s *modelState) {
			s.nodes[i].pendingAction, s.nodes[i].wrote = "", true
		})
	}
}

// provisionSteps adds the two steps of a scale-out: checking that the node is trusted, and sending the request.
func (s modelState) provisionSteps(i int, step stepFunc) {
	n, self := &s.nodes[i], nodeName(i)
	if n.pendingAction == "" && n.role.Trusted(s.now) && !n.provisioned && !s.noProvisioning {
		if name := s.requestName(i); name != "" {
			step(self+" is about to provision "+name, func(s *modelState) {
				s.nodes[i].pendingAction, s.nodes[i].actionTerm = provisionAction+name, n.role.Term()
			})
		}
	}
	if name, ok := strings.CutPrefix(n.pendingAction, provisionAction); ok {
		request := message{kind: provisionRequest, node: i, term: n.actionTerm, name: name}
		sendSteps(step, !s.promptDelivery, self+" provisions "+name, request, func(s *modelState) {
			s.nodes[i].pendingAction = ""
		})
	}
}

// provisionAction is the prefix of node.pendingAction for a scale-out; the name of the request follows.
const provisionAction = "provision "

// requestName returns the name of the scale-out request that a node sends next, empty if no request is open.
func (s modelState) requestName(i int) string {
	switch {
	case len(s.openRequests) == 0:
		return ""
	case s.fault == provisionBeforeLogging: // the node chooses a name that is in the log only after the response
		return fmt.Sprint(nodeName(i), s.nodes[i].restarts)
	}
	return s.openRequests[0]
}

var maxStates = flag.Int("states", 50_000, "maximum number of states to explore where no violation is expected")

// TestNoInterleavingBreaksARole explores the interleavings of two nodes that compete for one role, up to a depth and a
// number of states. It checks that no safety property is violated, and that a violation is found for each rule that the
// model deliberately breaks.
func TestNoInterleavingBreaksARole(t *testing.T) {
	for _, c := range []struct {
		name          string
		initial       modelState
		depth         int
		wantViolation string // part of the expected violation; empty if none is expected
	}{
		{"writes", modelState{noProvisioning: true}, 10, ""},
		{"provisioning", modelState{noWrites: true}, 10, ""},
		{"lease only", modelState{noProvisioning: true, noWrites: true}, 12, ""},
		{"prompt delivery", modelState{noProvisioning: true, noWrites: true, promptDelivery: true}, 60, ""},
		{"unfenced writes", modelState{fault: unfencedWrites, noProvisioning: true}, 12, "is applied"},
		{"trust from the response", modelState{fault: trustFromResponse, noProvisioning: true, noWrites: true},
			12, "both nodes trust"},
		{"provisioning before logging",
			modelState{fault: provisionBeforeLogging, noWrites: true, promptDelivery: true},
			12, "provisioned 2 times"},
		{"renewal without progress",
			modelState{fault: renewalWithoutProgress, noProvisioning: true, noWrites: true, promptDelivery: true},
			60, "without progress"},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := c.initial
			state.holder, state.openRequests = -1, []string{"request"}
			for i := range state.nodes {
				state.nodes[i].role = *New(Provisioning, nodeName(i), modelRules)
				state.nodes[i].role.Observe(RoleHolder{}, 0)
			}
			limit := *maxStates
			if c.wantViolation != "" {
				limit = 200_000
			}
			r := modelcheck.Explore(state, c.depth, limit)
			t.Log(r)
			if (r.Violation == "") != (c.wantViolation == "") || !strings.Contains(r.Violation, c.wantViolation) {
				t.Errorf("violation is %q, want one that contains %q, or none if empty", r.Violation, c.wantViolation)
			}
		})
	}
}
