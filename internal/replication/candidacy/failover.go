package candidacy

// Phase is a step of a failover, which begins with the loss of a leader and ends when the next leader manages all
// agents. Phases are reached in the order of their values, except that AgentsAccounted may be reached before others.
type Phase uint8

// The phases of a failover.
const (
	LeaderLost      Phase = iota // this node noticed that there is no leader
	Elected                      // this node acquired the leader key
	LogRead                      // the new leader has read the log to its end, under its own term
	Leading                      // the leader has read the intake, applied all entries, serves requests and schedules
	FirstPlacement               // the leader placed its first task
	FirstCommand                 // the leader sent its first command to a machine
	FirstExecution               // an agent's heartbeat first reported a command as executed
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

// Mark records when a phase was first reached. If the phase was reached before, Mark changes nothing and returns false.
func (t *Timeline) Mark(p Phase, now Time) bool {
	if t.reached[p] {
		return false
	}
	t.reachedAt[p], t.reached[p] = now, true
	return true
}

// ReachedAfter returns the time from the first recorded phase to the given one, and whether that one was reached.
func (t *Timeline) ReachedAfter(p Phase) (Time, bool) {
	for q := range PhaseCount {
		if t.reached[q] {
			return t.reachedAt[p] - t.reachedAt[q], t.reached[p]
		}
	}
	return 0, false
}

// IsComplete reports whether all phases were reached.
func (t *Timeline) IsComplete() bool {
	for _, reached := range t.reached {
		if !reached {
			return false
		}
	}
	return true
}
