package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/mphttp"
	"fieldhill/internal/oplog"
	"fieldhill/internal/peer"
	"fieldhill/wire"
)

// This file answers users: as the leader from the model, and otherwise by asking
// the leader, or from the replica after reading the log up to the present.

// answerWithin bounds how long an answer may wait for the log. A write that
// takes longer is still repeated, but its user is told at once to ask again.
const answerWithin = 2500 * time.Millisecond

// quickly bounds how long the leader is waited for where there is another way
// to an answer.
const quickly = 350 * time.Millisecond

// inLoop runs f in the loop; f must send exactly one reply, at once or later.
func (n *Node) inLoop(ctx context.Context, f func(send func(*peer.Reply))) *peer.Reply {
	return n.replied(ctx, n.offer, f)
}

// overloaded refuses a new job while this controller is late.
var overloaded = api.Refuse(http.StatusTooManyRequests, "more work is offered than can be taken")

var noLeader = api.Later("no leader at the moment", 1)

// passOn sends a request to the leader. ok is false if the leader can't be asked.
func (n *Node) passOn(ctx context.Context, c *peer.Call, within time.Duration) (reply *peer.Reply, ok bool) {
	to := n.stands.Load().leader
	l := n.links[to]
	if l == nil || time.Since(l.Heard()) > linkFresh {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r, err := l.Call(ctx, c)
	if err != nil {
		n.log.Debug("leader not reached", "leader", to, "err", err)
		return nil, false
	}
	return r, true
}

// elsewhere asks the other controllers, one after the other, for what this node
// can't answer: it leads no more, as far as it can tell, or reads the log no more,
// while others may do both.
func (n *Node) elsewhere(ctx context.Context, c *peer.Call) (*peer.Reply, bool) {
	for _, m := range n.set.Members {
		l := n.links[m.Node]
		if time.Since(l.Heard()) > linkFresh {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, 2*quickly)
		r, err := l.Call(ctx, c)
		cancel()
		if err == nil && r.Status != http.StatusServiceUnavailable {
			return r, true
		}
	}
	return nil, false
}

// byOthers asks the leader, if that is another node, and the rest if this one is out
// of touch with the state service.
func (n *Node) byOthers(ctx context.Context, c *peer.Call, leads, inTouch bool) (*peer.Reply, bool) {
	if !leads {
		if r, ok := n.passOn(ctx, c, quickly); ok && r.Status != http.StatusServiceUnavailable {
			return r, true
		}
	}
	if !inTouch {
		return n.elsewhere(ctx, c)
	}
	return nil, false
}

// answerPeer answers another controller.
func (n *Node) answerPeer(ctx context.Context, c *peer.Call) *peer.Reply {
	switch c.Op {
	case peer.OpPing:
		return &peer.Reply{Status: http.StatusOK, Body: n.stand.answer(c.Body)}
	case peer.OpSubmit:
		switch leads, inTouch := n.standing(); {
		case leads:
			return n.submitHere(ctx, c.Body)
		case inTouch:
			return n.submitToIntake(ctx, c.Body)
		}
		return noLeader
	case peer.OpStatus:
		num, ok := wire.JobNumber(c.ID)
		if leads, inTouch := n.standing(); ok && !leads {
			if !inTouch {
				return noLeader
			}
			return n.statusFromLog(ctx, model.JobID(num))
		}
		return n.statusHere(ctx, c.ID)
	case peer.OpWhy, peer.OpQueue:
		return n.answerOperator(ctx, c)
	case peer.OpCancel:
		return n.cancelHere(ctx, c.ID)
	case peer.OpDuty:
		return n.heardOfDuty(ctx, c)
	case peer.OpRenewed:
		return n.tellRenewals(ctx, c)
	case peer.OpVouch:
		return n.tellPast(ctx)
	case peer.OpOffer:
		return n.takeOffer(ctx, c)
	case peer.OpReport:
		return n.takeRelayed(ctx, c)
	case peer.OpOrders:
		return n.passOrders(ctx, c)
	case peer.OpShow:
		return n.passQuestion(ctx, c)
	}
	return api.Refuse(http.StatusNotImplemented, "unknown operation")
}

// Submit takes a job.
func (n *Node) Submit(ctx context.Context, body []byte) *peer.Reply {
	if _, err := wire.PeekJobID(body); err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	leads, inTouch := n.standing()
	if !leads && inTouch {
		return n.submitBothWays(ctx, body)
	}
	if r, ok := n.byOthers(ctx, &peer.Call{Op: peer.OpSubmit, Body: body}, leads, inTouch); ok {
		return r
	}
	if leads {
		return n.submitHere(ctx, body)
	}
	return n.submitToIntake(ctx, body)
}

// submitBothWays passes a job to the leader, and takes it by the intake as well if the
// leader takes much longer than it used to: it may have ended, stand still or be cut
// off, which is not known for some seconds. A job that comes both ways is taken once,
// since a record in the intake of a job that the log knows is dropped. The first final
// answer counts.
func (n *Node) submitBothWays(ctx context.Context, body []byte) *peer.Reply {
	began := time.Now()
	usual := time.Duration(n.usual.Load())
	passed := make(chan *peer.Reply, 1)
	go func() {
		r, ok := n.passOn(ctx, &peer.Call{Op: peer.OpSubmit, Body: body}, quickly)
		if took := time.Since(began); ok {
			n.usual.Store(int64(usual + (took-usual)/4))
		}
		if ok && r.Status == http.StatusServiceUnavailable {
			r = nil
		}
		passed <- r // nil: no answer, or none that is final
	}()
	wait := time.NewTimer(min(quickly, max(soon, 3*usual)))
	defer wait.Stop()
	select {
	case r := <-passed:
		if r != nil {
			return r
		}
		return n.submitToIntake(ctx, body)
	case <-wait.C:
	}
	taken := make(chan *peer.Reply, 1)
	go func() { taken <- n.submitToIntake(ctx, body) }()
	select {
	case r := <-passed:
		if r != nil {
			return r
		}
		return <-taken
	case r := <-taken:
		if r.Status != http.StatusServiceUnavailable {
			return r
		}
		if p := <-passed; p != nil {
			return p
		}
		return r
	}
}

// soon is how long the leader has at least for a submission before there is another way.
const soon = 60 * time.Millisecond

// submitToIntake takes a job without the leader, if this node is sure that the
// log does not know it and the state service takes its record.
func (n *Node) submitToIntake(ctx context.Context, body []byte) *peer.Reply {
	num, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !n.mayIntake() || n.catchUp(ctx) != nil {
		return noLeader
	}
	spec, specErr := wire.ParseJob(body)
	var entry *model.Entry
	reply := n.inTurn(ctx, func(send func(*peer.Reply)) {
		if n.role != nil || !n.loaded {
			send(noLeader)
			return
		}
		if s := n.status(model.JobID(num)); s != nil {
			send(api.Encode(http.StatusOK, s))
			return
		}
		if r := n.refuse(spec, specErr); r != nil {
			send(r)
			return
		}
		entry = model.Accepted(spec, time.Now().UnixMilli())
		send(&peer.Reply{Status: http.StatusCreated})
	})
	if isRefusal(reply) {
		switch in, err := n.getIntake(ctx, num); {
		case err != nil:
			return noLeader
		case in != nil: // accepted, as it was sent then
			return pending(http.StatusOK, num)
		}
	}
	if reply.Status != http.StatusCreated {
		return reply // the loop may not have come to it yet: the entry is not to be read
	}
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	if err := n.oplog.PutIntake(ctx, oplog.Intake{Job: num, Data: entry.Append(nil)}); err != nil {
		return noLeader
	}
	n.log.Debug("job taken without the leader", "job", spec.ID)
	return pending(http.StatusCreated, num)
}

// pending is the answer for a job that was accepted and of which nothing else is known.
func pending(code int, num uint64) *peer.Reply {
	return api.Encode(code, &wire.JobStatus{ID: wire.JobID(num), State: wire.JobPending})
}

// mayIntake bounds the jobs taken without the leader. Each costs two changes of the state
// service, one of them the leader's, beside its place in the log: all nodes together may
// use a fifth of what it takes while the leader is there and only slow, and most of it
// while there is none, since then nobody else writes.
func (n *Node) mayIntake() bool {
	share := 0.2
	n.ask(func() {
		if n.leader == nil {
			share = 0.8
		} else if l := n.links[n.leader.Node]; l != nil && time.Since(l.Heard()) > linkFresh {
			share = 0.8
		}
	})
	per := rate.Limit(n.set.Params.State.WriteRPS * share / float64(len(n.set.Members)+1))
	if n.intake.Limit() != per {
		n.intake.SetLimit(per)
	}
	return n.intake.Allow()
}

// takeIn enters jobs of the intake into the log, and deletes their keys once the
// log has them.
func (n *Node) takeIn(r *role, jobs []oplog.Intake) {
	if n.role != r || len(jobs) == 0 {
		return
	}
	var done []uint64
	seq := uint64(0)
	for _, in := range jobs {
		if r.dropping[in.Job] {
			r.lookAgain = true // it may have been written again meanwhile
			continue
		}
		e, err := model.ReadEntry(&codec.Reader{B: in.Data})
		if err != nil || e.Kind != model.EntryAccept || uint64(e.Job) != in.Job {
			n.log.Error("malformed job in the intake", "job", in.Job, "err", err)
			continue
		}
		done = append(done, in.Job)
		r.dropping[in.Job] = true
		if n.m.Jobs[e.Job] == nil && n.m.Finals[e.Job] == 0 {
			n.propose(e)
			n.dirty = true
			n.log.Info("job taken up that another node accepted", "job", e.Spec.ID)
		}
		if j := n.m.Jobs[e.Job]; j != nil {
			seq = max(seq, j.AcceptSeq)
		} else {
			seq = max(seq, n.m.FinalAt(e.Job))
		}
	}
	if len(done) == 0 {
		return
	}
	n.whenCommitted(seq, func(ok bool) {
		if ok {
			r.drops = append(r.drops, done...)
			n.drop(r)
		}
	})
}

// drop deletes the records of jobs that the log has, each once and one transaction at a
// time. Each look at the intake used to have all that it saw deleted again; in a flood
// that came by the intake, these deletions took the whole budget for a minute.
func (n *Node) drop(r *role) {
	if r.dropBusy || len(r.drops) == 0 {
		return
	}
	jobs := r.drops
	r.drops, r.dropBusy = nil, true
	go func() {
		err := n.oplog.DropIntake(r.ctx, &r.ld, jobs)
		n.post(func() {
			r.dropBusy = false
			if n.role != r {
				return
			}
			if err == nil {
				for _, j := range jobs {
					delete(r.dropping, j)
				}
			}
			if n.drop(r); !r.dropBusy && r.lookAgain {
				r.lookAgain = false
				go func() {
					if in, _, err := n.oplog.ListIntake(r.ctx); err == nil {
						n.post(func() { n.takeIn(r, in) })
					}
				}()
			}
		})
	}()
}

// lookIn makes sure that the leader knows a job that another node may have
// accepted without it. It reports whether it could find out.
func (n *Node) lookIn(ctx context.Context, num uint64) bool {
	var r *role
	known := false
	n.ask(func() {
		r = n.role
		known = r == nil || n.m.Jobs[model.JobID(num)] != nil || n.m.Finals[model.JobID(num)] != 0
	})
	if known {
		return true
	}
	in, err := n.getIntake(ctx, num)
	if err != nil {
		return false
	}
	if in != nil {
		n.ask(func() { n.takeIn(r, []oplog.Intake{*in}) })
	}
	return true
}

// watchIntake takes up the jobs that come in while this node leads.
func (n *Node) watchIntake(r *role, rev uint64) {
	for r.ctx.Err() == nil {
		next, some, err := n.oplog.WatchIntake(r.ctx, rev, 10*time.Second)
		if err == nil && !some {
			rev = next
			continue
		}
		var all []oplog.Intake
		if err == nil || mphttp.Code(err) == http.StatusGone {
			all, next, err = n.oplog.ListIntake(r.ctx)
		}
		if err != nil {
			select {
			case <-r.ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		rev = next
		n.ask(func() { n.takeIn(r, all) })
	}
}

func (n *Node) submitHere(ctx context.Context, body []byte) *peer.Reply {
	num, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	spec, specErr := wire.ParseJob(body)
	submit := func(send func(*peer.Reply)) { n.submit(model.JobID(num), spec, specErr, send) }
	r := n.inTurn(ctx, submit)
	if isRefusal(r) {
		// Another node may have taken it, as it was sent then, and this one not know yet.
		if !n.lookIn(ctx, num) {
			return noLeader
		}
		return n.inTurn(ctx, submit)
	}
	return r
}

// isRefusal tells whether an answer is final for a job that is not known: it is never given to one that was accepted.
func isRefusal(r *peer.Reply) bool {
	return r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
}

func (n *Node) submit(id model.JobID, spec *wire.JobSpec, specErr error, send func(*peer.Reply)) {
	if !n.active() {
		send(noLeader)
		return
	}
	r := n.role
	// A known job is recognised before anything is checked: a repeat must never
	// be told that it is invalid.
	if n.tellKnown(id, send) {
		return
	}
	if specErr == nil && r.stalled() {
		send(api.Later("the state service does not answer", 2))
		return
	}
	if r := n.refuse(spec, specErr); r != nil {
		send(r)
		return
	}
	if wait, ok := n.gate.Admit(n.now()); !ok {
		n.stats.NotAdmitted.Inc()
		send(&peer.Reply{Status: http.StatusTooManyRequests, RetryAfter: int(wait / time.Second), Body: overloaded.Body})
		return
	}
	e := model.Accepted(spec, time.Now().UnixMilli())
	seq := n.propose(e)
	n.dirty = true
	n.log.Debug("job accepted", "job", spec.ID, "class", spec.Class, "tasks", spec.Tasks)
	told := false
	tell := func(a *peer.Reply) {
		if !told {
			told = true
			send(a)
		}
	}
	accepted := pending(http.StatusCreated, uint64(id))
	n.whenCommitted(seq, func(ok bool) {
		if !ok {
			tell(noLeader)
			return
		}
		tell(accepted)
	})
	if n.state.WriteTime() < slowLog {
		return
	}
	// Batches are written one after the other, so with a slow state service a job
	// waits for the one under way and for its own. A record in the intake makes it
	// as safe, and need not wait.
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, answerWithin)
		defer cancel()
		if n.oplog.TryIntake(ctx, oplog.Intake{Job: uint64(id), Data: e.Append(nil)}) == nil {
			n.post(func() { tell(accepted) })
		}
	}()
}

// slowLog is how long a transaction takes when the state service counts as slow.
const slowLog = 60 * time.Millisecond

// refuse says why a job that is not known can't be taken, or nil.
func (n *Node) refuse(spec *wire.JobSpec, specErr error) *peer.Reply {
	switch {
	case specErr != nil:
		return api.Refuse(http.StatusBadRequest, specErr.Error())
	case !n.m.TypesKnown():
		return api.Later("machine types are not known yet", 1)
	}
	if why := n.m.CanEverRun(spec); why != "" {
		return api.Refuse(http.StatusUnprocessableEntity, why)
	}
	limit := n.maxTasks()
	if t := n.m.TeamOf(spec.Team); n.m.LiveTasks+spec.Tasks > limit || len(n.m.Teams) > 1 && t.LiveTasks+spec.Tasks > limit*4/5 {
		// No team alone fills it, or a guest's arrays would shut out the others.
		a := api.Later("too many unfinished tasks", 10)
		a.Status = http.StatusTooManyRequests
		return a
	}
	n.trimTypes(spec)
	return nil
}

// trimTypes drops names that no machine type bears, so that a record stays small.
func (n *Node) trimTypes(spec *wire.JobSpec) {
	if spec.Types == nil {
		return
	}
	kept := []string{}
	for _, t := range spec.Types {
		if id, ok := n.m.TypeNames.Find(t); ok && n.m.Types[id].Known {
			kept = append(kept, t)
		}
	}
	spec.Types = kept
}

// maxTasks bounds the memory that unfinished work takes: a task costs up to some
// 200 bytes with its run.
func (n *Node) maxTasks() int {
	return max(20_000, int(n.set.Params.Limits.MemoryMB*(1<<20)/4/200))
}

// tellFrom is the number of the batch that must be in the log before anything is told of a job: that of its end, or of its cancellation, if there is one.
// Until then it can't be told without either: a batch is read by the others as soon as it is carried out, and its writer may
// wait for the answer for seconds, so another node may have told of it already.
func (n *Node) tellFrom(id model.JobID) (seq uint64, known bool) {
	j := n.m.Jobs[id]
	switch {
	case j != nil && j.Cancelled:
		return j.FinalSeq, true
	case j != nil:
		return j.AcceptSeq, true
	}
	return n.m.FinalAt(id), n.m.Finals[id] != 0
}

// tellKnown answers for a job that is known, once what is told is committed. What comes to pass while that is waited for is waited for too.
func (n *Node) tellKnown(id model.JobID, send func(*peer.Reply)) bool {
	seq, known := n.tellFrom(id)
	if !known {
		return false
	}
	n.whenCommitted(seq, func(ok bool) {
		if !ok {
			send(noLeader)
			return
		}
		if at, known := n.tellFrom(id); known && at > n.role.committed {
			n.tellKnown(id, send)
			return
		}
		s := n.status(id)
		if s == nil {
			send(noLeader)
			return
		}
		send(api.Encode(http.StatusOK, s))
	})
	return true
}

// status is what may be told of a job now: nothing that is not committed.
func (n *Node) status(id model.JobID) *wire.JobStatus {
	s := &wire.JobStatus{ID: wire.JobID(uint64(id))}
	switch n.m.Finals[id] {
	case model.FinalDone:
		s.State = wire.JobDone
		return s
	case model.FinalCancelled:
		s.State = wire.JobCancelled
		return s
	}
	j := n.m.Jobs[id]
	if j == nil {
		return nil
	}
	s.Done, s.Running, s.State = j.Done, j.Running, wire.JobPending
	if n.role == nil {
		s.Running = j.Live // a replica does not know phases
	}
	if s.Running > 0 {
		s.State = wire.JobRunning
	}
	if j.Cancelled && (n.role == nil || j.FinalSeq <= n.role.committed) {
		s.State = wire.JobCancelled
	}
	return s
}

// Status tells how a job is.
func (n *Node) Status(ctx context.Context, id string) *peer.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	leads, inTouch := n.standing()
	if leads && inTouch {
		return n.statusHere(ctx, id)
	}
	// A final state that the replica knows can't change any more.
	var final *wire.JobStatus
	n.ask(func() {
		if (n.role == nil || n.m.FinalAt(model.JobID(num)) <= n.role.committed) && n.m.Finals[model.JobID(num)] != 0 {
			final = n.status(model.JobID(num))
		}
	})
	if final != nil {
		return api.Encode(http.StatusOK, final)
	}
	if r, ok := n.byOthers(ctx, &peer.Call{Op: peer.OpStatus, ID: id}, leads, inTouch); ok {
		return r
	}
	if leads {
		return n.statusHere(ctx, id)
	}
	return n.statusFromLog(ctx, model.JobID(num))
}

func (n *Node) statusHere(ctx context.Context, id string) *peer.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	if !n.lookIn(ctx, num) {
		return noLeader
	}
	return n.inTurn(ctx, func(send func(*peer.Reply)) {
		id := model.JobID(num)
		if n.role != nil && n.m.Finals[id] != 0 && n.m.FinalAt(id) <= n.role.committed {
			send(api.Encode(http.StatusOK, n.status(id)))
			return
		}
		switch {
		case !n.active():
			send(noLeader)
		case !n.tellKnown(id, send):
			send(api.Refuse(http.StatusNotFound, "no such job"))
		}
	})
}

// statusFromLog answers from the replica. Whatever any node told a user was in
// the log before; so a replica that has read the log after the request came
// can't give an older answer.
func (n *Node) statusFromLog(ctx context.Context, id model.JobID) *peer.Reply {
	known := false
	n.ask(func() { known = n.m.Jobs[id] != nil })
	var in *oplog.Intake
	if !known {
		var err error
		if in, err = n.getIntake(ctx, uint64(id)); err != nil {
			return noLeader
		}
	}
	if err := n.catchUp(ctx); err != nil {
		n.log.Debug("can't catch up", "err", err)
		return noLeader
	}
	return n.inTurn(ctx, func(send func(*peer.Reply)) {
		if n.role != nil || !n.loaded {
			send(noLeader)
			return
		}
		if s := n.status(id); s != nil {
			send(api.Encode(http.StatusOK, s))
			return
		}
		if in != nil {
			send(pending(http.StatusOK, uint64(id)))
			return
		}
		send(api.Refuse(http.StatusNotFound, "no such job"))
	})
}

// catchUp reads the log's end. Requests that come while a read is under way
// share the next one, because that one begins after they came.
func (n *Node) catchUp(ctx context.Context) error {
	for turn := 0; ; turn++ {
		n.catchMu.Lock()
		c := n.catching
		if c == nil {
			c = &catch{done: make(chan struct{})}
			n.catching = c
			n.catchMu.Unlock()
			// Others wait for this read too, so it does not end with this request.
			c.err = n.state.ForUser(n.ctx, answerWithin, n.readEnd)
			n.catchMu.Lock()
			n.catching = nil
			n.catchMu.Unlock()
			close(c.done)
			return c.err
		}
		n.catchMu.Unlock()
		select {
		case <-c.done:
		case <-ctx.Done():
			return ctx.Err()
		}
		if turn > 0 { // it began after the request came
			return c.err
		}
	}
}

// catch is a read of the log's end that is under way.
type catch struct {
	done chan struct{}
	err  error
}

// getIntake looks for a job that waits for the leader, for a user.
func (n *Node) getIntake(ctx context.Context, job uint64) (in *oplog.Intake, err error) {
	err = n.state.ForUser(ctx, answerWithin, func(ctx context.Context) error {
		in, err = n.oplog.GetIntake(ctx, job)
		return err
	})
	return in, err
}

var errNotLoaded = errors.New("controller: the log is not read yet")

func (n *Node) readEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	var from uint64
	var ok bool
	n.ask(func() { from, ok = n.applied, n.loaded && n.role == nil })
	if !ok {
		return errNotLoaded
	}
	batches, err := n.oplog.Since(ctx, from)
	if err != nil {
		return err
	}
	n.ask(func() {
		if !n.loaded || n.role != nil {
			err = errNotLoaded
			return
		}
		for _, b := range batches {
			if err = n.applyBatch(b); err != nil {
				return
			}
		}
	})
	return err
}

// Cancel cancels a job.
func (n *Node) Cancel(ctx context.Context, id string) *peer.Reply {
	if _, ok := wire.JobNumber(id); !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	call := &peer.Call{Op: peer.OpCancel, ID: id}
	leads, inTouch := n.standing()
	if leads && inTouch {
		return n.cancelHere(ctx, id)
	}
	if !leads {
		if r, ok := n.passOn(ctx, call, answerWithin); ok && r.Status != http.StatusServiceUnavailable {
			return r
		}
	}
	if r, ok := n.elsewhere(ctx, call); ok {
		return r
	}
	if leads {
		return n.cancelHere(ctx, id)
	}
	return noLeader
}

func (n *Node) cancelHere(ctx context.Context, id string) *peer.Reply {
	num, ok := wire.JobNumber(id)
	if !ok {
		return api.Refuse(http.StatusNotFound, "no such job")
	}
	if !n.lookIn(ctx, num) {
		return noLeader
	}
	return n.inLoop(ctx, func(send func(*peer.Reply)) { n.cancel(model.JobID(num), send) })
}

func (n *Node) cancel(id model.JobID, send func(*peer.Reply)) {
	if !n.active() {
		send(noLeader)
		return
	}
	j := n.m.Jobs[id]
	var seq uint64
	switch {
	case j == nil && n.m.Finals[id] == 0:
		send(api.Refuse(http.StatusNotFound, "no such job"))
		return
	case j == nil:
		seq = n.m.FinalAt(id)
	case j.Cancelled:
		seq = j.FinalSeq
	default:
		seq = n.propose(&model.Entry{Kind: model.EntryCancel, Job: id})
		j.CancelledFrom = n.now()
		n.stopAll(j)
		n.log.Debug("job cancelled", "job", wire.JobID(uint64(id)))
	}
	n.whenCommitted(seq, func(ok bool) {
		s := n.status(id)
		if !ok || s == nil {
			send(noLeader)
			return
		}
		send(api.Encode(http.StatusOK, s))
	})
}

// stopAll stops what a cancelled job has on machines, before the log has the cancellation: a stop that is sent in vain is decided again or made good
// by another start, and its user has no use for the job. So next to nothing of it starts after the user is told, which is when the log has it.
func (n *Node) stopAll(j *model.Job) {
	for i := range j.Tasks {
		if r := j.Tasks[i].Run; r != nil {
			n.stopped(r)
		}
	}
}

// Ready tells whether the node can take requests.
func (n *Node) Ready() bool {
	// What was found before this node stood still says nothing of now.
	return n.readyFlag.Load() && n.now()-model.Time(n.beat.Load()) < 2*stoodStill
}

// linkFresh is how recent an answer must be for the leader to count as reached.
const linkFresh = 1500 * time.Millisecond

// alone tells whether no other controller has been heard of for a while, though there are some.
func (n *Node) alone() bool {
	for _, l := range n.links {
		if time.Since(l.Heard()) < 2*linkFresh {
			return false
		}
	}
	return len(n.links) > 0
}

// others tells, at a leader whose lead can't be renewed, whether another node may lead in its place: none is heard of, which they may be
// well all the same, or one says that it reads the log. Where it is the state service that is down, all say that they don't.
func (n *Node) others() bool { return n.alone() || n.stand.warmOther() }

// judgeReady decides what the load balancer is told. A short time without a
// leader is no reason to be passed over: it passes for all nodes alike, and
// requests are refused with a time to come back.
func (n *Node) judgeReady() {
	ready := n.loaded
	n.stand.warm.Store(n.reaches())
	if ready && n.role == nil && n.leader != nil {
		if l := n.links[n.leader.Node]; l != nil && time.Since(l.Heard()) > linkFresh {
			// Without the leader it can still take and tell, by the log alone.
			ready = time.Since(n.caught) < 2*linkFresh+followFor
		}
	}
	if ready && n.alone() && !n.active() && (n.role != nil || !n.reaches()) {
		// Neither the log nor anybody who has it is reached: it can answer nothing but what is over, while those that it does
		// not hear of may be well.
		ready = false
	}
	n.readyFlag.Store(ready)
}
