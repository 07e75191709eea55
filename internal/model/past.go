package model

import "fieldhill/internal/scheduling/pending"

// Past is a reason that held from some time on, until the next one did.
type Past struct {
	Code pending.Code
	From Time
}

// pastReasons is how many a job keeps.
const pastReasons = 8

// NoteWhy keeps when the reason for which a job waits began. It is called once a round, when
// that round's reason is known, and costs nothing while it stays the same.
func (j *Job) NoteWhy(now Time) {
	if j.past[0].Code == j.Why.Code {
		return
	}
	copy(j.past[1:], j.past[:])
	j.past[0] = Past{j.Why.Code, now}
}

// Past lists the reasons for which the job has waited, the present one first, as far as it is
// kept and this leader has seen it. Nothing in the way (why.None) is among them.
func (j *Job) Past() (out []Past) {
	for _, p := range j.past {
		if p.From == 0 {
			break
		}
		out = append(out, p)
	}
	return out
}
