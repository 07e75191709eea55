package model

import "fieldhill/internal/scheduling/pending"

// ReasonSince is a pending reason and the time at which it began to apply. It applied until the next reason was
// recorded.
type ReasonSince struct {
	Code  pending.Code
	Since Time
}

// maxReasonHistory is the number of reasons kept per job.
const maxReasonHistory = 8

// RecordReason adds the job's pending reason to the history if its code differs from that of the latest record. If the
// history is full, the oldest record is dropped. RecordReason is called once per scheduling round, after the reason of
// the round is known.
func (j *Job) RecordReason(now Time) {
	if j.Scheduling.reasonHistory[0].Code == j.Scheduling.PendingReason.Code {
		return
	}
	copy(j.Scheduling.reasonHistory[1:], j.Scheduling.reasonHistory[:])
	j.Scheduling.reasonHistory[0] = ReasonSince{j.Scheduling.PendingReason.Code, now}
}

// ReasonHistory returns the recorded reasons for which the job has waited, most recent first, as far as this leader has
// observed them. It includes pending.None for times at which nothing prevented a placement.
func (j *Job) ReasonHistory() (history []ReasonSince) {
	for _, p := range j.Scheduling.reasonHistory {
		if p.Since == 0 {
			break
		}
		history = append(history, p)
	}
	return history
}
