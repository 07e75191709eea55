package controller

import "time"

const (
	minRoundGap    = 40 * time.Millisecond  // minimum of roundGap
	maxRoundGap    = 500 * time.Millisecond // maximum of roundGap
	roundGapFactor = 5                      // roundGap as a multiple of the duration of the last round

	// stallThreshold is the time between two maintenance runs above which the event loop counts as stalled: the stall
	// is logged, and the detection of this controller's own isolation starts anew.
	stallThreshold = 4 * maintenanceInterval
	// toleratedDelay is the delay of a maintenance run above which the delay is excluded from the time for which
	// machines are silent.
	toleratedDelay = 100 * time.Millisecond
	// autoscaleInterval is the minimum time between two runs of the autoscaler.
	autoscaleInterval = 500 * time.Millisecond
)

// runRound implements loopHandler.
func (c *Controller) runRound(regular bool) { c.rounds.runScheduler(regular) }

// afterIteration implements loopHandler.
func (c *Controller) afterIteration() (wait time.Duration, pending bool) {
	c.commits.flush()
	c.forward.publish()
	return c.commits.batchWait()
}

// runMaintenance implements loopHandler: it runs the periodic maintenance of each component.
func (c *Controller) runMaintenance() {
	now := time.Now()
	elapsed := c.loop.recordMaintenance(now)
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

// observeDelay processes the delay of a maintenance run, which measures how busy the event loop is. The delay affects
// the admission of jobs, the detection of silent machines, and the limit on low-priority placements.
func (c *Controller) observeDelay(delay time.Duration) {
	if len(c.loop.requestQueue) == 0 { // otherwise drainRequests observes the delay of the waiting requests
		c.loop.admissionGate.ObserveWait(max(0, delay), c.now())
	}
	if delay > toleratedDelay {
		c.health.resetFailureDetectors(delay)
	}
	if term := c.term.ownTerm; term != nil {
		term.rounds.lowPriorityLimit = nextLowPriorityLimit(term.rounds.lowPriorityLimit, delay)
	}
}

// maintainTerm runs the maintenance that only the leader performs: it sends pending commands, runs the autoscaler and
// the provisioner, maintains the relay assignments, accounts for service time, and logs the failover.
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
