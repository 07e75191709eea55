package controller

import (
	"context"
	"slices"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

const (
	// maxListedBytes limits the size of the rows in one part of a listing. It leaves room in the message for the role's
	// term and the other fields of the result.
	maxListedBytes = rpc.MaxBody - 1<<10
	// resultTimeout limits the time for delivering all parts of a result to the leader; after that the next listing is
	// due.
	resultTimeout = 3 * time.Second
	// partTimeout limits the time for delivering one part.
	partTimeout = time.Second
)

// newRoleProvisioner creates the provisioner for one term of the provisioning role on this controller.
func (rs *singletonRoles) newRoleProvisioner(
	ctx context.Context, role *singleton.Role, current *holding,
) *provisioner.Provisioner {
	term := current.term
	trusted := func() bool { return int64(rs.now()) < current.trustedUntil.Load() }
	return rs.provisioning.newProvisioner(ctx, trusted, func(outcome provisioner.Result) {
		if role.Term() == term {
			rs.publishResult(ctx, role, term, &outcome)
		}
	})
}

// publishResult processes the result of a cloud request if this controller leads, and otherwise sends it to the leader.
// If the delivery fails, the provisioner reports the result again for as long as the request is open in the log.
func (rs *singletonRoles) publishResult(
	ctx context.Context, role *singleton.Role, term uint64, outcome *provisioner.Result,
) {
	if outcome.Kind != provisioner.CloudUnavailable {
		//nolint:contextcheck // the progress record must be written even if the role, which owns this context, is lost
		rs.onRoleProgress(role)
	}
	parts := []*provisioner.Result{outcome}
	if outcome.Kind == provisioner.MachinesListed {
		unlisted := provisioner.SplitUnlisted(rs.provisioning.unlistedMachines(outcome.Listing, outcome.Elapsed))
		listed := provisioner.SplitListing(slices.DeleteFunc(outcome.Listing, rs.isInLog), maxListedBytes)
		parts = slices.Concat(listed, unlisted)
	}
	if rs.term.ownTerm != nil {
		for _, part := range parts {
			if rs.term.isActive() {
				rs.provisioning.onProvisionerResult(rs.term.ownTerm, part)
			}
		}
		return
	}
	name := role.Name.String()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resultTimeout)
		defer cancel()
		for _, part := range parts { // parts that miss the timeout are in the next listing as well
			request := &rpc.Request{Op: rpc.OpRoleResult, ID: name, Body: part.Append(codec.Uint(nil, term))}
			answer, ok := rs.forward.toLeader(ctx, request, partTimeout)
			if !ok || !result.IsDone(answer) {
				rs.log.Debug("provisioner result not delivered", "kind", part.Kind)
				return
			}
		}
	}()
}

// isInLog reports whether the log already records everything that onMachineListed takes from a row of the cloud's
// machine list: that the machine exists, its address and, if it has failed, its release. It is also true if the log
// records that the machine was released.
func (rs *singletonRoles) isInLog(row wire.ListedMachine) bool {
	if rs.replica.model.Tombstones[row.Name] {
		return true
	}
	machine := rs.replica.model.MachinesByName[row.Name]
	return machine != nil && machine.Info.Addr != "" && (row.State != wire.MachineFailed || machine.Releasing)
}

// onRoleReport processes, on the leader, a result reported by the holder of the provisioning role. Reports of former
// holders are rejected.
func (rs *singletonRoles) onRoleReport(ctx context.Context, request *rpc.Request) result.Result {
	reader := &codec.Reader{Data: request.Body}
	term := reader.Uint()
	if reader.Err != nil {
		return result.Invalid{Reason: "malformed"}
	}
	outcome, err := provisioner.ReadResult(reader.Data)
	if err != nil || request.ID != singleton.Provisioning.String() {
		return result.Invalid{Reason: "malformed"}
	}
	return rs.loop.answer(ctx, func(send func(result.Result)) {
		switch {
		case rs.state == nil:
			send(result.Unsupported{Reason: "duties are not held one by one here"})
		case !rs.term.isActive():
			send(result.Unavailable{Reason: "no leader here", RetryAfter: time.Second})
		case !rs.state.roles[singleton.Provisioning].IsCurrentTerm(term):
			send(result.Superseded{Reason: "another holds the duty"})
		default:
			rs.provisioning.onProvisionerResult(rs.term.ownTerm, outcome)
			send(result.Done{})
		}
	})
}
