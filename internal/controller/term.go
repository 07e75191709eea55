package controller

import (
	"context"
	"sync/atomic"
	"time"

	"fieldhill/internal/model"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/scheduling/provisioner"
)

// termState holds which controller leads: this one, in a term of its own, or another one. The event loop owns it.
//
// Only leadership begins and ends a term of this controller, and replica.reset drops the term together with the model
// that belongs to it. Both also write leader, as read from the log or won in an election.
type termState struct {
	*environment
	ownTerm *leaderTerm   // nil on a follower
	leader  *oplog.Leader // nil if none is known
}

// leaderTerm is one term in which this controller leads. It holds the state that each component has for that term; only
// that component writes it, unless its comment says otherwise. Work that is done for a term keeps a pointer to the
// term, and detects its end by comparing the pointer with termState.ownTerm.
//
// The event loop owns it, except for trustedUntilOffset, the channels and ctx, which are safe for concurrent use.
type leaderTerm struct {
	leader             oplog.Leader
	trustedUntil       time.Time    // no other controller can be elected before this time; see termState.extendTrust
	trustedUntilOffset atomic.Int64 // trustedUntil since startTime, for goroutines other than the loop
	ctx                context.Context
	cancel             context.CancelFunc // ends ctx
	resigned           bool               // leadership is resigned: trustedUntil is not extended any more
	errs               chan error         // errors that end the term; only the first is used, see maxTermErrors

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

// maxTermErrors is the capacity of leaderTerm.errs. It lets each of the senders report one error without blocking: the
// lease renewal, the log writer, the compactor, and a resignation.
const maxTermErrors = 4

// newLeaderTerm creates the state of a term that was just won. The term ends with ctx; cancel ends ctx.
func newLeaderTerm(ctx context.Context, cancel context.CancelFunc, leader oplog.Leader, maxZoneProbes int) *leaderTerm {
	return &leaderTerm{
		leader: leader, ctx: ctx, cancel: cancel, errs: make(chan error, maxTermErrors),
		commits: commitPipelineTerm{
			batches:   make(chan oplog.Batch, 1),
			snapshots: make(chan snapshot, 1),
			newJobs:   map[uint64][]uint64{},
		},
		provisioning: provisioningTerm{scaleOuts: map[string]provisioner.ScaleOut{}},
		dispatch: commandDispatcherTerm{
			dirtyMachines:    map[*model.Machine]bool{},
			dirtyAfterCommit: map[*model.Machine]bool{},
		},
		zones:  zoneLivenessTerm{nodes: map[string]*partitionedNode{}},
		intake: intakeTerm{dropPending: map[uint64]bool{}},
		probes: probesTerm{
			maxZoneProbes: maxZoneProbes,
			unresponsive:  map[*model.Machine]bool{},
			zones:         map[int32]*zoneProbeCounts{},
		},
		heartbeats: heartbeatsTerm{unknownMachines: map[string]bool{}},
	}
}

// machineTokenBits is the number of low bits of a fencing token that hold a per-machine counter. The bits above hold
// the leader's term, so every token of a later term is greater.
const machineTokenBits = 24

// maxTokenOffset is the machine counter at which a term ends, long before a token could reach those of the next term.
const maxTokenOffset = 1 << (machineTokenBits - 1)

// isActive reports whether this controller leads and may act as the leader, because the leader's lease that it holds is
// certain to be valid.
func (ts *termState) isActive() bool {
	return ts.ownTerm != nil && time.Now().Before(ts.ownTerm.trustedUntil)
}

// extendTrust sets the time until which this controller is certain to lead in the given term.
func (ts *termState) extendTrust(term *leaderTerm, until time.Time) {
	term.trustedUntil = until
	term.trustedUntilOffset.Store(int64(until.Sub(ts.startTime)))
}

// resign ends a term with an error. The term is no longer trusted from then on, so this controller does not act as the
// leader any more.
func (ts *termState) resign(term *leaderTerm, err error) {
	term.resigned = true
	ts.extendTrust(term, time.Time{})
	select {
	case term.errs <- err:
	default:
	}
}
