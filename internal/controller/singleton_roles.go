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

// singletonRoles carries out what the singleton roles' holders ask for, and does the roles that this controller holds:
// it deals with the cloud by a provisioner, and compacts the log. Each role is held under a lease of its own by one
// controller at a time. What either needs of the model is in every replica; what comes of it goes to the leader, under
// the role's term, and the leader alone writes the log.
//
// The decisions are package singleton's. All of it belongs to the loop, but for holding.trustedUntil.
type singletonRoles struct {
	*environment
	commits      *commitPipeline
	forward      *forwarder
	loop         *eventLoop
	provisioning *provisioning
	replica      *replica
	term         *termState

	state *roleState // nil: the option is off, and the leader does all of it
}

// roleState is this controller's part in the singleton roles. What it knows of the others is read from the key-value
// store; its own holds are there as well, and end with their leases.
type roleState struct {
	roles           [singleton.NameCount]*singleton.Role
	loaded          bool                         // the keys were read
	participants    map[string]bool              // controllers that take part
	holdings        [singleton.NameCount]holding // what is done of each role here
	provisioner     *provisioner.Provisioner     // of the provisioning role, while it is held here
	compactor       *logCompactor                // of the compaction role, while it is held here
	writeRateShared bool                         // the log leaves a part of the write rate to the compactor
	loggedAt        time.Time                    // when the roles held here were last logged
}

// holding is the work of a role that was begun here.
type holding struct {
	term         uint64 // 0: none
	cancel       context.CancelFunc
	trustedUntil atomic.Int64 // since the start; written by the loop, read by whoever is about to act for the role
}

const (
	// roleWatchTimeout is how long a watch of the roles' keys waits for a change.
	roleWatchTimeout = 10 * time.Second
	// roleRetryDelay is the pause after a failure to read them.
	roleRetryDelay = 500 * time.Millisecond
	// roleRenewTimeout bounds a renewal of a role's lease.
	roleRenewTimeout = 1500 * time.Millisecond
	// roleWriteTimeout bounds what is written when a role is resigned or gets on.
	roleWriteTimeout = 3 * time.Second
	// roleRevokeTimeout bounds how long the end of the process waits for the end of its roles' leases.
	roleRevokeTimeout = time.Second
	// roleLogInterval is how often the roles held here are logged.
	roleLogInterval = 20 * time.Second
)

// rolesDistributed tells whether the roles are held one by one: all controllers take part. Where one does not the
// leader does all of it.
func (rs *singletonRoles) rolesDistributed() bool {
	if rs.state == nil || !rs.state.loaded || !rs.state.participants[rs.settings.Node] {
		return false
	}
	absent := func(member config.Member) bool { return !rs.state.participants[member.Node] }
	return !slices.ContainsFunc(rs.settings.Members, absent)
}

// watchRoles takes part in the roles: it reads their keys and follows them, until the context ends.
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

// followRoles takes in changes of the roles' keys until that fails.
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

// withdrawFromRoles records that this controller takes no part, if an earlier process of it did.
func (rs *singletonRoles) withdrawFromRoles(ctx context.Context) {
	changes, _, err := rs.oplog.Roles(ctx)
	ownRow := func(change oplog.RoleUpdate) bool { return change.Participant == rs.settings.Node }
	if err == nil && slices.ContainsFunc(changes, ownRow) {
		err = rs.oplog.SetParticipation(ctx, rs.settings.Node, false)
	}
	if err != nil && ctx.Err() == nil {
		rs.log.Debug("singleton role withdrawal failed", "err", err)
	}
}

// onRoleChanges takes in what the keys say; complete: these are all the keys there are.
func (rs *singletonRoles) onRoleChanges(changes []oplog.RoleUpdate, revision uint64, complete bool) {
	state, now := rs.state, rs.now()
	if complete {
		clear(state.participants)
		for _, role := range state.roles {
			held := func(change oplog.RoleUpdate) bool { return change.HeldRole == role.Name.String() }
			if !slices.ContainsFunc(changes, held) {
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
					// An earlier process of this controller held it; that is dead, so its lease may end now.
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

// roleView is what this controller knows of the others.
func (rs *singletonRoles) roleView() *singleton.View {
	view := &singleton.View{Ready: rs.rolesDistributed(), Live: []string{rs.settings.Node}}
	for _, link := range rs.links {
		if time.Since(link.LastResponse()) < linkFreshness {
			view.Live = append(view.Live, link.Node)
		}
	}
	slices.Sort(view.Live)
	if rs.term.leader != nil {
		view.Leader = rs.term.leader.Node
	}
	return view
}

// maintainRoles has each role decided on as time passes, and does the work of those that are held here.
func (rs *singletonRoles) maintainRoles() {
	state := rs.state
	if state == nil || !state.loaded {
		return
	}
	view := rs.roleView()
	rs.shareWriteRate(view.Ready)
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

// shareWriteRate leaves the compactor its part of the write rate while the roles are distributed.
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

// logRoles logs the roles that are held here.
func (rs *singletonRoles) logRoles(now singleton.Time) {
	for _, role := range rs.state.roles {
		if role.Term() != 0 {
			rs.log.Info("singleton role held", "role", role.Name.String(), "term", role.Term(),
				"held_duration", now-role.HeldSince(), "since_progress", now-role.LastProgress(),
				"open_scale_outs", len(rs.replica.model.Intents))
		}
	}
}

// acquireRole tries to become the holder of a role, which another controller may be at the same time.
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
			// Also if the hold has ended meanwhile: until the role has its answer it asks for nothing else.
			role.Renewed(sent, err == nil, msgpackhttp.StatusCode(err) == http.StatusNotFound)
			rs.syncRole(role)
		})
	}()
}

// resignRole ends the hold of a role: what is under way is ended first, then the count of holders that made no progress
// is written, if this is one of them, then the lease is revoked and the key goes with it. Whatever of that is late or
// lost only delays the next holder.
func (rs *singletonRoles) resignRole(role *singleton.Role) {
	rs.log.Info("singleton role resigned", "role", role.Name.String(), "term", role.Term(),
		"reason", role.ReleaseReason())
	name, lease, term := role.Name.String(), role.Lease(), role.Term()
	noProgress, stalledHolders := role.NoProgress(), role.StalledHolders()
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
		_ = rs.store.Revoke(ctx, lease) // it expires by itself otherwise
	}()
}

// revokeRoles ends the leases of what this controller holds, so that the next holders need not wait for their expiry.
// It runs after the loop.
func (rs *singletonRoles) revokeRoles() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(rs.ctx), roleRevokeTimeout)
	defer cancel()
	for _, role := range rs.state.roles {
		if role.Term() != 0 {
			_ = rs.store.Revoke(ctx, role.Lease())
		}
	}
}

// syncRole begins and ends the work of a role with the hold of it.
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

// onRoleProgress notes that the work of a role got on, and records so where that of the holders before did not: the
// controllers would have long patience with the next holders otherwise.
func (rs *singletonRoles) onRoleProgress(role *singleton.Role) {
	term := role.Term()
	if !role.RecordProgress(rs.now()) {
		return
	}
	go func() { // under the process's context: the record is as true when the hold has ended
		ctx, cancel := context.WithTimeout(rs.ctx, roleWriteTimeout)
		defer cancel()
		_ = rs.oplog.PutStalledHolders(ctx, role.Name.String(), term, 0)
	}()
}

// roleStatus is how the roles are, for operators. It is for the loop.
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
