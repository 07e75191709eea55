package main

import (
	"fmt"
	"time"

	"fieldhill/wire"
)

// maxWait is how long a job may be left waiting beside room.
const maxWait = 90 * time.Second

const (
	watchInterval = 250 * time.Millisecond
	pollInterval  = 5 * time.Second
)

// await waits until a condition holds, or returns an error after a time.
func (p *platform) await(what string, timeout time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(timeout); !holds(); {
		if time.Now().After(deadline) || p.ctx.Err() != nil {
			return fmt.Errorf("after %v still not: %s", timeout, what)
		}
		time.Sleep(watchInterval)
	}
	p.record.say("%s", what)
	return nil
}

// placed reports whether all tasks of a job are on machines or done.
func (p *platform) placed(spec *wire.JobSpec) bool {
	t := p.tally(spec)
	return t.present+t.done >= spec.Tasks
}

// leftWaiting watches a job until all its tasks are on machines or done, or until it has waited beside room for longer
// than maxWait without a start in between. It returns true in the latter case. An error means that time was up before
// either.
func (p *platform) leftWaiting(spec *wire.JobSpec) (waited bool, err error) {
	var since, polled time.Time
	starts, box := 0, ""
	for p.ctx.Err() == nil {
		t := p.tally(spec)
		if t.present+t.done >= spec.Tasks {
			p.record.say("%s: all its tasks are on machines or done", spec.ID)
			return false, nil
		}
		name, room := p.hasRoom(spec)
		switch {
		case !room || t.starts != starts || since.IsZero():
			since, starts = time.Now(), t.starts
		case time.Since(since) > maxWait:
			p.record.say("%s: %d of %d tasks on machines, %d done; it waits for %.1f s while %s has room for a task",
				spec.ID, t.present, spec.Tasks, t.done, time.Since(since).Seconds(), name)
			return true, nil
		}
		if name != box {
			box = name
			p.record.add("room for a task of %s: %q", spec.ID, box)
		}
		if time.Since(polled) > pollInterval {
			polled = time.Now()
			p.poll(spec)
		}
		time.Sleep(watchInterval)
	}
	return false, fmt.Errorf("time is up before %s has started or waited long enough", spec.ID)
}
