package main

import (
	"time"

	"fieldhill/wire"
)

const (
	// quickRestart is the time after which a killed controller is back in the case of copied commands.
	quickRestart = 200 * time.Millisecond
	// copiedRounds is the number of rounds of work in that case, and roundTime the length of a round.
	copiedRounds = 6
	roundTime    = 10 * time.Second
)

// copiedCommands has tasks preempted, resumed, moved from a machine that fails, and cancelled, while every direct
// command arrives once more after it was answered and the leader is killed in every other round, and back within a
// fraction of a second. The rule is broken if the checker finds any violation.
func copiedCommands(s *session) (broken bool, err error) {
	c, err := startCluster(s, hosting.small(2))
	if err != nil {
		return false, err
	}
	defer c.end()
	c.processes.restartDelay = quickRestart
	c.SetFetchDuration(300 * time.Millisecond)
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	services := job(1, "loadcast", "kolkata-north", wire.Service, wire.Production, 9, 0)
	services.Spread = true
	if err := c.submit(services); err != nil {
		return false, err
	}
	for round := range copiedRounds {
		if err := c.playCopiedRound(round); err != nil {
			return false, err
		}
	}
	time.Sleep(maxCopyDelay)
	for _, violation := range c.Checker.Violations() {
		broken = true
		c.rec.line("checker: %s", violation)
	}
	return broken, nil
}

// playCopiedRound submits low work that fills the machines, urgent work that preempts it, and a job that is cancelled;
// in half of the rounds it kills the leader, in the others a machine begins to fail tasks.
func (c *cluster) playCopiedRound(round int) error {
	number := 10 * (round + 1)
	low := job(number, "meterbatch", "howrah-grid", wire.Array, wire.Low, 60, 6)
	urgent := job(number+1, "pipeflow", "howrah-grid", wire.Array, wire.High, 40, 3)
	cancelled := job(number+2, "pipeflow", "howrah-grid", wire.Array, wire.High, 10, 300)
	for _, spec := range []*wire.JobSpec{low, cancelled, urgent} {
		if err := c.submit(spec); err != nil {
			return err
		}
		time.Sleep(roundTime / 5)
	}
	if round%2 == 1 {
		if err := c.killLeader(); err != nil {
			return err
		}
	} else if worker := c.machineOf(urgent.ID + "/0"); worker != nil && round == 2 {
		worker.FailAllTasks()
		c.rec.line("%s fails all tasks from now on", worker.Name)
	}
	time.Sleep(roundTime / 5)
	if _, err := c.cancel(cancelled.ID); err != nil {
		return err
	}
	time.Sleep(roundTime / 5)
	return nil
}
