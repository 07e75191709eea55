package main

import (
	"fmt"
	"os"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

const (
	// leaderPace is the time between two ends of a leader: ten in two minutes.
	leaderPace = 12 * time.Second
	// firstKill is the time from the answer to the cancellation to the first end of a leader.
	firstKill = 2 * time.Second
	// hang is longer than the case: the machine goes on after it, or never.
	hang = 10 * time.Minute
	// checkSlack is what the stand-ins' own clocks and checks may be late by.
	checkSlack = time.Second
)

// cancelledOnHungMachine cancels a job whose machine hangs, while leaders change as often as ten times in two minutes.
func cancelledOnHungMachine(s *session) (broken bool, err error) {
	cancelS := config.Seconds(hunt.workers.CancelS)
	c, err := startCluster(s, hunt.small(2))
	if err != nil {
		return false, err
	}
	defer c.end()
	c.SetFetchDuration(300 * time.Millisecond)
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	services := job(1, "loadcast", "kolkata-north", wire.Service, wire.Production, 3, 0)
	services.Spread = true
	batch := job(2, "meterbatch", "howrah-grid", wire.Array, wire.Low, 1, 600)
	for _, spec := range []*wire.JobSpec{services, batch} {
		if err := c.submit(spec); err != nil {
			return false, err
		}
	}
	if err := c.await("all tasks run", func() bool {
		return c.runningTasks(services.ID) == 3 && c.machineOf(batch.ID+"/0") != nil
	}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // the leader hears of it
	machine := c.machineOf(batch.ID + "/0")
	c.rec.line("%s/0 runs on %s in %s", batch.ID, machine.Name, machine.Zone)
	if s.trouble {
		machine.Hang(hang)
		c.rec.line("%s hangs", machine.Name)
	}
	told, err := c.cancel(batch.ID)
	if err != nil {
		return false, err
	}
	if s.trouble && os.Getenv("LEADERS") != "0" {
		go c.endLeaders(told.Add(firstKill), told.Add(cancelS))
	}
	return c.watchCancelled(batch.ID, machine, told, cancelS)
}

// endLeaders kills whichever controller leads, every leaderPace from a time until another one.
func (c *cluster) endLeaders(first, until time.Time) {
	for at := first; at.Before(until); at = at.Add(leaderPace) {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		if err := c.killLeader(); err != nil {
			c.rec.line("%v", err)
		}
	}
}

// watchCancelled watches a cancelled job until its last task is gone, or cancel_s and some seconds have passed since
// its user was told. The rule is broken if a task is on a machine after cancel_s.
func (c *cluster) watchCancelled(
	id string, machine *emulator.Worker, told time.Time, cancelS time.Duration,
) (broken bool, err error) {
	for {
		select {
		case <-c.ctx.Done():
			return broken, fmt.Errorf("out of time")
		case <-time.After(100 * time.Millisecond):
		}
		since := time.Since(told)
		tasks := c.runningTasks(id)
		switch {
		case tasks == 0:
			c.rec.line("no task of %s is on a machine, %.1f s after its user was told", id, since.Seconds())
			return broken, nil
		case since > cancelS+checkSlack && !broken:
			broken = true
			c.rec.line("ran_cancelled: %s/0 is on %s %.1f s after its user was told, cancel_s is %.1f",
				id, machine.Name, since.Seconds(), cancelS.Seconds())
			c.poll(0, id)
		case since > cancelS+5*checkSlack:
			for _, violation := range c.Checker.Violations() {
				c.rec.line("checker: %s", violation)
			}
			return broken, nil
		}
	}
}
