package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/result"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// singletonRoles holds the singleton roles (provisioner, compactor) one by one and does the work of those that this
// controller holds.
type singletonRoles struct {
	*environment
	commits      *commitPipeline
	forward      *forwarder
	loop         *eventLoop
	provisioning *provisioning
	replica      *replica
	term         *termState

	state *roleState // nil: the leader does all of it
}

// roleState are this node's parts in them; the loop owns them.
type roleState struct {
	roles           [singleton.NameCount]*singleton.Role
	loaded          bool            // the keys were read
	participants    map[string]bool // nodes that take part
	holdings        [singleton.NameCount]holding
	provisioner     *provisioner.Provisioner
	compactor       *logCompactor
	writeRateShared bool // the write rate is shared with who cleans up
	loggedAt        time.Time
}

// holding is a duty that this node has begun.
type holding struct {
	term         uint64
	cancel       context.CancelFunc
	trustedUntil atomic.Int64 // trusted until, for others than the loop
}

// logCompactor compacts the log while this node has the duty.
type logCompactor struct {
	ctx         context.Context
	compactor   *oplog.Compactor
	snapshotSeq uint64
	seqKnown    bool // snapshotSeq is
	busy        bool
}

// compactionShare is the part of the write rate that who cleans up takes, and logShare what the log has then.
const (
	compactionShare = 0.3
	logShare        = 0.55
	// compactionTermBase sets the terms of who cleans up apart from leaders'.
	compactionTermBase = 1 << 40
)

// rolesDistributed tells whether duties are held one by one. Where a node does not take part the leader does all of it.
func (rs *singletonRoles) rolesDistributed() bool {
	if rs.state == nil || !rs.state.loaded || !rs.state.participants[rs.settings.Node] {
		return false
	}
	return !slices.ContainsFunc(
		rs.settings.Members,
		func(m config.Member) bool { return !rs.state.participants[m.Node] },
	)
}

// watchRoles reads the keys of duties and follows them, until the context ends.
func (rs *singletonRoles) watchRoles(ctx context.Context) {
	for ctx.Err() == nil {
		if err := rs.oplog.SetParticipation(ctx, rs.settings.Node, true); err == nil {
			break
		}
		sleep(ctx, time.Second)
	}
	for ctx.Err() == nil {
		changes, revision, err := rs.oplog.Roles(ctx)
		if err != nil {
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		rs.loop.postAndWait(func() { rs.onRoleChanges(changes, revision, true) })
		for ctx.Err() == nil {
			changes, next, err := rs.oplog.FollowRoles(ctx, revision, roleWatchTimeout)
			if err != nil {
				rs.log.Debug("singleton role watch failed", "err", err)
				sleep(ctx, 500*time.Millisecond)
				break
			}
			revision = next
			rs.loop.postAndWait(func() { rs.onRoleChanges(changes, revision, false) })
		}
	}
}

// withdrawFromRoles says that this node takes no part, if an earlier process of it did.
func (rs *singletonRoles) withdrawFromRoles(ctx context.Context) {
	changes, _, err := rs.oplog.Roles(ctx)
	if err == nil &&
		slices.ContainsFunc(
			changes,
			func(change oplog.RoleUpdate) bool { return change.Participant == rs.settings.Node },
		) {
		err = rs.oplog.SetParticipation(ctx, rs.settings.Node, false)
	}
	if err != nil && ctx.Err() == nil {
		rs.log.Debug("singleton role withdrawal failed", "err", err)
	}
}

// roleWatchTimeout is how long a watch of duties waits for news.
const roleWatchTimeout = 10 * time.Second

// onRoleChanges takes in what the keys say; all: these are all there are.
func (rs *singletonRoles) onRoleChanges(changes []oplog.RoleUpdate, revision uint64, complete bool) {
	roles, now := rs.state, rs.now()
	if complete {
		clear(roles.participants)
		for _, role := range roles.roles {
			if !slices.ContainsFunc(
				changes,
				func(change oplog.RoleUpdate) bool { return change.HeldRole == role.Name.String() },
			) {
				role.Observe(singleton.RoleHolder{Term: revision}, now)
			}
		}
	}
	for _, change := range changes {
		if change.Participant != "" {
			roles.participants[change.Participant] = !change.Deleted
		}
		for _, role := range roles.roles {
			switch role.Name.String() {
			case change.HeldRole:
				if !roles.loaded && change.Node == rs.settings.Node {
					// An earlier process of this node held it; that is dead, so its lease may end now.
					go func() { _ = rs.store.Revoke(rs.ctx, change.Lease) }()
				}
				role.Observe(singleton.RoleHolder{Node: change.Node, Term: change.Term}, now)
			case change.StalledRole:
				role.ObserveStalledHolders(change.Count)
			}
		}
	}
	roles.loaded = true
}

// roleView is what this node knows of the others.
func (rs *singletonRoles) roleView() *singleton.View {
	view := &singleton.View{Ready: rs.rolesDistributed(), Live: []string{rs.settings.Node}}
	for _, l := range rs.links {
		if time.Since(l.LastResponse()) < linkFreshness {
			view.Live = append(view.Live, l.Node)
		}
	}
	slices.Sort(view.Live)
	if rs.term.leader != nil {
		view.Leader = rs.term.leader.Node
	}
	return view
}

// maintainRoles has the keepers look at the time, and the duties that are held done.
func (rs *singletonRoles) maintainRoles() {
	roles := rs.state
	if roles == nil || !roles.loaded {
		return
	}
	view := rs.roleView()
	if view.Ready != roles.writeRateShared {
		roles.writeRateShared = view.Ready
		share := oplog.DefaultWriteShare
		if view.Ready {
			share = logShare // the rest is for who cleans up
		}
		rs.oplog.SetWriteShare(rs.settings.Params.KVStore.WriteRPS, share)
		rs.log.Info("singleton role distribution changed", "distributed", view.Ready)
	}
	for _, role := range roles.roles {
		switch now := rs.now(); role.Decide(now, view) {
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
	if role := roles.roles[singleton.Provisioning]; role.Trusted(now) && roles.provisioner != nil &&
		(rs.replica.loaded || rs.term.ownTerm != nil) {
		roles.provisioner.Reconcile(time.Now(), rs.provisioning.desiredCapacity())
	}
	if role := roles.roles[singleton.Compaction]; role.Trusted(now) && roles.compactor != nil {
		rs.compactLog(role, roles.compactor)
	}
	if time.Since(roles.loggedAt) > 20*time.Second {
		roles.loggedAt = time.Now()
		for _, role := range roles.roles {
			if role.Term() != 0 {
				rs.log.Info("singleton role held", "role", role.Name.String(), "term", role.Term(),
					"held_duration", now-role.HeldSince(), "since_progress", now-role.LastProgress(),
					"open_scale_outs", len(rs.replica.model.Intents))
			}
		}
	}
}

func (rs *singletonRoles) acquireRole(role *singleton.Role) {
	go func() {
		sent := rs.now()
		lease, term, err := election.AcquireKey(
			rs.ctx,
			rs.store,
			role.Rules.TTL,
			oplog.RoleKey(role.Name.String()),
			rs.settings.Node,
			func(lease uint64) *wire.Txn {
				return oplog.AcquireRoleTxn(role.Name.String(), rs.settings.Node, lease)
			},
			rs.log,
		)
		rs.loop.post(func() {
			role.Acquired(sent, rs.now(), lease, term)
			if err != nil && !errors.Is(err, election.ErrTaken) {
				rs.log.Debug("singleton role acquisition failed", "role", role.Name.String(), "err", err)
			}
			rs.syncRole(role)
		})
	}()
}

func (rs *singletonRoles) renewRole(role *singleton.Role) {
	lease := role.Lease()
	go func() {
		sent := rs.now()
		err := rs.store.Renew(rs.ctx, lease, 1500*time.Millisecond)
		rs.loop.post(func() {
			// Also if the hold has ended meanwhile: until it has its answer the keeper asks for nothing else.
			role.Renewed(sent, err == nil, msgpackhttp.StatusCode(err) == http.StatusNotFound)
			rs.syncRole(role)
		})
	}()
}

// resignRole gives a duty up: what is under way is ended first, then the row of those that got nowhere is written, if
// this is one of them, then the lease is ended and the key goes with it. Whatever of that is late or lost only delays
// the next holder.
func (rs *singletonRoles) resignRole(role *singleton.Role) {
	rs.log.Info("singleton role resigned", "role", role.Name.String(), "term", role.Term(),
		"reason", role.ReleaseReason())
	lease, term, name, stuck, noProgress := role.Lease(), role.Term(), role.Name.String(), role.StalledHolders(), role.NoProgress()
	role.Released()
	rs.syncRole(role)
	go func() {
		ctx, cancel := context.WithTimeout(rs.ctx, 3*time.Second)
		defer cancel()
		if noProgress {
			if err := rs.oplog.PutStalledHolders(ctx, name, term, stuck); err != nil {
				rs.log.Debug("stalled holder record failed", "role", name, "err", err)
			}
		}
		_ = rs.store.Revoke(ctx, lease) // it ends by itself otherwise
	}()
}

// revokeRoles ends the leases of what this node holds, so that the next holders need not wait for them.
func (rs *singletonRoles) revokeRoles() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(rs.ctx), time.Second)
	defer cancel()
	for _, role := range rs.state.roles {
		if role.Term() != 0 {
			_ = rs.store.Revoke(ctx, role.Lease())
		}
	}
}

// syncRole has the work of a duty follow the hold of it.
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
	if current.term = role.Term(); current.term == 0 {
		return
	}
	rs.log.Info("singleton role acquired", "role", role.Name.String(), "term", current.term, "node", rs.settings.Node)
	ctx, cancel := context.WithCancel(rs.ctx)
	current.cancel = cancel
	switch role.Name {
	case singleton.Provisioning:
		term := current.term
		rs.state.provisioner = rs.provisioning.newProvisioner(
			ctx,
			func() bool { return int64(rs.now()) < current.trustedUntil.Load() },
			func(o provisioner.Result) {
				if role.Term() == term {
					rs.publishResult(ctx, role, term, &o)
				}
			},
		)
	case singleton.Compaction:
		rs.state.compactor = rs.newCompactor(ctx, role, current.term)
	}
}

// onRoleProgress notes that a duty got on, and writes so where those before it did not.
func (rs *singletonRoles) onRoleProgress(role *singleton.Role) {
	if term := role.Term(); role.RecordProgress(rs.now()) {
		go func() {
			ctx, cancel := context.WithTimeout(rs.ctx, 3*time.Second)
			defer cancel()
			_ = rs.oplog.PutStalledHolders(ctx, role.Name.String(), term, 0) // else patience stays long for a while
		}()
	}
}

// publishResult tells the leader what came of a request to the cloud. If it is not heard, the desk tells it again for
// as long as the log shows it as open.
func (rs *singletonRoles) publishResult(
	ctx context.Context,
	role *singleton.Role,
	term uint64,
	result *provisioner.Result,
) {
	if result.Kind != provisioner.CloudUnavailable {
		rs.onRoleProgress(role)
	}
	if rs.term.ownTerm != nil {
		if rs.term.isActive() {
			rs.provisioning.onProvisionerResult(rs.term.ownTerm, result)
		}
		return
	}
	parts := []*provisioner.Result{result}
	if result.Kind == provisioner.MachinesListed { // only what the leader does not know from the log
		result.Listing = slices.DeleteFunc(result.Listing, func(row wire.ListedMachine) bool {
			machine := rs.replica.model.ByName[row.Name]
			return rs.replica.model.Tombstones[row.Name] ||
				machine != nil && machine.Info.Addr != "" && (row.State != wire.MachineFailed || machine.Releasing)
		})
		parts = provisioner.SplitListed(result.Listing, maxListedBytes)
	}
	name := role.Name.String()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resultTimeout)
		defer cancel()
		for _, part := range parts { // what the leader has no time for is in the next list as well
			call := &rpc.Request{Op: rpc.OpRoleResult, ID: name, Body: part.Append(codec.Uint(nil, term))}
			if reply, ok := rs.forward.toLeader(ctx, call, time.Second); !ok || reply.Status != http.StatusOK {
				rs.log.Debug("provisioner result not delivered", "kind", part.Kind)
				return
			}
		}
	}()
}

// maxListedBytes is how many bytes of rows a part of a list has, with room for what else is in the frame, and
// resultTimeout is how long the leader may take for all that is told at once: then the next list is due.
const (
	maxListedBytes = rpc.MaxBody - 1<<10
	resultTimeout  = 3 * time.Second
)

// onRoleReport takes in what the holder of a duty says. Only the present one is believed.
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

// newCompactor begins to clean up under a term.
func (rs *singletonRoles) newCompactor(ctx context.Context, role *singleton.Role, term uint64) *logCompactor {
	compactor := &logCompactor{ctx: ctx, busy: true}
	compactor.compactor = rs.oplog.WithWriteShare(rs.settings.Params.KVStore.WriteRPS, compactionShare, rs.log).
		NewCompactor(oplog.Fence{Key: oplog.RoleKey(role.Name.String()), Version: term, Term: compactionTermBase + term})
	compactor.compactor.OnProgress = func() {
		rs.loop.post(func() {
			if role.Term() == term {
				rs.onRoleProgress(role)
			}
		})
	}
	go func() {
		seq, err := compactor.compactor.SnapshotSeq(ctx)
		rs.loop.post(func() {
			compactor.busy = false
			if compactor.seqKnown = err == nil; compactor.seqKnown {
				compactor.snapshotSeq = seq
			}
		})
	}()
	return compactor
}

// compactLog compacts the log once enough of it has come, at a moment at which the model is what the log has.
func (rs *singletonRoles) compactLog(role *singleton.Role, compactor *logCompactor) {
	switch term := rs.term.ownTerm; {
	case compactor.busy:
		return
	case !compactor.seqKnown || !rs.replica.loaded && term == nil || rs.replica.appliedSeq < compactor.snapshotSeq+uint64(rs.commits.snapshotInterval):
		role.RecordIdle(rs.now())
		return
	case term != nil && (term.commits.writeInFlight || len(term.commits.queue) > 0 || term.commits.committedSeq != rs.replica.appliedSeq):
		return
	}
	compactor.busy = true
	seq, snap, ctx := rs.replica.appliedSeq, rs.replica.model.Snapshot(), compactor.ctx
	go func() {
		err := compactor.compactor.Compact(ctx, seq, snap)
		rs.loop.post(func() {
			compactor.busy = false
			if err == nil {
				compactor.snapshotSeq = seq
				rs.log.Debug("log compacted", "seq", seq, "bytes", len(snap))
			} else if ctx.Err() == nil {
				rs.log.Warn("log compaction failed, previous snapshot kept", "seq", seq, "bytes", len(snap), "err", err)
				if errors.Is(err, oplog.ErrDeposed) {
					compactor.seqKnown = false // the watch tells who holds it now
				}
			}
		})
	}()
}

// roleStatus is how the duties stand, for operators.
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
	for _, i := range rs.replica.model.Intents {
		status.UncertainProvisioning = append(status.UncertainProvisioning, i.Name)
	}
	if rs.state == nil {
		return status
	}
	now := rs.now()
	for _, role := range rs.state.roles {
		holder := role.Holder()
		d := wire.RoleStatus{
			Role:              role.Name.String(),
			Holder:            holder.Node,
			Term:              holder.Term,
			ObservedS:         (now - holder.Since).Seconds(),
			NoProgressHolders: role.StalledHolders(),
			ReleaseReason:     role.ReleaseReason(),
		}
		if role.Term() != 0 {
			d.LastProgressS = (now - role.LastProgress()).Seconds()
		}
		status.Roles = append(status.Roles, d)
	}
	return status
}
