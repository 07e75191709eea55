// Package pending names the reasons for which a job waits, with their figures: stable codes for
// programs, sentences for people. The scheduler reports them while it decides; package explanation
// finds all that hold at an instant, and which of them bind. It is pure and knows no model.
//
// The codes' names and sentences are an interface of the users' pages and scripts, so they stay in the words of
// before; the constants have the terms of the code.
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
	None               Code = iota // nothing is in the way, or nobody has looked yet
	NoLeader                       // no controller leads, or this one does not reach the one that does
	AwaitingHeartbeats             // the machines with work have not all reported to a new leader yet
	StoreUnavailable               // the key-value store does not take what would be decided
	BackingOff                     // after failures
	Faulty                         // it fails on every machine: one task at a time is tried
	FailedBefore                   // machines on which it failed are passed over
	TeamLimit                      // its team's limit
	QueuedBehind                   // others go first
	NoCapacity                     // machines that suit it have no room
	NoGangCapacity                 // no room for all members at once
	TooSmall                       // machines that it allows are too small for a task
	ZoneSpread                     // at most half of its tasks may be in one zone
	SameZone                       // all tasks must be in one zone
	AttemptEnding                  // tasks of its last attempt are not gone
	ImageBusy                      // DAD: a busy machine has its image
	Preempting                     // low-priority work is being preempted where its image is
	Throttled                      // low-priority work waits while the leader is short of processor time
	Headroom                       // kept free for services that must start at once
	TooExpensive                   // machines that it is not worth
	ReservedForGPUs                // machines kept for work that uses their GPUs
	Suspect                        // machines in a partitioned zone
	Quarantined                    // machines on which tasks of several jobs failed
	Slow                           // machines that run tasks much slower than others
	Draining                       // machines that get nothing new, or are to be preempted
	Releasing                      // machines that are being released
	Booting                        // machines that are not up yet
	CloudUnavailable               // the cloud does not answer
	CloudRefused                   // the cloud has no more of what suits it
	FetchingImage                  // placed: its image is being fetched
	AwaitingGang                   // placed: the gang is not complete
	numCodes
)

// texts are the codes' names and sentences.
var texts = [numCodes]struct{ name, sentence string }{
	None:               {"none", "nothing is in the way"},
	NoLeader:           {"no-leader", "no controller leads at the moment"},
	AwaitingHeartbeats: {"listening", "a new leader waits until it has heard of the machines"},
	StoreUnavailable:   {"state-away", "the state service does not answer"},
	BackingOff:         {"paused", "paused after failures"},
	Faulty:             {"faulty", "fails on every machine, one task at a time is tried"},
	FailedBefore:       {"failed-there", "machines on which it failed are passed over"},
	TeamLimit:          {"team-limit", "its team's limit"},
	QueuedBehind:       {"queue", "other jobs go first"},
	NoCapacity:         {"no-room", "no room on machines that suit it"},
	NoGangCapacity:     {"no-gang-room", "no room for all members at once"},
	TooSmall:           {"too-small", "machines that it allows are too small"},
	ZoneSpread:         {"spread", "at most half of its tasks may be in one zone"},
	SameZone:           {"same-zone", "all its tasks must be in one zone"},
	AttemptEnding:      {"ending", "its last attempt is ending"},
	ImageBusy:          {"image-busy", "waits for a busy machine with its image"},
	Preempting:         {"room-made", "room is being made where its image is"},
	Throttled:          {"paced", "low work is paced"},
	Headroom:           {"headroom", "room kept for services that start at once"},
	TooExpensive:       {"too-dear", "machines that cost too much for it"},
	ReservedForGPUs:    {"kept-for-gpus", "machines kept for work that uses their GPUs"},
	Suspect:            {"suspect", "machines in a zone that is cut off"},
	Quarantined:        {"distrusted", "machines on which tasks of several jobs failed"},
	Slow:               {"slow", "machines found to be slow"},
	Draining:           {"draining", "machines that get nothing new"},
	Releasing:          {"returning", "machines that are being returned"},
	Booting:            {"booting", "machines that are not up yet"},
	CloudUnavailable:   {"cloud-away", "the cloud does not answer"},
	CloudRefused:       {"cloud-refuses", "the cloud has no more machines that suit it"},
	FetchingImage:      {"fetching", "its image is being fetched"},
	AwaitingGang:       {"gathering", "its gang is not complete"},
}

// String is the code's stable name.
func (c Code) String() string {
	if int(c) < len(texts) {
		return texts[c].name
	}
	return fmt.Sprintf("code-%d", c)
}

// ParseCode finds a code by its name.
func ParseCode(name string) (Code, bool) {
	for c := range numCodes {
		if texts[c].name == name {
			return c, true
		}
	}
	return None, false
}

// Reason is a code with its figures; those that do not apply are 0 or empty. The zero value says that nothing is in the
// way.
type Reason struct {
	Code      Code
	Count     int           // how many: jobs, machines, tasks or failures
	Unit      string        // what the next three are: "CPUs", "GPUs", "s"
	Need      float64       // what it takes
	Used      float64       // what is taken
	Limit     float64       // of how much
	First     string        // the first of them: a job's or a machine's name
	Remaining time.Duration // in how long it ends, where that can be known; 0: unknown
}

// IsSet tells whether there is a reason at all.
func (r Reason) IsSet() bool { return r.Code != None }

// Summary is the reason in a sentence, without its figures: it does not change while they do.
func (r Reason) Summary() string {
	if int(r.Code) < len(texts) {
		return texts[r.Code].sentence
	}
	return r.Code.String()
}

// String is the reason in a sentence with its figures.
func (r Reason) String() string {
	var b strings.Builder
	b.WriteString(r.Summary())
	if r.Count > 0 {
		fmt.Fprintf(&b, ": %d", r.Count)
	}
	if r.Unit != "" && r.Limit > 0 {
		fmt.Fprintf(&b, ", %.4g %s needed, %.4g of %.4g in use", r.Need, r.Unit, r.Used, r.Limit)
	} else if r.Unit != "" {
		fmt.Fprintf(&b, ", %.4g %s needed", r.Need, r.Unit)
	}
	if r.First != "" {
		fmt.Fprintf(&b, ", first %s", r.First)
	}
	if r.Remaining > 0 {
		fmt.Fprintf(&b, ", for %v", r.Remaining.Round(100*time.Millisecond))
	}
	return b.String()
}
