package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/scheduling/provisioner"
)

// termState says who leads: this controller in its own term, or the leader that it knows of. The loop owns it.
//
// Only leadership begins and ends an own term, and replica drops one with the copy of the log that it was served on;
// leader is written by these two as well, from what the log's watch and the election show.
type termState struct {
	*environment
	ownTerm *leaderTerm   // nil: follower
	leader  *oplog.Leader // nil: none is known
}

// leaderTerm is one term in which this controller leads, with the state that each component has for that term alone
// and that only this component writes. A component that works for a term holds on to it, and finds out that the term
// is over by comparing it with termState.ownTerm.
//
// The loop owns it, but for trustedUntilOffset, and for the channels and ctx, which any goroutine may use.
type leaderTerm struct {
	leader             oplog.Leader
	trustedUntil       time.Time    // this controller surely leads until then; see termState.extendTrust
	trustedUntilOffset atomic.Int64 // the same since the start, for goroutines other than the loop's
	ctx                context.Context
	cancel             context.CancelFunc // ends ctx
	handingOver        bool               // leadership is resigned: trust is extended no more
	errs               chan error         // what ends the term; the first counts, see maxTermErrors

	commits      commitPipelineTerm
	leadership   leadershipTerm
	leases       leaseRenewalTerm
	assignments  relayAssignmentsTerm
	probes       probesTerm
	dispatch     commandDispatcherTerm
	rounds       schedulingRoundsTerm
	provisioning provisioningTerm
	heartbeats   heartbeatsTerm
	zones        zoneLivenessTerm
	health       machineHealthTerm
	intake       intakeTerm
	telemetry    telemetryTerm
}

// maxTermErrors is how many errors may end a term at the same time: one each of the lease's renewal, the log's writer,
// the compactor, and the check of the leader's own isolation. With room for all, none of them blocks.
const maxTermErrors = 4

// newLeaderTerm makes the state of a term that was just won; it ends with ctx, which cancel ends.
func newLeaderTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader, maxZoneProbes int) *leaderTerm {
	return &leaderTerm{
		leader: leader, ctx: ctx, cancel: cancel, errs: make(chan error, maxTermErrors),
		commits:      commitPipelineTerm{batches: make(chan oplog.Batch, 1), snapshots: make(chan snapshot, 1)},
		provisioning: provisioningTerm{orders: map[string]provisioner.ScaleOut{}},
		dispatch: commandDispatcherTerm{
			dirtyMachines:    map[*model.Machine]bool{},
			dirtyAfterCommit: map[*model.Machine]bool{},
		},
		zones:  zoneLivenessTerm{nodes: map[string]*partitionedNode{}},
		intake: intakeTerm{dropping: map[uint64]bool{}},
		probes: probesTerm{
			maxZoneProbes: maxZoneProbes,
			unresponsive:  map[*model.Machine]bool{},
			zones:         map[int32]*zoneProbeCounts{},
		},
		heartbeats: heartbeatsTerm{unknownMachines: map[string]bool{}},
	}
}

// machineTokenBits is how many low bits of a fencing token count a machine's own; the term is above them, so that
// every token of a later term is greater.
const machineTokenBits = 24

// isActive tells whether this controller leads and may act on it: its lease surely lasts.
func (ts *termState) isActive() bool {
	return ts.ownTerm != nil && time.Now().Before(ts.ownTerm.trustedUntil)
}

// extendTrust sets until when this controller surely leads in a term.
func (ts *termState) extendTrust(term *leaderTerm, until time.Time) {
	term.trustedUntil = until
	term.trustedUntilOffset.Store(int64(until.Sub(ts.startTime)))
}
