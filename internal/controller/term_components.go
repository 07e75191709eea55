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

// leaderComponents are the components that only a leader needs, as leadership sees them (termComponents).
type leaderComponents struct {
	rounds       *schedulingRounds
	provisioning *provisioning
	heartbeats   *heartbeats
	assignments  *relayAssignments
	probes       *probes
	intake       *intake
}

// newTerm sizes the term's probes by this controller's limits.
func (lc *leaderComponents) newTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader) *leaderTerm {
	return newLeaderTerm(ctx, cancel, leader, lc.probes.maxZoneProbes)
}

// prepare makes the scheduler, the autoscaler and the provisioner.
func (lc *leaderComponents) prepare(term *leaderTerm) {
	lc.rounds.prepareTerm()
	lc.provisioning.prepareTerm(term)
}

// start counts heartbeats, assigns relays and probes all machines with work.
func (lc *leaderComponents) start(term *leaderTerm) {
	lc.heartbeats.startTerm(term)
	lc.rounds.startTerm(term)
	lc.assignments.startTerm(term)
	lc.probes.probeAll()
}

// ingest passes the jobs on to the intake.
func (lc *leaderComponents) ingest(term *leaderTerm, jobs []oplog.Intake) {
	lc.intake.ingest(term, jobs)
}

// watchIntake runs the intake's watch.
func (lc *leaderComponents) watchIntake(term *leaderTerm, revision uint64) {
	lc.intake.watch(term, revision)
}

// prepareTerm makes a scheduler that remembers nothing of an earlier term.
func (sr *schedulingRounds) prepareTerm() {
	sr.scheduler = scheduler.New(scheduler.Params{
		Beta:       sr.options.Beta,
		Threshold:  sr.options.Threshold,
		WaitRounds: sr.options.WaitRounds,
		Objectives: sr.settings.Params.Objectives,
	})
}

// startTerm begins with as many low-priority placements a round as a controller that keeps up makes.
func (sr *schedulingRounds) startTerm(term *leaderTerm) {
	term.rounds.lowPriorityLimit = maxLowPerRound
}

// prepareTerm makes an autoscaler, and a provisioner that acts while the term is trusted.
func (pv *provisioning) prepareTerm(term *leaderTerm) {
	pv.autoscaler = autoscaler.New(pv.settings.Params.Objectives)
	trusted := func() bool { return pv.now() < model.Time(term.trustedUntilOffset.Load()) }
	onResult := func(result provisioner.Result) {
		if pv.term.ownTerm == term {
			pv.onProvisionerResult(term, &result)
		}
	}
	term.provisioning.provisioner = pv.newProvisioner(term.ctx, trusted, onResult)
}

// startTerm counts the time without heartbeats from now on.
func (hb *heartbeats) startTerm(term *leaderTerm) { term.heartbeats.lastHeartbeat = hb.now() }

// startTerm assigns all agents to the leader, until other controllers have offered themselves as relays.
func (ra *relayAssignments) startTerm(term *leaderTerm) {
	controllers := len(ra.settings.Members) + 1
	term.assignments.table = relay.NewTable(controllers)
	term.assignments.acceptingNodes = make([]bool, controllers)
	term.assignments.lastRelayOffers = make([]model.Time, controllers)
	ra.maintainAssignments(term)
}

const (
	maxLowPerRound = 400                   // low-priority placements in a round, while the controller keeps up
	minLowPerRound = 4                     // while it does not
	paceThreshold  = 25 * time.Millisecond // of the maintenance's delay, beyond which it does not keep up
)

// nextLowLimit returns how many tasks of low priority may be placed in a round, given how late the maintenance came.
// A start costs a placement, its part of the log, a command and two or three heartbeats: without a limit one huge
// array of tiny tasks takes the whole processor of a small controller, and users wait.
func nextLowLimit(limit int, delay time.Duration) int {
	if delay > paceThreshold {
		return max(minLowPerRound, limit/2)
	}
	return min(maxLowPerRound, limit+limit/8+1)
}
