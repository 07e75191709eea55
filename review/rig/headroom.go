package main

import (
	"fmt"
	"time"

	"fieldhill/internal/config"
	"fieldhill/wire"
)

// headroomPlan has machines of 16 CPUs, more than the case needs, and the aims of the heat utility.
func headroomPlan() plan {
	params := smallParams(
		config.Team{Name: "kolkata-north", CPUs: 64, CPUsMax: 168, GPUs: 2, GPUsMax: 8},
		config.Team{Name: "howrah-grid", CPUs: 80, CPUsMax: 272, GPUs: 8, GPUsMax: 25},
	)
	params.Objectives = []config.Objective{
		{Kind: "wait", Class: "loadcast", WithinS: 1, Share: 0.93},
		{Kind: "finished", Class: "meterbatch", WithinS: 150, Share: 0.92},
		{Kind: "guarantee", WithinS: 10, Share: 0.96},
	}
	return plan{
		params: params,
		types:  []wire.MachineType{majhari()},
		capacity: func(k pool) int {
			if k.spot {
				return 0
			}
			return 10
		},
	}
}

// playHeadroom: a service of twelve replicas runs; the leader crashes, and is back five seconds later; then an array
// comes for which the cloud has machines enough.
func playHeadroom(p *platform, trouble bool) (broken bool, err error) {
	time.Sleep(4 * time.Second)
	live := service("req-000401", "kolkata-north", 12, 1)
	live.Spread = false
	if !p.submit(live) {
		return false, fmt.Errorf("%s was not accepted", live.ID)
	}
	if err := p.await("all replicas run", 20*time.Second, func() bool { return p.placed(live) }); err != nil {
		return false, err
	}
	if trouble {
		p.killLeader()
		time.Sleep(restartDelay)
	}
	batch := array("req-000402", "howrah-grid", wire.Normal, 38, 1, 300)
	batch.Class = "meterbatch"
	if !p.submit(batch) {
		return false, fmt.Errorf("%s was not accepted", batch.ID)
	}
	return p.leftWaiting(batch)
}
