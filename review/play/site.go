package main

import (
	"fmt"
	"time"

	"fieldhill/internal/config"
	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// site is what differs between the deployments of the heating utility that the cases take their settings from.
type site struct {
	workers config.Workers
	store   config.KVStore
	cloud   config.Cloud
	limits  config.Limits
}

// hosting has the settings of uttaptap-hosting and uttaptap-hosting-ops, and hunt those of uttaptap-hosting-hunt.
var (
	hosting = site{
		workers: config.Workers{HeartbeatS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 5, CancelS: 49},
		store:   config.KVStore{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		cloud:   config.Cloud{RPS: 8, ListLagS: 6},
		limits:  config.Limits{CPUShare: 0.48, MemoryMB: 179, MaxSockets: 2500},
	}
	hunt = site{
		workers: config.Workers{HeartbeatS: 5, LeaseS: 26.5, GangWaitS: 40, GangPeerS: 5, CancelS: 51.5},
		store:   config.KVStore{RPS: 150, WriteRPS: 30, ValueKB: 8, TxnOps: 12},
		cloud:   config.Cloud{RPS: 10, ListLagS: 6},
		limits:  config.Limits{CPUShare: 0.672, MemoryMB: 271, MaxSockets: 3526},
	}
)

// restartDelay is how long a controller takes to come back after its end.
const restartDelay = 5 * time.Second

// small returns a small deployment with the settings and zones of a site, two of its machine types and two of its
// teams. Machines boot quickly, so that a case ends in time, and there are perZone of each type in each zone, none of
// them cheap ones.
func (s *site) small(perZone int) emulator.Deployment {
	zones := []string{"salt-lake", "rajarhat", "asansol"}
	machineType := func(name string, cpus, memory, price float64) wire.MachineType {
		return wire.MachineType{
			Name: name, CPUs: cpus, MemoryGB: memory, CacheGB: 60, FetchGBPerS: 1, Price: price, SpotPrice: price / 3,
			BootS: 1.5, Zones: zones,
		}
	}
	return emulator.Deployment{
		Params: config.Params{
			InitialSize: 3,
			Zones:       zones,
			TimeBoundMS: 1000,
			Teams: []config.Team{
				{Name: "kolkata-north", CPUs: 64, CPUsMax: 168},
				{Name: "howrah-grid", CPUs: 80, CPUsMax: 272},
			},
			Objectives: []config.Objective{{Kind: "finished", Class: "meterbatch", WithinS: 150, Share: 0.92}},
			Workers:    s.workers,
			KVStore:    s.store,
			Cloud:      s.cloud,
			Limits:     s.limits,
		},
		Types: []wire.MachineType{machineType("chhota", 4, 16, 0.18), machineType("majhari", 16, 64, 0.62)},
		MaxMachines: func(_ string, spot bool) int {
			if spot {
				return 0
			}
			return perZone
		},
		PageSize: wire.MaxList,
	}
}

// job returns a job of the heating utility whose tasks take one CPU.
func job(number int, class, team, shape, priority string, tasks int, estimateS float64) *wire.JobSpec {
	return &wire.JobSpec{
		ID: fmt.Sprintf("req-%06d", number), Class: class, Team: team, Shape: shape, Priority: priority, Tasks: tasks,
		CPUs: 1, MemoryGB: 2.5, Image: "img-" + class, ImageGB: 1.5, EstimateS: estimateS,
	}
}
