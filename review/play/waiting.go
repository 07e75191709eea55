package main

import (
	"time"

	"fieldhill/wire"
)

// mistakeTime is how long users take to cancel the jobs that they submitted with a mistake.
const mistakeTime = 12 * time.Second

// leftWaiting submits jobs with a mistake that may run on one machine alone, which also runs a service, and has their
// users cancel them. Another job that fits the machine is submitted then.
func leftWaiting(s *session) (broken bool, err error) {
	deployment := hosting.small(1)
	c, err := startCluster(s, deployment)
	if err != nil {
		return false, err
	}
	defer c.end()
	c.SetFetchDuration(300 * time.Millisecond)
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	service := job(1, "loadcast", "kolkata-north", wire.Service, wire.Production, 1, 0)
	first := job(2, "meterbatch", "howrah-grid", wire.Array, wire.Normal, 1, 3)
	second := job(3, "meterbatch", "howrah-grid", wire.Array, wire.Normal, 1, 3)
	last := job(4, "meterbatch", "howrah-grid", wire.Array, wire.Normal, 1, 3)
	zone := deployment.Params.Zones[0]
	for _, spec := range []*wire.JobSpec{service, first, second, last} {
		spec.Zone, spec.Types = &zone, []string{"majhari"}
	}
	if s.trouble {
		c.FailJob(first.ID)
		c.FailJob(second.ID)
		c.rec.line("%s and %s are submitted with a mistake: they fail on every machine", first.ID, second.ID)
	}
	for _, spec := range []*wire.JobSpec{service, first, second} {
		if err := c.submit(spec); err != nil {
			return false, err
		}
	}
	begun := func() bool { return c.Checker.StartsOf(first.ID) > 0 && c.Checker.StartsOf(second.ID) > 0 }
	if err := c.await("the jobs were started", begun); err != nil {
		return false, err
	}
	if s.trouble {
		time.Sleep(mistakeTime)
		for _, spec := range []*wire.JobSpec{first, second} {
			if _, err := c.cancel(spec.ID); err != nil {
				return false, err
			}
		}
	}
	if err := c.submit(last); err != nil {
		return false, err
	}
	return c.watchWaiting(last, service)
}
