package controller

import (
	"context"
	"time"

	"fieldhill/internal/agents/relay"
	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/scheduling/autoscaler"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/internal/scheduling/scheduler"
)

// leaderComponents holds the components that are active on the leader only. It implements termComponents.
type leaderComponents struct {
	rounds       *schedulingRounds
	provisioning *provisioning
	heartbeats   *heartbeats
	assignments  *relayAssignments
	probes       *probes
	intake       *intake
}

// newTerm implements termComponents.
func (lc *leaderComponents) newTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader) *leaderTerm {
	return newLeaderTerm(ctx, cancel, leader, lc.probes.maxZoneProbes)
}

// prepare implements termComponents: it creates the scheduler, the autoscaler and the provisioner.
func (lc *leaderComponents) prepare(term *leaderTerm) {
	lc.rounds.prepareTerm()
	lc.provisioning.prepareTerm(term)
}

// start implements termComponents: it begins to monitor heartbeats, assigns agents to relays, and probes all machines
// with tasks.
func (lc *leaderComponents) start(term *leaderTerm) {
	lc.heartbeats.startTerm(term)
	lc.rounds.startTerm(term)
	lc.assignments.startTerm(term)
	lc.probes.probeAll()
}

// ingest implements termComponents.
func (lc *leaderComponents) ingest(term *leaderTerm, jobs []oplog.Intake) {
	lc.intake.ingest(term, jobs)
}

// watchIntake implements termComponents.
func (lc *leaderComponents) watchIntake(term *leaderTerm, revision uint64) {
	lc.intake.watch(term, revision)
}

// prepareTerm creates a scheduler without state of an earlier term.
func (sr *schedulingRounds) prepareTerm() {
	sr.scheduler = scheduler.New(scheduler.Params{
		Beta:       sr.options.Beta,
		Threshold:  sr.options.Threshold,
		WaitRounds: sr.options.WaitRounds,
		Objectives: sr.settings.Params.Objectives,
	})
}

// startTerm sets the limit on low-priority placements to its maximum.
func (sr *schedulingRounds) startTerm(term *leaderTerm) {
	term.rounds.lowPriorityLimit = maxLowPriorityPerRound
}

// prepareTerm creates an autoscaler, and a provisioner that acts only while the term is trusted.
func (pv *provisioning) prepareTerm(term *leaderTerm) {
	pv.autoscaler = autoscaler.New(pv.settings.Params.Objectives)
	trusted := func() bool { return pv.now() < model.Time(term.trustedUntilOffset.Load()) }
	onResult := func(result provisioner.Result) {
		if pv.term.ownTerm == term {
			pv.onOwnProvisionerResult(term, &result)
		}
	}
	term.provisioning.provisioner = pv.newProvisioner(term.ctx, trusted, onResult)
}

// startTerm begins to measure the time without heartbeats.
func (hb *heartbeats) startTerm(term *leaderTerm) { term.heartbeats.lastHeartbeat = hb.now() }

// startTerm assigns all agents to the leader until other controllers offer to act as relays.
func (ra *relayAssignments) startTerm(term *leaderTerm) {
	controllers := len(ra.settings.Members) + 1
	term.assignments.table = relay.NewTable(controllers)
	term.assignments.acceptingNodes = make([]bool, controllers)
	term.assignments.lastRelayOffers = make([]model.Time, controllers)
	ra.maintainAssignments(term)
}

const (
	maxLowPriorityPerRound = 400 // highest limit on low-priority placements per round
	minLowPriorityPerRound = 4   // lowest limit on low-priority placements per round
	// slowLoopThreshold is the delay of a maintenance run above which the event loop is considered overloaded and the
	// limit on low-priority placements is halved.
	slowLoopThreshold = 25 * time.Millisecond
)

// nextLowPriorityLimit returns how many low-priority tasks may be placed per round, given the previous limit and the
// delay of the last maintenance run. Starting a task costs a placement, a log entry, a command and two or three
// heartbeats: without a limit, a huge array of tiny tasks takes all CPU time of a small controller, and users have to
// wait.
func nextLowPriorityLimit(limit int, delay time.Duration) int {
	if delay > slowLoopThreshold {
		return max(minLowPriorityPerRound, limit/2)
	}
	return min(maxLowPriorityPerRound, limit+limit/8+1)
}
