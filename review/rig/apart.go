package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"fieldhill/internal/config"
	"fieldhill/wire"
)

// scarceZone has one machine to give while cloudScarce is set, and as many as the others otherwise.
const scarceZone = "asansol"

var cloudScarce atomic.Bool

// apartPlan has the largest machine type of the heat utility, each for one member of a gang, three in each zone.
func apartPlan() plan {
	cloudScarce.Store(false)
	params := smallParams(config.Team{Name: "howrah-grid", CPUs: 80, CPUsMax: 272, GPUs: 8, GPUsMax: 25})
	params.Objectives = []config.Objective{
		{Kind: "wait", Class: "loadcast", WithinS: 1, Share: 0.93},
		{Kind: "wait", Class: "pipeflow-gang", WithinS: 100, Share: 0.8},
		{Kind: "finished", Class: "pipeflow-gang", WithinS: 180, Share: 0.8},
		{Kind: "guarantee", WithinS: 10, Share: 0.96},
	}
	return plan{
		params: params,
		types: []wire.MachineType{{
			Name: "boroghor", CPUs: 48, GPUs: 4, MemoryGB: 384, CacheGB: 120, FetchGBPerS: 0.3, Price: 14.86,
			SpotPrice: 5.24, BootS: 35, Zones: []string{"asansol", "salt-lake"},
		}},
		capacity: func(k pool) int {
			switch {
			case k.spot:
				return 0
			case k.zone == scarceZone && cloudScarce.Load():
				return 1
			}
			return 3
		},
		boot: quickBoot,
	}
}

// scarceFor is how long the cloud has fewer machines to give; quickBoot is a boot time as machines have at times.
const (
	scarceFor = 15 * time.Second
	quickBoot = 2 * time.Second
)

// playApart: a gang of two in one zone is submitted while the cloud has only one machine to give in a zone.
func playApart(p *platform, trouble bool) (broken bool, err error) {
	cloudScarce.Store(trouble)
	gang := &wire.JobSpec{
		ID: "req-000301", Class: "pipeflow-gang", Team: "howrah-grid", Shape: wire.Gang, Priority: wire.High, Tasks: 2,
		CPUs: 43, GPUs: 4, MemoryGB: 310, Image: "img-301", ImageGB: 4, SameZone: true, EstimateS: 10,
	}
	if !p.submit(gang) {
		return false, fmt.Errorf("%s was not accepted", gang.ID)
	}
	if trouble {
		time.Sleep(scarceFor)
		cloudScarce.Store(false)
		p.record.say("the cloud has three machines to give in each zone again")
	}
	broken, err = p.leftWaiting(gang)
	for _, m := range p.allMachines() {
		p.record.say("%s in %s: up %v, gone %v", m.name, m.zone, m.isUp(), m.isGone())
	}
	return broken, err
}
