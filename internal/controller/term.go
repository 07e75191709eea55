package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/scheduling/provisioner"
)

// termState says who leads: this controller's own term and until when it is trusted, or the leader that it knows of.
type termState struct {
	*environment
	ownTerm *leaderTerm // nil: follower
	leader  *oplog.Leader
}

// leaderTerm is one term in which this controller leads, and what each component keeps for that term alone: a component
// that works for a term holds on to it, and finds out by comparing it with the present one that the term is over.
type leaderTerm struct {
	leader             oplog.Leader
	trustedUntil       time.Time    // the lead is trusted until then
	trustedUntilOffset atomic.Int64 // the same, for others than the loop
	cancel             context.CancelFunc
	ctx                context.Context
	handingOver        bool // the lead is being handed over
	errs               chan error

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

// newLeaderTerm makes the state of a term that was just won; it ends with ctx, which cancel ends.
func newLeaderTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader, maxZoneProbes int) *leaderTerm {
	return &leaderTerm{
		leader: leader, ctx: ctx, cancel: cancel,
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

// machineTokenBits is how many low bits of a token are a machine's own.
const machineTokenBits = 24

// isActive tells whether this node leads and may say so.
func (ts *termState) isActive() bool {
	return ts.ownTerm != nil && time.Now().Before(ts.ownTerm.trustedUntil)
}

// extendTrust sets until when a lead is trusted.
func (ts *termState) extendTrust(term *leaderTerm, until time.Time) {
	term.trustedUntil = until
	term.trustedUntilOffset.Store(int64(until.Sub(ts.startTime)))
}
