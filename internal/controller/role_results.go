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
	// maxListedBytes is how many bytes of rows a part of a list has, with room for what else is in the frame.
	maxListedBytes = rpc.MaxBody - 1<<10
	// resultTimeout is how long the leader may take for all results that are sent at once: then the next list is due.
	resultTimeout = 3 * time.Second
	// partTimeout is how long it may take for one of them.
	partTimeout = time.Second
)

// newRoleProvisioner makes the provisioner of the role that is held here under a term.
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

// publishResult reports what came of a request to the cloud to the leader. If that does not get it, the provisioner
// reports it again for as long as the log shows the request as open.
func (rs *singletonRoles) publishResult(
	ctx context.Context, role *singleton.Role, term uint64, outcome *provisioner.Result,
) {
	if outcome.Kind != provisioner.CloudUnavailable {
		//nolint:contextcheck // the record of progress is not to end with the hold of the role, whose context this is
		rs.onRoleProgress(role)
	}
	if rs.term.ownTerm != nil {
		if rs.term.isActive() {
			rs.provisioning.onProvisionerResult(rs.term.ownTerm, outcome)
		}
		return
	}
	parts := []*provisioner.Result{outcome}
	if outcome.Kind == provisioner.MachinesListed {
		parts = provisioner.SplitListed(slices.DeleteFunc(outcome.Listing, rs.isInLog), maxListedBytes)
	}
	name := role.Name.String()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resultTimeout)
		defer cancel()
		for _, part := range parts { // what the leader has no time for is in the next list as well
			request := &rpc.Request{Op: rpc.OpRoleResult, ID: name, Body: part.Append(codec.Uint(nil, term))}
			answer, ok := rs.forward.toLeader(ctx, request, partTimeout)
			if !ok || !result.IsDone(answer) {
				rs.log.Debug("provisioner result not delivered", "kind", part.Kind)
				return
			}
		}
	}()
}

// isInLog tells whether a row of the cloud's list of machines says nothing that the leader has not from the log.
func (rs *singletonRoles) isInLog(row wire.ListedMachine) bool {
	if rs.replica.model.Tombstones[row.Name] {
		return true
	}
	machine := rs.replica.model.ByName[row.Name]
	return machine != nil && machine.Info.Addr != "" && (row.State != wire.MachineFailed || machine.Releasing)
}

// onRoleReport takes in, as the leader, what the holder of a role reports. Only the present holder is believed.
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
		case !rs.state.roles[singleton.Provisioning].IsCurrent(term):
			send(result.Superseded{Reason: "another holds the duty"})
		default:
			rs.provisioning.onProvisionerResult(rs.term.ownTerm, outcome)
			send(result.Done{})
		}
	})
}
