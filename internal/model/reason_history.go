package model

import "fieldhill/internal/scheduling/pending"

// ReasonSince is a reason that held from some time on, until the next one did.
type ReasonSince struct {
	Code  pending.Code
	Since Time
}

// maxReasonHistory is how many reasons are kept of a job.
const maxReasonHistory = 8

// RecordReason notes since when the reason for which a job waits holds. It is called once a round, when
// that round's reason is known, and costs nothing while it stays the same.
func (j *Job) RecordReason(now Time) {
	if j.Scheduling.reasonHistory[0].Code == j.Scheduling.PendingReason.Code {
		return
	}
	copy(j.Scheduling.reasonHistory[1:], j.Scheduling.reasonHistory[:])
	j.Scheduling.reasonHistory[0] = ReasonSince{j.Scheduling.PendingReason.Code, now}
}

// ReasonHistory lists the reasons for which the job has waited, the present one first, as far as it is
// kept and this leader has observed it. Nothing in the way (pending.None) is among them.
func (j *Job) ReasonHistory() (history []ReasonSince) {
	for _, p := range j.Scheduling.reasonHistory {
		if p.Since == 0 {
			break
		}
		history = append(history, p)
	}
	return history
}
