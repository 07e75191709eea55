package candidacy

// Phase is a step of a failover, from the loss of a leader until the next one manages the whole fleet. Phases are
// reached in the order of their values, except that the last one may be reached before others.
type Phase uint8

// The phases of a failover.
const (
	LeaderLost      Phase = iota // this node noticed that there is no leader
	Elected                      // it acquired the leader key
	LogRead                      // it has read the log to its end, under its own term
	Leading                      // it has read the intake, applied everything, and serves requests and schedules
	FirstPlacement               // it made its first placement
	FirstCommand                 // it sent its first command to a machine
	FirstExecution               // a heartbeat first reported a command as executed
	AgentsAccounted              // every agent with work has sent a heartbeat or was probed without a response
	PhaseCount                   // number of phases
)

var phaseNames = [...]string{
	LeaderLost: "noticed", Elected: "elected", LogRead: "log_read", Leading: "leads", FirstPlacement: "placed",
	FirstCommand: "sent", FirstExecution: "executed", AgentsAccounted: "heard", PhaseCount: "?",
}

// String returns the phase's name in logs and metrics.
func (p Phase) String() string { return phaseNames[min(p, PhaseCount)] }

// Timeline records when a failover reached its phases.
type Timeline struct {
	reachedAt [PhaseCount]Time
	reached   [PhaseCount]bool
}

// Mark records that a phase is reached, and tells whether it is for the first time.
func (t *Timeline) Mark(p Phase, now Time) bool {
	if t.reached[p] {
		return false
	}
	t.reachedAt[p], t.reached[p] = now, true
	return true
}

// ReachedAfter returns how long after the first recorded phase the given one was reached, if it was.
func (t *Timeline) ReachedAfter(p Phase) (Time, bool) {
	for q := range PhaseCount {
		if t.reached[q] {
			return t.reachedAt[p] - t.reachedAt[q], t.reached[p]
		}
	}
	return 0, false
}

// IsComplete tells whether all phases were reached.
func (t *Timeline) IsComplete() bool {
	for _, reached := range t.reached {
		if !reached {
			return false
		}
	}
	return true
}
