package main

import (
	"net/http"
	"time"

	"fieldhill/wire"
)

const (
	// repeatedKills is the number of times that the leader is killed in the case of repeated submissions, and
	// repeatedJobs the number of jobs submitted after each.
	repeatedKills = 3
	repeatedJobs  = 40
	// repeatedPause is the pause between two of these jobs, which come for longer than an election takes.
	repeatedPause = 120 * time.Millisecond
)

// repeatedSubmissions kills the leader again and again, submits jobs to one controller meanwhile, and each at once to
// another one as well. The rule is broken if the checker finds any violation, such as a repeat that is answered as new.
func repeatedSubmissions(s *session) (broken bool, err error) {
	c, err := startCluster(s, hosting.small(2))
	if err != nil {
		return false, err
	}
	defer c.end()
	c.SetFetchDuration(300 * time.Millisecond)
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	answers := map[int]int{}
	for kill := range repeatedKills {
		if s.trouble {
			if err := c.killLeader(); err != nil {
				return false, err
			}
		}
		for number := range repeatedJobs {
			c.submitTwice(job(1000*(kill+1)+number, "meterbatch", "howrah-grid", wire.Array, wire.Low, 1, 1), answers)
			time.Sleep(repeatedPause)
		}
	}
	time.Sleep(roundTime)
	c.rec.line("answers to repeated submissions, by status: %v", answers)
	for _, violation := range c.Checker.Violations() {
		broken = true
		c.rec.line("checker: %s", violation)
	}
	return broken, nil
}

// submitTwice submits a job to one controller after the other until one accepts it, and then at once to the next one.
// It counts the answers to the repeat by their status.
func (c *cluster) submitTwice(spec *wire.JobSpec, answers map[int]int) {
	c.Checker.RegisterJob(spec)
	body, err := wire.Marshal(spec)
	if err != nil {
		panic(err)
	}
	for i := range controllers {
		code, _ := c.RequestAt(i, "submit", spec.ID, body)
		if code != http.StatusCreated && code != http.StatusOK {
			continue
		}
		code, _ = c.RequestAt((i+1)%controllers, "submit", spec.ID, body)
		answers[code]++
		return
	}
}
