package candidacy

// Part is a step on the way from the end of one leader to a next one that has the whole fleet in hand. They come in
// this order, but for the last one, which may come before others.
type Part uint8

// The parts.
const (
	Noticed  Part = iota // this node saw that there is no leader
	Elected              // the key is its own
	LogRead              // the log's end, under its term
	Leads                // the intake too; all is applied, and it answers and decides
	Placed               // its first placement
	Sent                 // its first command to a machine
	Executed             // the first machine that said it carried one out
	Heard                // the last machine with work was heard of, or asked in vain
	Parts                // how many there are
)

// String is the part's name in the log and on the page of counters.
func (p Part) String() string {
	return [...]string{"noticed", "elected", "log_read", "leads", "placed", "sent", "executed", "heard", "?"}[min(p, Parts)]
}

// Timeline is when the parts of a takeover came.
type Timeline struct {
	at  [Parts]Time
	has [Parts]bool
}

// Mark notes that a part has come, and tells whether it is for the first time.
func (t *Timeline) Mark(p Part, now Time) bool {
	if t.has[p] {
		return false
	}
	t.at[p], t.has[p] = now, true
	return true
}

// After tells how long after the first part that is known a part came.
func (t *Timeline) After(p Part) (Time, bool) {
	for q := range Parts {
		if t.has[q] {
			return t.at[p] - t.at[q], t.has[p]
		}
	}
	return 0, false
}

// Whole tells whether all parts have come.
func (t *Timeline) Whole() bool {
	for _, has := range t.has {
		if !has {
			return false
		}
	}
	return true
}

// Since is when there was first seen to be no leader, if there is none.
func (w *Watch) Since() (Time, bool) { return w.since, w.vacant }
