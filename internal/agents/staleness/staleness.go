// Package staleness judges what an agent's message proves about now, and whether what is sent to the agent arrives. It
// is pure: numbers and fencing tokens go in, a judgement comes out. Everything that follows from a heartbeat asks here
// first.
//
// An agent's messages carry two numbers that only grow, its epoch and its sequence, and the highest fencing token that
// it has seen, which only grows as well. Copies of heartbeats come late, from seconds to well over a lease; machines
// are back under the same name within a fraction of a second, and whether their numbers go on then or begin at 1 the
// protocol does not say; and a leader that was just elected knows no numbers at all. So a heartbeat alone may be of any
// time in the past:
//
//   - a heartbeat with a number or a token that goes back is a copy, was overtaken, or comes from an agent that has
//     restarted. It proves nothing, and the machine is probed;
//   - the first heartbeat of a term proves nothing either, unless it carries a token of the term, which the agent can
//     only have from this leader;
//   - the response to a probe was made after the probe. If it goes behind what was received before the probe was sent,
//     the agent has restarted: what it ran before is over. From then on only heartbeats with a token that was
//     given out later count, since copies from its earlier incarnation have the higher numbers.
//
// An agent that has taken the answer to a heartbeat has the answer's token when it sends the next one. If it has not,
// the answer did not arrive. Raising the token costs nothing, so any doubt is settled by the next two heartbeats.
package staleness

// Number orders an agent's messages: by its epoch, and within one by their sequence.
type Number struct{ Session, Seq uint64 }

// After tells whether a message is newer than another one of the same incarnation.
func (a Number) After(b Number) bool {
	return a.Session > b.Session || a.Session == b.Session && a.Seq > b.Seq
}

// Stamp is what a message says of itself: its number, and the highest fencing token that its agent had seen.
type Stamp struct {
	Number
	Token uint64
}

// behind tells whether a message's number or token goes behind those of another one.
func (s Stamp) behind(other Stamp) bool { return !s.After(other.Number) || s.Token < other.Token }

// Freshness is what a message proves.
type Freshness uint8

// The verdicts.
const (
	Stale     Freshness = iota // nothing about now: the machine is to be probed
	Unproven                   // nothing about now: the first message of a term, which may as well be a copy
	Fresh                      // newer than all that was received
	Restarted                  // that the agent restarted, after all that was received
)

// Question is what had been received when a probe was sent.
type Question struct {
	newest       Stamp
	known        bool
	incarnations int
}

// Tracker is what a leader has received from one machine in its term. The zero value has received nothing.
type Tracker struct {
	newest         Stamp  // of the newest message of the present incarnation
	known          bool   // a message was received
	incarnations   int    // how often the agent was seen to have restarted
	fence          uint64 // only the present incarnation can have a token from this one on; 0: none was seen to end
	lastAnswer     Stamp  // the last answer to a heartbeat: its token, and the heartbeat's number; token 0: none
	unacknowledged int    // heartbeats in a row that show that the answer before did not arrive
}

// Ask returns what is known as a probe is sent.
func (t *Tracker) Ask() *Question { return &Question{t.newest, t.known, t.incarnations} }

// Judge tells what a message proves; term is the lowest token of the leader's term, minSession an epoch that the agent
// is known, by the log, to have reached, and question what was known when the message was asked for, nil for a
// heartbeat, for which nobody asked.
func (t *Tracker) Judge(stamp Stamp, term, minSession uint64, question *Question) Freshness {
	switch {
	case !t.known && question == nil && stamp.Token < term:
		return Unproven
	case !t.known && stamp.Session < minSession:
		return Restarted
	case !t.known:
		return Fresh
	case question != nil && question.known && question.incarnations == t.incarnations && stamp.behind(question.newest):
		return Restarted
	case !stamp.After(t.newest.Number), question == nil && stamp.Token < max(t.newest.Token, t.fence):
		return Stale // a copy, or another answer was faster
	}
	return Fresh
}

// Accept takes in a message that is Fresh or Restarted. Fence is the lowest token that nobody was given yet, for an
// agent that restarted. It tells whether the message shows that an answer arrived.
func (t *Tracker) Accept(stamp Stamp, freshness Freshness, fence uint64, report bool) (acknowledged bool) {
	if freshness == Restarted {
		t.incarnations++
		t.fence, t.lastAnswer = fence, Stamp{}
	}
	awaitingToken := t.lastAnswer.Token > t.newest.Token // the agent did not have it when it was sent
	t.newest, t.known = stamp, true
	switch {
	case !awaitingToken:
	case stamp.Token >= t.lastAnswer.Token:
		t.unacknowledged, acknowledged = 0, true
	case report && stamp.After(t.lastAnswer.Number):
		// It waits for an answer for a while before it sends its next heartbeat, so that one is not under way any
		// more.
		t.unacknowledged++
	}
	return acknowledged
}

// RecordAnswer notes that the heartbeat taken in last is answered with a token.
func (t *Tracker) RecordAnswer(token uint64) { t.lastAnswer = Stamp{t.newest.Number, token} }

// Number is that of the newest message.
func (t *Tracker) Number() Number { return t.newest.Number }

// Token is the highest token that the agent is known to have.
func (t *Tracker) Token() uint64 { return t.newest.Token }

// Fenced tells whether nothing that was sent to an earlier incarnation can be taken any more: the agent has a token
// that is higher.
func (t *Tracker) Fenced() bool { return t.newest.Token >= t.fence }

// OneWay tells whether answers do not arrive.
func (t *Tracker) OneWay() bool { return t.unacknowledged > 0 }

// Incarnations counts how often the agent was seen to have restarted.
func (t *Tracker) Incarnations() int { return t.incarnations }
