// Package pending defines the reasons why a job is waiting, with their figures: stable codes for programs and sentences
// for people. The scheduler records the reason of a job that it does not place; package explanation finds all reasons
// that apply at an instant, and which of them are binding. Package pending does no I/O and does not depend on the
// model.
//
// The names and sentences of the codes are a public interface that users' dashboards and scripts rely on. They stay
// unchanged when the terminology of the code changes, so some differ from the names of the constants.
package pending

import (
	"fmt"
	"strings"
	"time"
)

// Code identifies a reason. Its name (Code.String) is stable across releases; its number is not.
type Code uint8

// Codes of the reasons why a job is waiting, or not running yet after placement.
const (
	None               Code = iota // no reason, or not evaluated yet
	NoLeader                       // no leader is elected, or this controller cannot reach it
	AwaitingHeartbeats             // not all machines with running work have reported to a new leader yet
	StoreUnavailable               // the key-value store does not accept writes
	BackingOff                     // retry delay after failures
	Faulty                         // the job fails on every machine; one task at a time is tried
	FailedBefore                   // machines on which the job failed are excluded
	TeamLimit                      // the team limit would be exceeded
	QueuedBehind                   // other jobs are served first
	NoCapacity                     // suitable machines lack free resources
	NoGangCapacity                 // not enough free resources for all members at once
	TooSmall                       // the machines the job allows are too small for a task
	ZoneSpread                     // at most half of the job's tasks may be in one zone
	SameZone                       // all of the job's tasks must be in one zone
	AttemptEnding                  // tasks of the previous attempt have not ended yet
	ImageBusy                      // waiting for a busy machine that has the image (see package scheduler)
	Preempting                     // low-priority work is being preempted on a machine that has the image
	Throttled                      // low-priority placements are limited while the leader is short of CPU time
	Headroom                       // resources kept free for services that must start immediately
	TooExpensive                   // machines too expensive for the job
	ReservedForGPUs                // machines reserved for GPU work
	Suspect                        // machines in a partitioned zone
	Quarantined                    // machines on which tasks of several jobs failed
	Slow                           // machines that run tasks much slower than others
	Draining                       // machines being drained, or about to be preempted by the cloud
	Releasing                      // machines being released
	Booting                        // machines still booting
	CloudUnavailable               // the cloud API does not respond
	CloudRefused                   // the cloud has no more suitable machines
	FetchingImage                  // placed: the image is being fetched
	AwaitingGang                   // placed: waiting for the other members of the gang
	numCodes
)

// texts holds the stable names and sentences of the codes.
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

// String returns the stable name of the code.
func (c Code) String() string {
	if int(c) < len(texts) {
		return texts[c].name
	}
	return fmt.Sprintf("code-%d", c)
}

// ParseCode returns the code with the given stable name, and whether there is one.
func ParseCode(name string) (Code, bool) {
	for c := range numCodes {
		if texts[c].name == name {
			return c, true
		}
	}
	return None, false
}

// Reason is the reason why a job is waiting: a code with its figures. Fields that do not apply are zero or empty. The
// zero value means that there is no reason.
type Reason struct {
	Code      Code
	Count     int           // number of jobs, machines, tasks or failures
	Unit      string        // unit of the next three fields: "CPUs", "GPUs", "s"
	Need      float64       // amount needed
	Used      float64       // amount in use
	Limit     float64       // total amount available
	First     string        // name of the first job or machine counted
	Remaining time.Duration // time until the reason ends; 0: unknown
}

// IsSet reports whether the code is other than None.
func (r Reason) IsSet() bool { return r.Code != None }

// Summary returns the sentence of the code without the figures, so that the text does not change while only the figures
// do.
func (r Reason) Summary() string {
	if int(r.Code) < len(texts) {
		return texts[r.Code].sentence
	}
	return r.Code.String()
}

// String returns the sentence of the code with the figures.
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
