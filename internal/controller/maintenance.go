package controller

import (
	"time"

	"fieldhill/internal/model"
)

const (
	minRoundGap    = 40 * time.Millisecond // between two rounds that events request
	maxRoundGap    = 500 * time.Millisecond
	roundGapFactor = 5 // a round is followed by so many times its own length without one that events request

	// stallThreshold is for how long the loop may stand still before that is logged, and counts as a gap in all that
	// it observes.
	stallThreshold = 4 * maintenanceInterval
	// toleratedDelay is how late the maintenance may come before that time counts against no machine.
	toleratedDelay = 100 * time.Millisecond
	// autoscaleInterval is the least time between two plans of the autoscaler.
	autoscaleInterval = 500 * time.Millisecond
)

// runRound runs the scheduler (turnHandler).
func (c *Controller) runRound(regular bool) { c.rounds.runScheduler(regular) }

// afterTurn ends a turn of the loop (turnHandler).
func (c *Controller) afterTurn() (wait time.Duration, pending bool) {
	c.commits.flush()
	c.forward.publish()
	return c.commits.batchWait()
}

// runMaintenance runs the periodic maintenance of each component in turn (turnHandler).
func (c *Controller) runMaintenance() {
	now := time.Now()
	elapsed := c.readiness.noteTurn(now)
	c.observeDelay(elapsed - maintenanceInterval)
	c.readiness.updateReadiness()
	c.zones.reportPartition()
	c.fence.runBarrierRound()
	c.roles.maintainRoles()
	c.relay.maintainRelay()
	c.keepalives.sweep(now)
	if term := c.term.ownTerm; term != nil && c.term.isActive() {
		c.maintainTerm(term, now, elapsed)
	}
}

// noteTurn notes that the loop runs, and returns the time since it last did so.
func (rd *readiness) noteTurn(now time.Time) time.Duration {
	sinceStart := now.Sub(rd.startTime)
	return sinceStart - model.Time(rd.lastLoopTurn.Swap(int64(sinceStart)))
}

// observeDelay takes in by how much the maintenance was late, which shows how busy the loop is.
func (c *Controller) observeDelay(delay time.Duration) {
	if len(c.loop.requestQueue) == 0 { // otherwise the requests' own delay tells
		c.loop.admissionGate.ObserveWait(max(0, delay), c.now())
	}
	if delay > toleratedDelay {
		c.health.resetFailureDetectors(delay)
	}
	if term := c.term.ownTerm; term != nil {
		term.rounds.lowPriorityLimit = nextLowLimit(term.rounds.lowPriorityLimit, delay)
	}
}

// maintainTerm is the leader's part of the maintenance.
func (c *Controller) maintainTerm(term *leaderTerm, now time.Time, elapsed time.Duration) {
	for machine := range term.dispatch.dirtyMachines {
		c.dispatch.sendDirect(machine)
	}
	if now.Sub(term.provisioning.lastAutoscale) > autoscaleInterval && now.After(term.leadership.reportGraceEnd) &&
		!term.stalled() {
		term.provisioning.lastAutoscale = now
		c.provisioning.runAutoscaler(term)
	}
	c.replica.model.AccrueServiceTime(elapsed)
	c.assignments.maintainAssignments(term)
	c.leadership.logFailover(term)
	c.provisioning.runProvisioner(now)
}
