package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/api"
	"fieldhill/internal/codec"
	"fieldhill/internal/model"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/replication/oplog"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// This file is the intake: jobs that are taken without the leader, as records of their own in the state service, until the leader enters them into the log.

// submitToIntake takes a job without the leader, if this node is sure that the
// log does not know it and the state service takes its record.
func (n *Controller) submitToIntake(ctx context.Context, body []byte) *rpc.Response {
	jobNumber, err := wire.PeekJobID(body)
	if err != nil {
		return api.Refuse(http.StatusBadRequest, err.Error())
	}
	if !n.allow() || n.catchUp(ctx) != nil {
		return noLeaderResponse
	}
	spec, specErr := wire.ParseJob(body)
	var entry *model.Entry
	response := n.respondInTurn(ctx, func(send func(*rpc.Response)) {
		if n.ownTerm != nil || !n.loaded {
			send(noLeaderResponse)
			return
		}
		if status := n.committedStatus(model.JobID(jobNumber)); status != nil {
			send(api.Encode(http.StatusOK, status))
			return
		}
		if r := n.rejection(spec, specErr); r != nil {
			send(r)
			return
		}
		entry = model.Accepted(spec, time.Now().UnixMilli())
		send(&rpc.Response{Status: http.StatusCreated})
	})
	if isRejection(response) {
		switch record, err := n.lookup(ctx, jobNumber); {
		case err != nil:
			return noLeaderResponse
		case record != nil: // accepted, as it was sent then
			return pendingResponse(http.StatusOK, jobNumber)
		}
	}
	if response.Status != http.StatusCreated {
		return response // the loop may not have come to it yet: the entry is not to be read
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	if err := n.oplog.PutIntake(ctx, oplog.Intake{Job: jobNumber, Data: entry.Append(nil)}); err != nil {
		return noLeaderResponse
	}
	n.log.Debug("job accepted into intake", "job", spec.ID)
	return pendingResponse(http.StatusCreated, jobNumber)
}

// allow bounds the jobs taken without the leader. Each costs two changes of the state
// service, one of them the leader's, beside its place in the log: all nodes together may
// use a fifth of what it takes while the leader is there and only slow, and most of it
// while there is none, since then nobody else writes.
func (n *Controller) allow() bool {
	share := 0.2
	n.postAndWait(func() {
		if n.leader == nil {
			share = 0.8
		} else if link := n.links[n.leader.Node]; link != nil && time.Since(link.LastResponse()) > linkFreshness {
			share = 0.8
		}
	})
	limit := rate.Limit(n.settings.Params.KVStore.WriteRPS * share / float64(len(n.settings.Members)+1))
	if n.intakeLimiter.Limit() != limit {
		n.intakeLimiter.SetLimit(limit)
	}
	return n.intakeLimiter.Allow()
}

// ingest enters jobs of the intake into the log, and deletes their keys once the
// log has them.
func (n *Controller) ingest(term *leaderTerm, jobs []oplog.Intake) {
	if n.ownTerm != term || len(jobs) == 0 {
		return
	}
	var ingested []uint64
	seq := uint64(0)
	for _, record := range jobs {
		if term.dropping[record.Job] {
			term.intakeRescanNeeded = true // it may have been written again meanwhile
			continue
		}
		entry, err := model.ReadEntry(&codec.Reader{Data: record.Data})
		if err != nil || entry.Kind != model.EntryAccept || uint64(entry.Job) != record.Job {
			n.log.Error("malformed intake record", "job", record.Job, "err", err)
			continue
		}
		ingested = append(ingested, record.Job)
		term.dropping[record.Job] = true
		if n.model.Jobs[entry.Job] == nil && n.model.Finals[entry.Job] == 0 {
			n.propose(entry)
			n.roundRequested = true
			n.log.Info("job ingested from intake", "job", entry.Spec.ID)
		}
		if j := n.model.Jobs[entry.Job]; j != nil {
			seq = max(seq, j.AcceptSeq)
		} else {
			seq = max(seq, n.model.FinalSeq(entry.Job))
		}
	}
	if len(ingested) == 0 {
		return
	}
	n.whenCommitted(seq, func(ok bool) {
		if ok {
			term.droppable = append(term.droppable, ingested...)
			n.dropCommitted(term)
		}
	})
}

// dropCommitted deletes the records of jobs that the log has, each once and one transaction at a
// time. Each look at the intake used to have all that it saw deleted again; in a flood
// that came by the intake, these deletions took the whole budget for a minute.
func (n *Controller) dropCommitted(term *leaderTerm) {
	if term.dropInFlight || len(term.droppable) == 0 {
		return
	}
	jobs := term.droppable
	term.droppable, term.dropInFlight = nil, true
	go func() {
		err := n.oplog.DropIntake(term.ctx, &term.leader, jobs)
		n.post(func() {
			term.dropInFlight = false
			if n.ownTerm != term {
				return
			}
			if err == nil {
				for _, j := range jobs {
					delete(term.dropping, j)
				}
			}
			if n.dropCommitted(term); !term.dropInFlight && term.intakeRescanNeeded {
				term.intakeRescanNeeded = false
				go func() {
					if records, _, err := n.oplog.ListIntake(term.ctx); err == nil {
						n.post(func() { n.ingest(term, records) })
					}
				}()
			}
		})
	}()
}

// resolve makes sure that the leader knows a job that another node may have
// accepted without it. It reports whether it could find out.
func (n *Controller) resolve(ctx context.Context, jobNumber uint64) bool {
	var term *leaderTerm
	known := false
	n.postAndWait(func() {
		term = n.ownTerm
		known = term == nil || n.model.Jobs[model.JobID(jobNumber)] != nil || n.model.Finals[model.JobID(jobNumber)] != 0
	})
	if known {
		return true
	}
	record, err := n.lookup(ctx, jobNumber)
	if err != nil {
		return false
	}
	if record != nil {
		n.postAndWait(func() { n.ingest(term, []oplog.Intake{*record}) })
	}
	return true
}

// watch takes up the jobs that come in while this node leads.
func (n *Controller) watch(term *leaderTerm, revision uint64) {
	for term.ctx.Err() == nil {
		nextRevision, changed, err := n.oplog.WatchIntake(term.ctx, revision, 10*time.Second)
		if err == nil && !changed {
			revision = nextRevision
			continue
		}
		var records []oplog.Intake
		if err == nil || msgpackhttp.StatusCode(err) == http.StatusGone {
			records, nextRevision, err = n.oplog.ListIntake(term.ctx)
		}
		if err != nil {
			select {
			case <-term.ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		revision = nextRevision
		n.postAndWait(func() { n.ingest(term, records) })
	}
}

// lookup looks for a job that waits for the leader, for a user.
func (n *Controller) lookup(ctx context.Context, job uint64) (record *oplog.Intake, err error) {
	err = n.store.ForUser(ctx, responseTimeout, func(ctx context.Context) error {
		record, err = n.oplog.GetIntake(ctx, job)
		return err
	})
	return record, err
}
