package main

import (
	"fmt"
	"net/http"
	"time"

	"fieldhill/wire"
)

const (
	// oddLead is the time from the submission of the jobs that need nothing to that of the ordinary job.
	oddLead = 3 * time.Second
	// maxWait is how long a job may be left waiting beside room once the troubles are over.
	maxWait = 90 * time.Second
	// lookInterval is the time between two looks at the deployment while a job waits.
	lookInterval = 10 * time.Second
)

// taskWithoutNeeds submits two jobs whose task takes nothing of its machine, and then an ordinary job, for which a
// machine that is up has room.
func taskWithoutNeeds(s *session) (broken bool, err error) {
	deployment := hosting.small(4)
	deployment.Types = append(deployment.Types, gpuTypes(deployment.Params.Zones)...)
	c, err := startCluster(s, deployment)
	if err != nil {
		return false, err
	}
	defer c.end()
	c.SetFetchDuration(300 * time.Millisecond)
	if err := c.awaitReady(); err != nil {
		return false, err
	}
	service := job(1, "loadcast", "kolkata-north", wire.Service, wire.Production, 3, 0)
	odd := []*wire.JobSpec{
		job(2, "meterbatch", "howrah-grid", wire.Array, wire.Low, 1, 20),
		job(3, "meterbatch", "howrah-grid", wire.Array, wire.Low, 1, 20),
	}
	ordinary := job(4, "meterbatch", "howrah-grid", wire.Array, wire.Normal, 1, 3)
	service.Types, ordinary.Types = []string{"majhari"}, []string{"majhari"}
	if err := c.submit(service); err != nil {
		return false, err
	}
	up := func() bool { return c.runningTasks(service.ID) == service.Tasks }
	if err := c.await("the service runs", up); err != nil {
		return false, err
	}
	for _, spec := range odd {
		if s.trouble {
			spec.CPUs, spec.MemoryGB = 0, 0
		}
		code := c.Submit(spec) // 400 would be an answer, too
		c.rec.line("submit %s, which takes cores %.1f, gpus %.1f, mem_gb %.1f: %d",
			spec.ID, spec.CPUs, spec.GPUs, spec.MemoryGB, code)
	}
	time.Sleep(oddLead)
	if err := c.submit(ordinary); err != nil {
		return false, err
	}
	return c.watchWaiting(ordinary, service)
}

// gpuTypes returns the other two machine types of the heating utility.
func gpuTypes(zones []string) []wire.MachineType {
	return []wire.MachineType{
		{Name: "tapkhana", CPUs: 16, GPUs: 2, MemoryGB: 128, CacheGB: 60, FetchGBPerS: 1, Price: 6.98, SpotPrice: 2.35,
			BootS: 1.5, Zones: zones},
		{Name: "boroghor", CPUs: 48, GPUs: 4, MemoryGB: 384, CacheGB: 60, FetchGBPerS: 1, Price: 14.86, SpotPrice: 5.24,
			BootS: 1.5, Zones: zones},
	}
}

// watchWaiting watches an accepted job until it was started, or a machine that fits has had room for it for maxWait,
// which breaks the rule. The troubles are over when it is called.
func (c *cluster) watchWaiting(spec, service *wire.JobSpec) (broken bool, err error) {
	over := time.Now()
	roomSince, nextLook := over, over
	for c.Checker.StartsOf(spec.ID) == 0 {
		select {
		case <-c.ctx.Done():
			return false, fmt.Errorf("out of time")
		case <-time.After(100 * time.Millisecond):
		}
		now := time.Now()
		if !c.hasRoom(spec) {
			roomSince = now
		}
		if now.After(nextLook) {
			nextLook = now.Add(lookInterval)
			c.look(spec, service)
		}
		if waited := now.Sub(roomSince); waited > maxWait {
			c.look(spec, service)
			c.rec.line("left waiting: %s was not started for %.1f s, while there was room and all troubles were over",
				spec.ID, waited.Seconds())
			return true, nil
		}
	}
	c.rec.line("%s was started %.1f s after the troubles were over", spec.ID, time.Since(over).Seconds())
	return false, nil
}

// hasRoom reports whether a machine that a job allows is up and has room for one of its tasks, as its agent last
// reported. Every task of the review's jobs counts with the needs of that job, which are the highest.
func (c *cluster) hasRoom(spec *wire.JobSpec) bool {
	for _, worker := range c.Cloud.Workers() {
		heartbeat := worker.LastHeartbeat()
		if heartbeat == nil || spec.Zone != nil && *spec.Zone != worker.Zone {
			continue
		}
		free := 0.0
		for _, machineType := range c.types {
			if machineType.Name == worker.Type && (spec.Types == nil || spec.Types[0] == worker.Type) {
				free = machineType.CPUs
			}
		}
		for _, t := range heartbeat.Tasks {
			if t.State != wire.TaskExited {
				free -= spec.CPUs
			}
		}
		if free >= spec.CPUs {
			return true
		}
	}
	return false
}

// look records which controllers are ready, what a user is told of a job, the service and the machines.
func (c *cluster) look(spec, service *wire.JobSpec) {
	leader := c.leader()
	for i := range controllers {
		c.rec.line("controller %d: GET /ready: %s", i, c.ready(i))
	}
	c.rec.line("the state service names %q as the leader", leader)
	c.poll(0, spec.ID)
	c.rec.line("%d of %d replicas of %s are on machines", c.runningTasks(service.ID), service.Tasks, service.ID)
	for _, worker := range c.Cloud.Workers() {
		heartbeat := worker.LastHeartbeat()
		if heartbeat == nil {
			continue
		}
		tasks := []string{}
		for _, t := range heartbeat.Tasks {
			tasks = append(tasks, t.Task+" "+t.State)
		}
		c.rec.line("machine %s (%s, %s), session %d: tasks %v",
			worker.Name, worker.Type, worker.Zone, heartbeat.AgentEpoch, tasks)
	}
}

// ready returns the answer of a controller to a health check, as the load balancer sees it.
func (c *cluster) ready(controller int) string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.UserAddr(controller) + wire.PathReady)
	if err != nil {
		return "no answer within 1 s"
	}
	_ = response.Body.Close()
	return response.Status
}
