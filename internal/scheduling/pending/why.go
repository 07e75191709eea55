// Package why names the reasons for which a job waits, with their figures: stable codes for
// programs, sentences for people. The scheduler reports them while it decides; package explain
// finds all that hold at an instant, and which of them bind. It is pure and knows no model.
package pending

import (
	"fmt"
	"strings"
	"time"
)

// Code is a reason. Its name (Code.String) does not change between releases; numbers may.
type Code uint8

// The reasons.
const (
	None       Code = iota // nothing is in the way, or nobody has looked yet
	NoLeader               // no controller leads, or this one does not reach the one that does
	Listening              // a new leader has not yet heard of the machines with work
	StateAway              // the state service does not take what would be decided
	Paused                 // after failures
	Faulty                 // it fails on every machine: one task at a time is tried
	Failed                 // machines on which it failed are passed over
	Team                   // its team's limit
	Queue                  // others go first
	Full                   // machines that suit it have no room
	Gang                   // no room for all members at once
	Small                  // machines that it allows are too small for a task
	Spread                 // at most half of its tasks may be in one zone
	SameZone               // all tasks must be in one zone
	Ending                 // tasks of its last attempt are not gone
	Image                  // DAD: a busy machine has its image
	Making                 // low work was told to leave where its image is
	Paced                  // low work waits while the leader is short of processor time
	Headroom               // kept free for services that must start at once
	Dear                   // machines that it is not worth
	ForGPUs                // machines kept for work that uses their GPUs
	Suspect                // machines in a zone that is cut off
	Distrusted             // machines on which tasks of several jobs failed
	Slow                   // machines that run tasks much slower than others
	Draining               // machines that get nothing new, or are to be taken back
	Returning              // machines that are being returned
	Booting                // machines that are not up yet
	CloudAway              // the cloud does not answer
	Refused                // the cloud has no more of what suits it
	Fetching               // placed: its image is being fetched
	Gathering              // placed: the gang is not complete
	codes
)

var texts = [codes]struct{ name, says string }{
	None:       {"none", "nothing is in the way"},
	NoLeader:   {"no-leader", "no controller leads at the moment"},
	Listening:  {"listening", "a new leader waits until it has heard of the machines"},
	StateAway:  {"state-away", "the state service does not answer"},
	Paused:     {"paused", "paused after failures"},
	Faulty:     {"faulty", "fails on every machine, one task at a time is tried"},
	Failed:     {"failed-there", "machines on which it failed are passed over"},
	Team:       {"team-limit", "its team's limit"},
	Queue:      {"queue", "other jobs go first"},
	Full:       {"no-room", "no room on machines that suit it"},
	Gang:       {"no-gang-room", "no room for all members at once"},
	Small:      {"too-small", "machines that it allows are too small"},
	Spread:     {"spread", "at most half of its tasks may be in one zone"},
	SameZone:   {"same-zone", "all its tasks must be in one zone"},
	Ending:     {"ending", "its last attempt is ending"},
	Image:      {"image-busy", "waits for a busy machine with its image"},
	Making:     {"room-made", "room is being made where its image is"},
	Paced:      {"paced", "low work is paced"},
	Headroom:   {"headroom", "room kept for services that start at once"},
	Dear:       {"too-dear", "machines that cost too much for it"},
	ForGPUs:    {"kept-for-gpus", "machines kept for work that uses their GPUs"},
	Suspect:    {"suspect", "machines in a zone that is cut off"},
	Distrusted: {"distrusted", "machines on which tasks of several jobs failed"},
	Slow:       {"slow", "machines found to be slow"},
	Draining:   {"draining", "machines that get nothing new"},
	Returning:  {"returning", "machines that are being returned"},
	Booting:    {"booting", "machines that are not up yet"},
	CloudAway:  {"cloud-away", "the cloud does not answer"},
	Refused:    {"cloud-refuses", "the cloud has no more machines that suit it"},
	Fetching:   {"fetching", "its image is being fetched"},
	Gathering:  {"gathering", "its gang is not complete"},
}

// String is the code's stable name.
func (c Code) String() string {
	if int(c) < len(texts) {
		return texts[c].name
	}
	return fmt.Sprintf("code-%d", c)
}

// Find finds a code by its name.
func Find(name string) (Code, bool) {
	for c := range codes {
		if texts[c].name == name {
			return c, true
		}
	}
	return None, false
}

// Reason is a code with its figures; those that do not apply are 0 or empty.
type Reason struct {
	Code  Code
	N     int           // how many: jobs, machines, tasks or failures
	Of    string        // what the next three are: "CPUs", "GPUs", "s"
	Need  float64       // what it takes
	Used  float64       // what is taken
	Limit float64       // of how much
	Who   string        // the first of them: a job's or a machine's name
	In    time.Duration // in how long it ends, where that can be known; 0: unknown
}

// Is tells whether there is a reason at all.
func (r Reason) Is() bool { return r.Code != None }

// Says is the reason in a sentence, without its figures: it does not change while they do.
func (r Reason) Says() string {
	if int(r.Code) < len(texts) {
		return texts[r.Code].says
	}
	return r.Code.String()
}

// String is the reason in a sentence with its figures.
func (r Reason) String() string {
	var b strings.Builder
	b.WriteString(r.Says())
	if r.N > 0 {
		fmt.Fprintf(&b, ": %d", r.N)
	}
	if r.Of != "" && r.Limit > 0 {
		fmt.Fprintf(&b, ", %.4g %s needed, %.4g of %.4g in use", r.Need, r.Of, r.Used, r.Limit)
	} else if r.Of != "" {
		fmt.Fprintf(&b, ", %.4g %s needed", r.Need, r.Of)
	}
	if r.Who != "" {
		fmt.Fprintf(&b, ", first %s", r.Who)
	}
	if r.In > 0 {
		fmt.Fprintf(&b, ", for %v", r.In.Round(100*time.Millisecond))
	}
	return b.String()
}
