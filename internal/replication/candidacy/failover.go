package candidacy

// Phase is a step of a failover: from the end of one leader to a next one that manages the whole fleet. They come in
// this order, but for the last one, which may come before others.
type Phase uint8

// The phases.
const (
	LeaderLost      Phase = iota // this node saw that there is no leader
	Elected                      // the key is its own
	LogRead                      // it has read the log's end, under its term
	Leading                      // and the intake; all is applied, and it answers requests and decides
	FirstPlacement               // its first placement
	FirstCommand                 // its first command to a machine
	FirstExecution               // the first heartbeat that shows one executed
	AgentsAccounted              // the last agent with work has sent a heartbeat, or was probed in vain
	PhaseCount                   // how many there are
)

var phaseNames = [...]string{
	LeaderLost: "noticed", Elected: "elected", LogRead: "log_read", Leading: "leads", FirstPlacement: "placed",
	FirstCommand: "sent", FirstExecution: "executed", AgentsAccounted: "heard", PhaseCount: "?",
}

// String is the phase's name in the log and in the metrics.
func (p Phase) String() string { return phaseNames[min(p, PhaseCount)] }

// Timeline is when a failover reached its phases.
type Timeline struct {
	reachedAt [PhaseCount]Time
	reached   [PhaseCount]bool
}

// Mark notes that a phase is reached, and tells whether it is for the first time.
func (t *Timeline) Mark(p Phase, now Time) bool {
	if t.reached[p] {
		return false
	}
	t.reachedAt[p], t.reached[p] = now, true
	return true
}

// ReachedAfter tells how long after the first phase that is known a phase was reached.
func (t *Timeline) ReachedAfter(p Phase) (Time, bool) {
	for q := range PhaseCount {
		if t.reached[q] {
			return t.reachedAt[p] - t.reachedAt[q], t.reached[p]
		}
	}
	return 0, false
}

// IsComplete tells whether all phases are reached.
func (t *Timeline) IsComplete() bool {
	for _, reached := range t.reached {
		if !reached {
			return false
		}
	}
	return true
}
