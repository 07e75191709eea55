package controller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/config"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/election"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/replication/singleton"
	"fieldhill/internal/rpc"
	"fieldhill/internal/scheduling/provisioner"
	"fieldhill/wire"
)

// This file carries out what the keepers of duties ask for, and does the duties that this node holds: it deals with
// the cloud by a desk, and compacts the log. What either needs of the model is in every replica; what comes of it
// goes to the leader, under the duty's term, and the leader alone writes the log.

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

func newRoleState(node string) *roleState {
	roles := &roleState{participants: map[string]bool{}}
	for i := range roles.roles {
		roles.roles[i] = singleton.New(singleton.Name(i), node, singleton.DefaultRules(singleton.Name(i)))
	}
	return roles
}

// rolesDistributed tells whether duties are held one by one. Where a node does not take part the leader does all of it.
func (n *Controller) rolesDistributed() bool {
	if n.singletons == nil || !n.singletons.loaded || !n.singletons.participants[n.settings.Node] {
		return false
	}
	return !slices.ContainsFunc(n.settings.Members, func(m config.Member) bool { return !n.singletons.participants[m.Node] })
}

// watchRoles reads the keys of duties and follows them, until the context ends.
func (n *Controller) watchRoles(ctx context.Context) {
	for ctx.Err() == nil {
		if err := n.oplog.SetParticipation(ctx, n.settings.Node, true); err == nil {
			break
		}
		sleep(ctx, time.Second)
	}
	for ctx.Err() == nil {
		changes, revision, err := n.oplog.Roles(ctx)
		if err != nil {
			sleep(ctx, 500*time.Millisecond)
			continue
		}
		n.postAndWait(func() { n.onRoleChanges(changes, revision, true) })
		for ctx.Err() == nil {
			changes, next, err := n.oplog.FollowRoles(ctx, revision, roleWatchTimeout)
			if err != nil {
				n.log.Debug("singleton role watch failed", "err", err)
				sleep(ctx, 500*time.Millisecond)
				break
			}
			revision = next
			n.postAndWait(func() { n.onRoleChanges(changes, revision, false) })
		}
	}
}

// withdrawFromRoles says that this node takes no part, if an earlier process of it did.
func (n *Controller) withdrawFromRoles(ctx context.Context) {
	changes, _, err := n.oplog.Roles(ctx)
	if err == nil && slices.ContainsFunc(changes, func(change oplog.RoleUpdate) bool { return change.Participant == n.settings.Node }) {
		err = n.oplog.SetParticipation(ctx, n.settings.Node, false)
	}
	if err != nil && ctx.Err() == nil {
		n.log.Debug("singleton role withdrawal failed", "err", err)
	}
}

// roleWatchTimeout is how long a watch of duties waits for news.
const roleWatchTimeout = 10 * time.Second

// onRoleChanges takes in what the keys say; all: these are all there are.
func (n *Controller) onRoleChanges(changes []oplog.RoleUpdate, revision uint64, complete bool) {
	roles, now := n.singletons, n.now()
	if complete {
		clear(roles.participants)
		for _, role := range roles.roles {
			if !slices.ContainsFunc(changes, func(change oplog.RoleUpdate) bool { return change.HeldRole == role.Name.String() }) {
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
				if !roles.loaded && change.Node == n.settings.Node {
					// An earlier process of this node held it; that is dead, so its lease may end now.
					go func() { _ = n.store.Revoke(n.ctx, change.Lease) }()
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
func (n *Controller) roleView() *singleton.View {
	view := &singleton.View{Ready: n.rolesDistributed(), Live: []string{n.settings.Node}}
	for _, l := range n.links {
		if time.Since(l.LastResponse()) < linkFreshness {
			view.Live = append(view.Live, l.Node)
		}
	}
	slices.Sort(view.Live)
	if n.leader != nil {
		view.Leader = n.leader.Node
	}
	return view
}

// maintainRoles has the keepers look at the time, and the duties that are held done.
func (n *Controller) maintainRoles() {
	roles := n.singletons
	if roles == nil || !roles.loaded {
		return
	}
	view := n.roleView()
	if view.Ready != roles.writeRateShared {
		roles.writeRateShared = view.Ready
		share := oplog.DefaultWriteShare
		if view.Ready {
			share = logShare // the rest is for who cleans up
		}
		n.oplog.SetWriteShare(n.settings.Params.KVStore.WriteRPS, share)
		n.log.Info("singleton role distribution changed", "distributed", view.Ready)
	}
	for _, role := range roles.roles {
		switch now := n.now(); role.Decide(now, view) {
		case singleton.Acquire:
			n.acquireRole(role)
		case singleton.Renew:
			n.renewRole(role)
		case singleton.Release:
			n.resignRole(role)
		}
		n.syncRole(role)
	}
	now := n.now()
	if role := roles.roles[singleton.Provisioning]; role.Trusted(now) && roles.provisioner != nil && (n.loaded || n.ownTerm != nil) {
		roles.provisioner.Reconcile(time.Now(), n.desiredCapacity())
	}
	if role := roles.roles[singleton.Compaction]; role.Trusted(now) && roles.compactor != nil {
		n.compactLog(role, roles.compactor)
	}
	if time.Since(roles.loggedAt) > 20*time.Second {
		roles.loggedAt = time.Now()
		for _, role := range roles.roles {
			if role.Term() != 0 {
				n.log.Info("singleton role held", "role", role.Name.String(), "term", role.Term(), "held_duration", now-role.HeldSince(), "since_progress", now-role.LastProgress(), "open_scale_outs", len(n.model.Intents))
			}
		}
	}
}

func (n *Controller) acquireRole(role *singleton.Role) {
	go func() {
		sent := n.now()
		lease, term, err := election.AcquireKey(n.ctx, n.store, role.Rules.TTL, oplog.RoleKey(role.Name.String()), n.settings.Node, func(lease uint64) *wire.Txn {
			return oplog.AcquireRoleTxn(role.Name.String(), n.settings.Node, lease)
		}, n.log)
		n.post(func() {
			role.Acquired(sent, n.now(), lease, term)
			if err != nil && !errors.Is(err, election.ErrTaken) {
				n.log.Debug("singleton role acquisition failed", "role", role.Name.String(), "err", err)
			}
			n.syncRole(role)
		})
	}()
}

func (n *Controller) renewRole(role *singleton.Role) {
	lease := role.Lease()
	go func() {
		sent := n.now()
		err := n.store.Renew(n.ctx, lease, 1500*time.Millisecond)
		n.post(func() {
			// Also if the hold has ended meanwhile: until it has its answer the keeper asks for nothing else.
			role.Renewed(sent, err == nil, msgpackhttp.StatusCode(err) == http.StatusNotFound)
			n.syncRole(role)
		})
	}()
}

// resignRole gives a duty up: what is under way is ended first, then the row of those that got nowhere is written, if this is
// one of them, then the lease is ended and the key goes with it. Whatever of that is late or lost only delays the next holder.
func (n *Controller) resignRole(role *singleton.Role) {
	n.log.Info("singleton role resigned", "role", role.Name.String(), "term", role.Term(), "reason", role.ReleaseReason())
	lease, term, name, stuck, noProgress := role.Lease(), role.Term(), role.Name.String(), role.StalledHolders(), role.NoProgress()
	role.Released()
	n.syncRole(role)
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, 3*time.Second)
		defer cancel()
		if noProgress {
			if err := n.oplog.PutStalledHolders(ctx, name, term, stuck); err != nil {
				n.log.Debug("stalled holder record failed", "role", name, "err", err)
			}
		}
		_ = n.store.Revoke(ctx, lease) // it ends by itself otherwise
	}()
}

// revokeRoles ends the leases of what this node holds, so that the next holders need not wait for them.
func (n *Controller) revokeRoles() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(n.ctx), time.Second)
	defer cancel()
	for _, role := range n.singletons.roles {
		if role.Term() != 0 {
			_ = n.store.Revoke(ctx, role.Lease())
		}
	}
}

// syncRole has the work of a duty follow the hold of it.
func (n *Controller) syncRole(role *singleton.Role) {
	current := &n.singletons.holdings[role.Name]
	current.trustedUntil.Store(int64(role.TrustedUntil()))
	if current.term == role.Term() {
		return
	}
	if current.cancel != nil {
		current.cancel()
		current.cancel = nil
		n.log.Info("singleton role ended", "role", role.Name.String(), "term", current.term, "reason", role.ReleaseReason())
	}
	switch role.Name {
	case singleton.Provisioning:
		n.singletons.provisioner = nil
	case singleton.Compaction:
		n.singletons.compactor = nil
	}
	if current.term = role.Term(); current.term == 0 {
		return
	}
	n.log.Info("singleton role acquired", "role", role.Name.String(), "term", current.term, "node", n.settings.Node)
	ctx, cancel := context.WithCancel(n.ctx)
	current.cancel = cancel
	switch role.Name {
	case singleton.Provisioning:
		term := current.term
		n.singletons.provisioner = n.newProvisioner(ctx, func() bool { return int64(n.now()) < current.trustedUntil.Load() }, func(o provisioner.Result) {
			if role.Term() == term {
				n.publishResult(ctx, role, term, &o)
			}
		})
	case singleton.Compaction:
		n.singletons.compactor = n.newCompactor(ctx, role, current.term)
	}
}

// desiredCapacity is what the log says is to be done at the cloud, as far as this node has it for sure.
func (n *Controller) desiredCapacity() provisioner.Desired {
	committed := n.appliedSeq
	if n.ownTerm != nil {
		committed = n.ownTerm.committedSeq
	}
	desired := provisioner.Desired{TypesUnknown: !n.model.TypesKnown()}
	for _, i := range n.model.Intents {
		if i.Seq <= committed {
			desired.ScaleOuts = append(desired.ScaleOuts, provisioner.ScaleOut{Name: i.Name, Type: i.Type, Zone: i.Zone, Spot: i.Spot, Count: i.Count})
		}
	}
	for _, machine := range n.model.Order {
		if machine.Releasing && machine.ReleaseSeq <= committed {
			desired.Releases = append(desired.Releases, machine.Info.Name)
		}
	}
	return desired
}

// onRoleProgress notes that a duty got on, and writes so where those before it did not.
func (n *Controller) onRoleProgress(role *singleton.Role) {
	if term := role.Term(); role.RecordProgress(n.now()) {
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, 3*time.Second)
			defer cancel()
			_ = n.oplog.PutStalledHolders(ctx, role.Name.String(), term, 0) // else patience stays long for a while
		}()
	}
}

// publishResult tells the leader what came of a request to the cloud. If it is not heard, the desk tells it again for as long as the
// log shows it as open.
func (n *Controller) publishResult(ctx context.Context, role *singleton.Role, term uint64, result *provisioner.Result) {
	if result.Kind != provisioner.CloudUnavailable {
		n.onRoleProgress(role)
	}
	if n.ownTerm != nil {
		if n.isActive() {
			n.onProvisionerResult(n.ownTerm, result)
		}
		return
	}
	parts := []*provisioner.Result{result}
	if result.Kind == provisioner.MachinesListed { // only what the leader does not know from the log
		result.Listing = slices.DeleteFunc(result.Listing, func(row wire.ListedMachine) bool {
			machine := n.model.ByName[row.Name]
			return n.model.Tombstones[row.Name] || machine != nil && machine.Info.Addr != "" && (row.State != wire.MachineFailed || machine.Releasing)
		})
		parts = provisioner.SplitListed(result.Listing, maxListedBytes)
	}
	name := role.Name.String()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, resultTimeout)
		defer cancel()
		for _, part := range parts { // what the leader has no time for is in the next list as well
			call := &rpc.Request{Op: rpc.OpRoleResult, ID: name, Body: part.Append(codec.Uint(nil, term))}
			if reply, ok := n.toLeader(ctx, call, time.Second); !ok || reply.Status != http.StatusOK {
				n.log.Debug("provisioner result not delivered", "kind", part.Kind)
				return
			}
		}
	}()
}

// maxListedBytes is how many bytes of rows a part of a list has, with room for what else is in the frame, and resultTimeout is
// how long the leader may take for all that is told at once: then the next list is due.
const (
	maxListedBytes = rpc.MaxBody - 1<<10
	resultTimeout  = 3 * time.Second
)

// onRoleReport takes in what the holder of a duty says. Only the present one is believed.
func (n *Controller) onRoleReport(ctx context.Context, request *rpc.Request) *rpc.Response {
	reader := &codec.Reader{Data: request.Body}
	term := reader.Uint()
	if reader.Err != nil {
		return api.Refuse(http.StatusBadRequest, "malformed")
	}
	result, err := provisioner.ReadResult(reader.Data)
	if err != nil || request.ID != singleton.Provisioning.String() {
		return api.Refuse(http.StatusBadRequest, "malformed")
	}
	return n.respond(ctx, func(send func(*rpc.Response)) {
		switch {
		case n.singletons == nil:
			send(api.Refuse(http.StatusNotImplemented, "duties are not held one by one here"))
		case !n.isActive():
			send(api.RetryLater("no leader here", 1))
		case !n.singletons.roles[singleton.Provisioning].IsCurrent(term):
			send(api.Refuse(http.StatusConflict, "another holds the duty"))
		default:
			n.onProvisionerResult(n.ownTerm, result)
			send(&rpc.Response{Status: http.StatusOK})
		}
	})
}

// newCompactor begins to clean up under a term.
func (n *Controller) newCompactor(ctx context.Context, role *singleton.Role, term uint64) *logCompactor {
	compactor := &logCompactor{ctx: ctx, busy: true}
	compactor.compactor = n.oplog.WithWriteShare(n.settings.Params.KVStore.WriteRPS, compactionShare, n.log).NewCompactor(oplog.Fence{Key: oplog.RoleKey(role.Name.String()), Version: term, Term: compactionTermBase + term})
	compactor.compactor.OnProgress = func() {
		n.post(func() {
			if role.Term() == term {
				n.onRoleProgress(role)
			}
		})
	}
	go func() {
		seq, err := compactor.compactor.SnapshotSeq(ctx)
		n.post(func() {
			compactor.busy = false
			if compactor.seqKnown = err == nil; compactor.seqKnown {
				compactor.snapshotSeq = seq
			}
		})
	}()
	return compactor
}

// compactLog compacts the log once enough of it has come, at a moment at which the model is what the log has.
func (n *Controller) compactLog(role *singleton.Role, compactor *logCompactor) {
	switch term := n.ownTerm; {
	case compactor.busy:
		return
	case !compactor.seqKnown || !n.loaded && term == nil || n.appliedSeq < compactor.snapshotSeq+uint64(n.snapshotInterval):
		role.RecordIdle(n.now())
		return
	case term != nil && (term.writeInFlight || len(term.queue) > 0 || term.committedSeq != n.appliedSeq):
		return
	}
	compactor.busy = true
	seq, snap, ctx := n.appliedSeq, n.model.Snapshot(), compactor.ctx
	go func() {
		err := compactor.compactor.Compact(ctx, seq, snap)
		n.post(func() {
			compactor.busy = false
			if err == nil {
				compactor.snapshotSeq = seq
				n.log.Debug("log compacted", "seq", seq, "bytes", len(snap))
			} else if ctx.Err() == nil {
				n.log.Warn("log compaction failed, previous snapshot kept", "seq", seq, "bytes", len(snap), "err", err)
				if errors.Is(err, oplog.ErrDeposed) {
					compactor.seqKnown = false // the watch tells who holds it now
				}
			}
		})
	}()
}

// roleStatus is how the duties stand, for operators.
func (n *Controller) roleStatus() *wire.RoleList {
	status := &wire.RoleList{Node: n.settings.Node, Distributed: n.rolesDistributed(), Roles: []wire.RoleStatus{}, UncertainProvisioning: []string{}}
	if n.leader != nil {
		status.Leader = n.leader.Node
	}
	for _, i := range n.model.Intents {
		status.UncertainProvisioning = append(status.UncertainProvisioning, i.Name)
	}
	if n.singletons == nil {
		return status
	}
	now := n.now()
	for _, role := range n.singletons.roles {
		holder := role.Holder()
		d := wire.RoleStatus{Role: role.Name.String(), Holder: holder.Node, Term: holder.Term, ObservedS: (now - holder.Since).Seconds(), NoProgressHolders: role.StalledHolders(), ReleaseReason: role.ReleaseReason()}
		if role.Term() != 0 {
			d.LastProgressS = (now - role.LastProgress()).Seconds()
		}
		status.Roles = append(status.Roles, d)
	}
	return status
}
