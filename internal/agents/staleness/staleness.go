// Package staleness judges what a worker's word proves about now, and whether what is said to the worker arrives. It is
// pure: numbers and tokens go in, a judgement comes out. Everything that follows from a report asks here first.
//
// A worker's messages carry two numbers that only grow, its session and its sequence, and the highest token that it
// has seen, which only grows as well. Copies of reports come late, from seconds to well over a lease; machines are
// back under the same name within a fraction of a second, and whether their numbers go on then or begin at 1 the
// protocol does not say; and a leader that was just elected knows no numbers at all. So a report alone may be of any
// time in the past:
//
//   - a report with a number or a token that goes back is a copy, was overtaken, or comes from a worker that began anew.
//     It proves nothing, and the machine is asked;
//   - the first report of a term proves nothing either, unless it carries a token of the term, which the worker can only
//     have from this leader;
//   - the answer to a question was made after the question. If it goes behind what was heard before the question was
//     asked, the worker has begun anew: what it held before is over. From then on only reports with a token that was
//     given out later count, since copies from its earlier life have the higher numbers.
//
// A worker that has taken an answer to a report has the answer's token when it sends the next one. If it has not, the
// answer did not arrive. Raising the token costs nothing, so any doubt is settled by the next two reports.
package staleness

// Number orders a worker's messages.
type Number struct{ Session, Seq uint64 }

// After tells whether a message is newer than another one of the same incarnation.
func (a Number) After(b Number) bool {
	return a.Session > b.Session || a.Session == b.Session && a.Seq > b.Seq
}

// Stamp is what a message tells of itself: its number, and the highest token that its worker had seen.
type Stamp struct {
	Number
	Token uint64
}

// Freshness is what a message proves.
type Freshness uint8

// The verdicts.
const (
	Stale     Freshness = iota // nothing about now: the machine is to be asked
	Unproven                   // nothing about now: the first word of a term, which may as well be a copy
	Fresh                      // newer than all that was heard
	Restarted                  // that the worker began anew, after all that was heard
)

// Question is what had been heard when a question went out.
type Question struct {
	newest       Stamp
	known        bool
	incarnations int
}

// Tracker is what a leader has heard of one machine in its term. The zero value has heard nothing.
type Tracker struct {
	newest         Stamp // of the newest message of the present incarnation
	known          bool
	incarnations   int    // how often the worker was seen to have begun anew
	fence          uint64 // only the present incarnation can have a token from this one on; 0: none was seen to end
	lastAnswer     Stamp  // the last answer to a report: its token, and the report's number; token 0: none
	unacknowledged int    // reports in a row that show that the answer before did not arrive
}

// Ask tells what is known as a question goes out.
func (t *Tracker) Ask() *Question { return &Question{t.newest, t.known, t.incarnations} }

// Judge tells what a message proves; term is the lowest token of the leader's term, least a session that the worker
// is known, by the log, to have reached, and q what was known when the message was asked for, nil for a report, for
// which nobody asked.
func (t *Tracker) Judge(stamp Stamp, term, minSession uint64, question *Question) Freshness {
	switch {
	case !t.known && question == nil && stamp.Token < term:
		return Unproven
	case !t.known && stamp.Session < minSession:
		return Restarted
	case !t.known:
		return Fresh
	case question != nil && question.known && question.incarnations == t.incarnations && (!stamp.After(question.newest.Number) || stamp.Token < question.newest.Token):
		return Restarted
	case !stamp.After(t.newest.Number), question == nil && stamp.Token < max(t.newest.Token, t.fence):
		return Stale // a copy, or another answer was faster
	}
	return Fresh
}

// Accept takes in a message that is Fresh or Restarted. Fence is the lowest token that nobody was given yet, for a
// worker that began anew. It tells whether the message shows that an answer arrived.
func (t *Tracker) Accept(stamp Stamp, freshness Freshness, fence uint64, report bool) (acknowledged bool) {
	if freshness == Restarted {
		t.incarnations++
		t.fence, t.lastAnswer = fence, Stamp{}
	}
	awaitingToken := t.lastAnswer.Token > t.newest.Token // the worker did not have it when it was told
	t.newest, t.known = stamp, true
	switch {
	case !awaitingToken:
	case stamp.Token >= t.lastAnswer.Token:
		t.unacknowledged, acknowledged = 0, true
	case report && stamp.After(t.lastAnswer.Number):
		// It waits for an answer for a while before it sends its next report, so that one is not on the way any more.
		t.unacknowledged++
	}
	return acknowledged
}

// RecordAnswer notes that the report taken in last is answered with a token.
func (t *Tracker) RecordAnswer(token uint64) { t.lastAnswer = Stamp{t.newest.Number, token} }

// Number is that of the newest message.
func (t *Tracker) Number() Number { return t.newest.Number }

// Token is the highest token that the worker was heard to have.
func (t *Tracker) Token() uint64 { return t.newest.Token }

// Fenced tells whether nothing that was sent to an earlier incarnation can be taken any more: the worker has a token
// that is higher.
func (t *Tracker) Fenced() bool { return t.newest.Token >= t.fence }

// OneWay tells whether answers do not arrive.
func (t *Tracker) OneWay() bool { return t.unacknowledged > 0 }

// Incarnations counts how often the worker was seen to have begun anew.
func (t *Tracker) Incarnations() int { return t.incarnations }
