package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
)

// intake manages the jobs that are accepted without the leader. Each is stored as a separate record in the key-value
// store until the leader appends the job to the log, exactly once. Any follower may write a record; only the leader
// deletes records, under its term.
type intake struct {
	*environment
	commits *commitPipeline
	loop    *eventLoop
	replica *replica
	term    *termState

	limiter *rate.Limiter // limits jobs accepted without the leader; used by request goroutines
}

// intakeTerm is the state of intake for one term of leadership. It is owned by the event loop.
type intakeTerm struct {
	dropPending  map[uint64]bool // jobs that are in the log or proposed, and whose records are to be deleted
	droppable    []uint64        // jobs in dropPending that are committed, whose records can be deleted now
	dropInFlight bool            // a deletion of records is in progress
	rescanNeeded bool            // list the intake again after the deletion: records in dropPending were skipped
}

const (
	// followerIntakeShare is the share of the key-value store's write rate that all controllers together may use for
	// the intake while the leader is reachable but slow. leaderlessIntakeShare applies while there is no reachable
	// leader, when nothing else is written.
	followerIntakeShare   = 0.2
	leaderlessIntakeShare = 0.8
)

// allow reports whether the rate limit permits another job to be accepted without the leader, and whether the log is
// quiet, as it is without a leader that is well. Besides its log entry, each such job costs two extra writes to the
// key-value store, one by this controller and one by the leader.
func (in *intake) allow() (allowed, logQuiet bool) {
	leaderless := false
	in.loop.postAndWait(func() {
		logQuiet = in.replica.isLogQuiet()
		if in.term.leader == nil {
			leaderless = true
			return
		}
		link := in.links[in.term.leader.Node]
		leaderless = link != nil && !isReachable(link)
	})
	share := followerIntakeShare
	if leaderless {
		share = leaderlessIntakeShare
	}
	limit := rate.Limit(in.settings.Params.KVStore.WriteRPS * share / float64(len(in.settings.Members)+1))
	if in.limiter.Limit() != limit {
		in.limiter.SetLimit(limit)
	}
	return in.limiter.Allow(), logQuiet
}

// ingest appends jobs from the intake to the log, and deletes their intake records once the jobs are committed.
func (in *intake) ingest(term *leaderTerm, records []oplog.Intake) {
	if in.term.ownTerm != term || len(records) == 0 {
		return
	}
	var ingested []uint64
	seq := uint64(0) // of the batch that contains the last of these jobs
	for _, record := range records {
		if term.intake.dropPending[record.Job] {
			term.intake.rescanNeeded = true // the record may have been written again since its deletion was decided
			continue
		}
		entry, err := model.ReadEntry(&codec.Reader{Data: record.Data})
		if err != nil || entry.Kind != model.EntryAccept || uint64(entry.Job) != record.Job {
			in.log.Error("malformed intake record", "job", record.Job, "err", err)
			continue
		}
		ingested = append(ingested, record.Job)
		term.intake.dropPending[record.Job] = true
		seq = max(seq, in.ingestEntry(entry))
	}
	if len(ingested) == 0 {
		return
	}
	in.commits.whenCommitted(seq, func(ok bool) {
		if ok {
			term.intake.droppable = append(term.intake.droppable, ingested...)
			in.dropCommitted(term)
		}
	})
}

// ingestEntry appends a job to the log unless the log contains it already. It returns the sequence number of the batch
// that contains the job.
func (in *intake) ingestEntry(entry *model.Entry) uint64 {
	if in.replica.model.Jobs[entry.Job] == nil && in.replica.model.Finals[entry.Job] == 0 {
		in.commits.propose(entry)
		in.loop.requestRound()
		in.log.Info("job ingested from intake", "job", entry.Spec.ID)
	}
	if job := in.replica.model.Jobs[entry.Job]; job != nil {
		return job.AcceptSeq
	}
	return in.replica.model.FinalSeq(entry.Job)
}

// dropCommitted deletes the intake records of committed jobs, each once and in one transaction at a time. If every
// listed record were deleted on every listing, the same deletions would be sent repeatedly; under a burst of intake
// submissions this uses the whole write rate for a minute.
func (in *intake) dropCommitted(term *leaderTerm) {
	if term.intake.dropInFlight || len(term.intake.droppable) == 0 {
		return
	}
	jobs := term.intake.droppable
	term.intake.droppable, term.intake.dropInFlight = nil, true
	go func() {
		err := in.oplog.DeleteIntake(term.ctx, &term.leader, jobs)
		in.loop.post(func() { in.onDropped(term, jobs, err) })
	}()
}

// onDropped processes the end of a deletion, and starts the next one if further records can be deleted. Otherwise it
// lists the intake again if records were skipped.
func (in *intake) onDropped(term *leaderTerm, jobs []uint64, err error) {
	term.intake.dropInFlight = false
	if in.term.ownTerm != term {
		return
	}
	if err == nil {
		for _, job := range jobs {
			delete(term.intake.dropPending, job)
		}
	}
	in.dropCommitted(term)
	if term.intake.dropInFlight || !term.intake.rescanNeeded {
		return
	}
	term.intake.rescanNeeded = false
	go func() {
		if records, _, err := in.oplog.ListIntake(term.ctx); err == nil {
			in.loop.post(func() { in.ingest(term, records) })
		}
	}()
}

// resolve makes sure that the leader knows a job if another controller has accepted it into the intake. It returns
// false if the intake could not be read. It is called on a request goroutine.
func (in *intake) resolve(ctx context.Context, jobNumber uint64) bool {
	var term *leaderTerm
	known := false
	in.loop.postAndWait(func() {
		term = in.term.ownTerm
		known = term == nil || in.replica.model.Jobs[model.JobID(jobNumber)] != nil ||
			in.replica.model.Finals[model.JobID(jobNumber)] != 0
	})
	if known {
		return true
	}
	record, err := in.lookup(ctx, jobNumber)
	if err != nil {
		return false
	}
	if record != nil {
		in.loop.postAndWait(func() { in.ingest(term, []oplog.Intake{*record}) })
	}
	return true
}

const (
	intakeWatchTimeout = 10 * time.Second       // maximum wait of one watch request
	intakeRetryDelay   = 300 * time.Millisecond // delay between a failure and the next listing
)

// watch ingests new intake records while this controller leads, until the term ends.
func (in *intake) watch(term *leaderTerm, revision uint64) {
	for term.ctx.Err() == nil {
		nextRevision, changed, err := in.oplog.WatchIntake(term.ctx, revision, intakeWatchTimeout)
		if err == nil && !changed {
			revision = nextRevision
			continue
		}
		var records []oplog.Intake
		if err == nil || msgpackhttp.StatusCode(err) == http.StatusGone { // gone: the revision was compacted
			records, nextRevision, err = in.oplog.ListIntake(term.ctx)
		}
		if err != nil {
			sleep(term.ctx, intakeRetryDelay)
			continue
		}
		revision = nextRevision
		in.loop.postAndWait(func() { in.ingest(term, records) })
	}
}

// lookupForSubmission is like lookup, without that limit: allow limits the submissions.
func (in *intake) lookupForSubmission(ctx context.Context, job uint64) (*oplog.Intake, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return in.oplog.GetIntake(ctx, job)
}

// lookup returns the intake record of a job, or nil if there is none. The read counts against the key-value store
// client's budget for users' requests.
func (in *intake) lookup(ctx context.Context, job uint64) (record *oplog.Intake, err error) {
	err = in.store.ForUser(ctx, responseTimeout, func(ctx context.Context) error {
		record, err = in.oplog.GetIntake(ctx, job)
		return err
	})
	return record, err
}
