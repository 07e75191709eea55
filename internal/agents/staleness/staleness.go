// Package staleness determines whether an agent's message reflects its current state, and whether responses reach the
// agent. It performs no I/O: it evaluates sequence numbers and fencing tokens only. The contents of a heartbeat must
// not be used before its verdict is known.
//
// An agent's messages carry an epoch, a sequence number, and the highest fencing token that the agent has seen, none of
// which decreases while the agent runs. Duplicates of heartbeats may arrive seconds to well over a lease duration late.
// Machines may return under the same name within a fraction of a second, and the protocol does not specify whether the
// epochs and sequence numbers of their agents then continue or restart at 1. A newly elected leader knows no numbers at
// all. A heartbeat on its own may therefore be of any age:
//
//   - A heartbeat with a lower number or token is a duplicate, was reordered, or comes from an agent that has
//     restarted. It proves nothing, and the machine is probed.
//   - The first heartbeat of a term proves nothing either, unless it carries a token of the term, which the agent can
//     only have received from this leader.
//   - The response to a probe was sent after the probe. If its number or token is lower than that of a message received
//     before the probe was sent, the agent has restarted, and its earlier tasks have ended. From then on only
//     heartbeats with a token issued later are accepted, since duplicates from the earlier incarnation have higher
//     numbers.
//
// An agent that received the response to a heartbeat includes the response's token in the next heartbeat; otherwise the
// response was lost. A leader may raise the token at any time, so that two further heartbeats show whether responses
// reach the agent.
package staleness

// Number orders an agent's messages by epoch, and within an epoch by sequence number.
type Number struct{ AgentEpoch, Seq uint64 }

// After reports whether a message is newer than another one of the same incarnation.
func (a Number) After(b Number) bool {
	return a.AgentEpoch > b.AgentEpoch || a.AgentEpoch == b.AgentEpoch && a.Seq > b.Seq
}

// Stamp is a message's number, and the highest fencing token that the agent had seen when it sent the message.
type Stamp struct {
	Number
	Token uint64
}

// behind reports whether a message's number is not newer, or its token is lower, than another message's.
func (s Stamp) behind(other Stamp) bool { return !s.After(other.Number) || s.Token < other.Token }

// Freshness is the verdict on a message.
type Freshness uint8

// Verdicts on a message.
const (
	Stale     Freshness = iota // not proven current: the machine is to be probed
	Unproven                   // not proven current: the first message of a term, which may be a late duplicate
	Fresh                      // proven current: newer than all messages received before, if any
	Restarted                  // restarted since the last message received before, or since the epoch in the log
)

// ProbeBaseline is the state of a Tracker when a probe was sent.
type ProbeBaseline struct {
	newest       Stamp
	known        bool
	incarnations int
}

// Tracker is the state of a leader's message exchange with one machine in its term. In the zero value, nothing was
// received.
type Tracker struct {
	newest         Stamp  // of the newest message of the current incarnation
	known          bool   // a message was received
	incarnations   int    // number of detected restarts
	fence          uint64 // lowest token that only the current incarnation can have; 0: no restart was detected
	lastResponse   Stamp  // token of the last response to a heartbeat, and the heartbeat's number; token 0: none
	unacknowledged int    // consecutive heartbeats that show that the previous response did not arrive
}

// ProbeBaseline returns the current state, to be kept with a probe that is sent now.
func (t *Tracker) ProbeBaseline() *ProbeBaseline {
	return &ProbeBaseline{t.newest, t.known, t.incarnations}
}

// Judge returns the verdict on a message. minToken is the lowest token of the leader's term, minEpoch an epoch that the
// agent has reached according to the log, and baseline the result of ProbeBaseline for the probe that the message
// responds to, or nil for a heartbeat.
func (t *Tracker) Judge(stamp Stamp, minToken, minEpoch uint64, baseline *ProbeBaseline) Freshness {
	switch {
	case !t.known && baseline == nil && stamp.Token < minToken:
		return Unproven
	case !t.known && stamp.AgentEpoch < minEpoch:
		return Restarted
	case !t.known:
		return Fresh
	case baseline != nil && baseline.known && baseline.incarnations == t.incarnations && stamp.behind(baseline.newest):
		return Restarted
	case !stamp.After(t.newest.Number), baseline == nil && stamp.Token < max(t.newest.Token, t.fence):
		return Stale // a duplicate, or overtaken by a later message
	}
	return Fresh
}

// Accept records a message that is Fresh or Restarted, and reports whether the message proves that a response arrived.
// fence is the lowest token that has not been issued yet. After a restart, heartbeats with a lower token are stale.
// isHeartbeat is false for a probe response.
func (t *Tracker) Accept(stamp Stamp, freshness Freshness, fence uint64, isHeartbeat bool) (acknowledged bool) {
	if freshness == Restarted {
		t.incarnations++
		t.fence, t.lastResponse = fence, Stamp{}
	}
	awaitingToken := t.lastResponse.Token > t.newest.Token // the agent has not shown the token of the last response yet
	t.newest, t.known = stamp, true
	switch {
	case !awaitingToken:
	case stamp.Token >= t.lastResponse.Token:
		t.unacknowledged, acknowledged = 0, true
	case isHeartbeat && stamp.After(t.lastResponse.Number):
		// An agent sends the next heartbeat only after it has received the response or stopped waiting for it, so the
		// response cannot still be in transit.
		t.unacknowledged++
	}
	return acknowledged
}

// RecordResponse records that the response to the last accepted heartbeat carries the given token.
func (t *Tracker) RecordResponse(token uint64) { t.lastResponse = Stamp{t.newest.Number, token} }

// Number returns the number of the newest message.
func (t *Tracker) Number() Number { return t.newest.Number }

// Token returns the highest token that the agent is known to have.
func (t *Tracker) Token() uint64 { return t.newest.Token }

// Fenced reports whether the agent has a token that makes it reject all commands sent to an earlier incarnation.
func (t *Tracker) Fenced() bool { return t.newest.Token >= t.fence }

// InboundPartitioned reports whether responses do not reach the agent although its heartbeats arrive.
func (t *Tracker) InboundPartitioned() bool { return t.unacknowledged > 0 }

// Incarnations returns the number of detected restarts of the agent.
func (t *Tracker) Incarnations() int { return t.incarnations }
