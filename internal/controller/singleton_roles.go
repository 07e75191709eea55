package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// singletonRoles follows the holders of the singleton roles and does the work of the roles that this controller holds:
// provisioning machines from the cloud, and compacting the log. Each role is held by one controller at a time under its
// own lease. The work reads only the model, which every replica has; its results are sent to the leader with the role's
// term, and only the leader writes the log.
//
// Package singleton decides when to acquire, renew and release a role. All state is owned by the event loop, except
// holding.trustedUntil.
type singletonRoles struct {
	*environment
	commits      *commitPipeline
	forward      *forwarder
	loop         *eventLoop
	provisioning *provisioning
	replica      *replica
	term         *termState

	state *roleState // nil if this controller does not participate: the leader does the work of all roles
}

// roleState is this controller's view of the singleton roles. The participants and the holders of the roles, this
// controller included, are recorded in the key-value store, the holders under leases.
type roleState struct {
	roles           [singleton.RoleCount]*singleton.Role
	loaded          bool                         // the roles' keys have been read at least once
	participants    map[string]bool              // controllers that participate
	holdings        [singleton.RoleCount]holding // the work in progress for each role held here
	provisioner     *provisioner.Provisioner     // of the provisioning role, nil if it is not held here
	compactor       *logCompactor                // of the compaction role, nil if it is not held here
	writeRateShared bool                         // a share of the write rate is reserved for the compactor
	loggedAt        time.Time                    // last time the roles held here were logged
}

// holding is the state of one role's work on this controller.
type holding struct {
	term         uint64 // term of the role; 0 if this controller does not hold it
	cancel       context.CancelFunc
	trustedUntil atomic.Int64 // since startTime; written by the event loop, read by goroutines that work for the role
}

const (
	// roleWatchTimeout is the maximum wait of one watch request for the roles' keys.
	roleWatchTimeout = 10 * time.Second
	// roleRetryDelay is the delay before the roles' keys are read again after a failure.
	roleRetryDelay = 500 * time.Millisecond
	// roleRenewTimeout limits the time for renewing a role's lease.
	roleRenewTimeout = 1500 * time.Millisecond
	// roleWriteTimeout limits the time for writing the count of stalled holders, on a resignation or on progress.
	roleWriteTimeout = 3 * time.Second
	// roleRevokeTimeout limits how long the shutdown waits for the revocation of the roles' leases.
	roleRevokeTimeout = time.Second
	// roleLogInterval is how often the roles held here are logged.
	roleLogInterval = 20 * time.Second
)

// rolesDistributed reports whether the singleton roles are held independently of leadership, which requires that all
// controllers participate. Otherwise the leader does the work of all roles.
func (rs *singletonRoles) rolesDistributed() bool {
	if rs.state == nil || !rs.state.loaded || !rs.state.participants[rs.settings.Node] {
		return false
	}
	isAbsent := func(member config.Member) bool { return !rs.state.participants[member.Node] }
	return !slices.ContainsFunc(rs.settings.Members, isAbsent)
}

// watchRoles registers this controller as a participant, then reads and follows the roles' keys until ctx ends.
func (rs *singletonRoles) watchRoles(ctx context.Context) {
	for ctx.Err() == nil {
		if err := rs.oplog.SetParticipation(ctx, rs.settings.Node, true); err == nil {
			break
		}
		sleep(ctx, time.Second)
	}
	for ctx.Err() == nil {
		changes, revision, err := rs.oplog.Roles(ctx)
		if err == nil {
			rs.loop.postAndWait(func() { rs.onRoleChanges(changes, revision, true) })
			rs.followRoles(ctx, revision)
		}
		sleep(ctx, roleRetryDelay)
	}
}

// followRoles processes changes of the roles' keys until a watch fails or ctx ends.
func (rs *singletonRoles) followRoles(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		changes, next, err := rs.oplog.FollowRoles(ctx, revision, roleWatchTimeout)
		if err != nil {
			rs.log.Debug("singleton role watch failed", "err", err)
			return
		}
		revision = next
		rs.loop.postAndWait(func() { rs.onRoleChanges(changes, revision, false) })
	}
}

// withdrawFromRoles removes this controller's participation in the singleton roles, which an earlier process of the
// node may have registered.
func (rs *singletonRoles) withdrawFromRoles(ctx context.Context) {
	changes, _, err := rs.oplog.Roles(ctx)
	isOwn := func(change oplog.RoleUpdate) bool { return change.Participant == rs.settings.Node }
	if err == nil && slices.ContainsFunc(changes, isOwn) {
		err = rs.oplog.SetParticipation(ctx, rs.settings.Node, false)
	}
	if err != nil && ctx.Err() == nil {
		rs.log.Debug("singleton role withdrawal failed", "err", err)
	}
}

// onRoleChanges processes changes of the roles' keys. complete means that changes lists all existing keys.
func (rs *singletonRoles) onRoleChanges(changes []oplog.RoleUpdate, revision uint64, complete bool) {
	state, now := rs.state, rs.now()
	if complete {
		clear(state.participants)
		for _, role := range state.roles {
			holdsRole := func(change oplog.RoleUpdate) bool { return change.HeldRole == role.Name.String() }
			if !slices.ContainsFunc(changes, holdsRole) {
				role.Observe(singleton.RoleHolder{Term: revision}, now)
			}
		}
	}
	for i := range changes {
		change := &changes[i]
		if change.Participant != "" {
			state.participants[change.Participant] = !change.Deleted
		}
		for _, role := range state.roles {
			switch role.Name.String() {
			case change.HeldRole:
				if !state.loaded && change.Node == rs.settings.Node {
					// An earlier process of this controller held the role. That process has ended, so the lease can be
					// revoked.
					go func() { _ = rs.store.Revoke(rs.ctx, change.Lease) }()
				}
				role.Observe(singleton.RoleHolder{Node: change.Node, Term: change.Term}, now)
			case change.StalledRole:
				role.ObserveStalledHolders(change.Count)
			}
		}
	}
	state.loaded = true
}

// roleView returns the input for decisions about roles: whether the roles are distributed, the reachable controllers,
// and the leader.
func (rs *singletonRoles) roleView() *singleton.ClusterView {
	view := &singleton.ClusterView{RolesDistributed: rs.rolesDistributed(), LiveNodes: []string{rs.settings.Node}}
	for _, link := range rs.links {
		if time.Since(link.LastResponse()) < linkTimeout {
			view.LiveNodes = append(view.LiveNodes, link.Node)
		}
	}
	slices.Sort(view.LiveNodes)
	if rs.term.leader != nil {
		view.Leader = rs.term.leader.Node
	}
	return view
}

// maintainRoles decides periodically whether to acquire, renew or release each role, and does the work of the roles
// held here.
func (rs *singletonRoles) maintainRoles() {
	state := rs.state
	if state == nil || !state.loaded {
		return
	}
	view := rs.roleView()
	rs.shareWriteRate(view.RolesDistributed)
	for _, role := range state.roles {
		switch role.Decide(rs.now(), view) {
		case singleton.Acquire:
			rs.acquireRole(role)
		case singleton.Renew:
			rs.renewRole(role)
		case singleton.Release:
			rs.resignRole(role)
		}
		rs.syncRole(role)
	}
	now := rs.now()
	if role := state.roles[singleton.Provisioning]; role.Trusted(now) && state.provisioner != nil &&
		(rs.replica.loaded || rs.term.ownTerm != nil) {
		state.provisioner.Reconcile(time.Now(), rs.provisioning.desiredCapacity())
	}
	if role := state.roles[singleton.Compaction]; role.Trusted(now) && state.compactor != nil {
		rs.compactLog(role, state.compactor)
	}
	if time.Since(state.loggedAt) > roleLogInterval {
		state.loggedAt = time.Now()
		rs.logRoles(now)
	}
}

// shareWriteRate reserves a share of the key-value store's write rate for the compactor while the roles are
// distributed.
func (rs *singletonRoles) shareWriteRate(distributed bool) {
	if distributed == rs.state.writeRateShared {
		return
	}
	rs.state.writeRateShared = distributed
	share := oplog.DefaultWriteShare
	if distributed {
		share = logShare
	}
	rs.oplog.SetWriteShare(rs.settings.Params.KVStore.WriteRPS, share)
	rs.log.Info("singleton role distribution changed", "distributed", distributed)
}

// logRoles logs the roles that this controller holds.
func (rs *singletonRoles) logRoles(now singleton.Time) {
	for _, role := range rs.state.roles {
		if role.Term() != 0 {
			rs.log.Info("singleton role held", "role", role.Name.String(), "term", role.Term(),
				"held_duration", now-role.HeldSince(), "since_progress", now-role.LastProgress(),
				"open_scale_outs", len(rs.replica.model.Intents))
		}
	}
}

// acquireRole tries to acquire a role, in competition with other controllers.
func (rs *singletonRoles) acquireRole(role *singleton.Role) {
	name := role.Name.String()
	txn := func(lease uint64) *wire.Txn { return oplog.AcquireRoleTxn(name, rs.settings.Node, lease) }
	go func() {
		sent := rs.now()
		lease, term, err := election.AcquireKey(
			rs.ctx, rs.store, role.Rules.TTL, oplog.RoleKey(name), rs.settings.Node, txn, rs.log)
		rs.loop.post(func() {
			role.Acquired(sent, rs.now(), lease, term)
			if err != nil && !errors.Is(err, election.ErrTaken) {
				rs.log.Debug("singleton role acquisition failed", "role", name, "err", err)
			}
			rs.syncRole(role)
		})
	}()
}

// renewRole renews the lease of a role that is held here.
func (rs *singletonRoles) renewRole(role *singleton.Role) {
	lease := role.Lease()
	go func() {
		sent := rs.now()
		err := rs.store.Renew(rs.ctx, lease, roleRenewTimeout)
		rs.loop.post(func() {
			// The result is passed to the role even if the role was lost meanwhile, because the role makes no other
			// request while a renewal is pending.
			role.Renewed(sent, err == nil, msgpackhttp.StatusCode(err) == http.StatusNotFound)
			rs.syncRole(role)
		})
	}()
}

// resignRole resigns a role in this order: the work in progress is cancelled, the count of stalled holders is written
// if this controller made no progress as the holder, and the lease is revoked, which deletes the role's key. A failed
// or late step only delays the next holder.
func (rs *singletonRoles) resignRole(role *singleton.Role) {
	rs.log.Info("singleton role resigned", "role", role.Name.String(), "term", role.Term(),
		"reason", role.ReleaseReason())
	name, lease, term := role.Name.String(), role.Lease(), role.Term()
	noProgress, stalledHolders := role.ReleasedWithoutProgress(), role.StalledHolders()
	role.Released()
	rs.syncRole(role)
	go func() {
		ctx, cancel := context.WithTimeout(rs.ctx, roleWriteTimeout)
		defer cancel()
		if noProgress {
			if err := rs.oplog.PutStalledHolders(ctx, name, term, stalledHolders); err != nil {
				rs.log.Debug("stalled holder record failed", "role", name, "err", err)
			}
		}
		_ = rs.store.Revoke(ctx, lease) // if this fails, the lease expires
	}()
}

// revokeRoles revokes the leases of the roles that this controller holds, so that the next holders need not wait for
// the leases to expire. It runs after the event loop has ended.
func (rs *singletonRoles) revokeRoles() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(rs.ctx), roleRevokeTimeout)
	defer cancel()
	for _, role := range rs.state.roles {
		if role.Term() != 0 {
			_ = rs.store.Revoke(ctx, role.Lease())
		}
	}
}

// syncRole starts or stops the work of a role when the role is acquired or lost.
func (rs *singletonRoles) syncRole(role *singleton.Role) {
	current := &rs.state.holdings[role.Name]
	current.trustedUntil.Store(int64(role.TrustedUntil()))
	if current.term == role.Term() {
		return
	}
	if current.cancel != nil {
		current.cancel()
		current.cancel = nil
		rs.log.Info("singleton role ended", "role", role.Name.String(), "term", current.term,
			"reason", role.ReleaseReason())
	}
	switch role.Name {
	case singleton.Provisioning:
		rs.state.provisioner = nil
	case singleton.Compaction:
		rs.state.compactor = nil
	}
	current.term = role.Term()
	if current.term == 0 {
		return
	}
	rs.log.Info("singleton role acquired", "role", role.Name.String(), "term", current.term, "node", rs.settings.Node)
	ctx, cancel := context.WithCancel(rs.ctx)
	current.cancel = cancel
	switch role.Name {
	case singleton.Provisioning:
		rs.state.provisioner = rs.newRoleProvisioner(ctx, role, current)
	case singleton.Compaction:
		rs.state.compactor = rs.newCompactor(ctx, role, current.term)
	}
}

// onRoleProgress records that the work of a role made progress, and resets the stored count of stalled holders. Without
// the reset, the controllers would wait longer than necessary before they replace a later stalled holder.
func (rs *singletonRoles) onRoleProgress(role *singleton.Role) {
	term := role.Term()
	if !role.RecordProgress(rs.now()) {
		return
	}
	go func() { // not under the role's context: the record stays valid after the role is lost
		ctx, cancel := context.WithTimeout(rs.ctx, roleWriteTimeout)
		defer cancel()
		_ = rs.oplog.PutStalledHolders(ctx, role.Name.String(), term, 0)
	}()
}

// roleStatus returns the state of the singleton roles for the admin API. It must run on the event loop.
func (rs *singletonRoles) roleStatus() *wire.RoleList {
	status := &wire.RoleList{
		Node:                  rs.settings.Node,
		Distributed:           rs.rolesDistributed(),
		Roles:                 []wire.RoleStatus{},
		UncertainProvisioning: []string{},
	}
	if rs.term.leader != nil {
		status.Leader = rs.term.leader.Node
	}
	for _, intent := range rs.replica.model.Intents {
		status.UncertainProvisioning = append(status.UncertainProvisioning, intent.Name)
	}
	if rs.state == nil {
		return status
	}
	now := rs.now()
	for _, role := range rs.state.roles {
		holder := role.Holder()
		row := wire.RoleStatus{
			Role:              role.Name.String(),
			Holder:            holder.Node,
			Term:              holder.Term,
			ObservedS:         (now - holder.Since).Seconds(),
			NoProgressHolders: role.StalledHolders(),
			ReleaseReason:     role.ReleaseReason(),
		}
		if role.Term() != 0 {
			row.LastProgressS = (now - role.LastProgress()).Seconds()
		}
		status.Roles = append(status.Roles, row)
	}
	return status
}
