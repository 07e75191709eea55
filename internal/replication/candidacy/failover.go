package candidacy

// Phase is a step on the way from the end of one leader to a next one that has the whole fleet in hand. They come in
// this order, but for the last one, which may come before others.
type Phase uint8

// The parts.
const (
	LeaderLost      Phase = iota // this node saw that there is no leader
	Elected                      // the key is its own
	LogRead                      // the log's end, under its term
	Leading                      // the intake too; all is applied, and it answers and decides
	FirstPlacement               // its first placement
	FirstCommand                 // its first command to a machine
	FirstExecution               // the first machine that said it carried one out
	AgentsAccounted              // the last machine with work was heard of, or asked in vain
	PhaseCount                   // how many there are
)

// String is the part's name in the log and on the page of counters.
func (p Phase) String() string {
	return [...]string{"noticed", "elected", "log_read", "leads", "placed", "sent", "executed", "heard", "?"}[min(p, PhaseCount)]
}

// Timeline is when the parts of a takeover came.
type Timeline struct {
	reachedAt [PhaseCount]Time
	reached   [PhaseCount]bool
}

// Mark notes that a part has come, and tells whether it is for the first time.
func (t *Timeline) Mark(p Phase, now Time) bool {
	if t.reached[p] {
		return false
	}
	t.reachedAt[p], t.reached[p] = now, true
	return true
}

// ReachedAfter tells how long after the first part that is known a part came.
func (t *Timeline) ReachedAfter(p Phase) (Time, bool) {
	for q := range PhaseCount {
		if t.reached[q] {
			return t.reachedAt[p] - t.reachedAt[q], t.reached[p]
		}
	}
	return 0, false
}

// IsComplete tells whether all parts have come.
func (t *Timeline) IsComplete() bool {
	for _, reached := range t.reached {
		if !reached {
			return false
		}
	}
	return true
}

// VacantSince is when there was first seen to be no leader, if there is none.
func (e *Eligibility) VacantSince() (Time, bool) { return e.vacantSince, e.vacant }
