package main

import (
	"fmt"
	"time"

	"fieldhill/internal/config"
	"fieldhill/wire"
)

// crowdPlan has the teams, the limits and the middle machine type of the quoting cluster, as many as it has.
func crowdPlan() plan {
	params := smallParams(
		config.Team{Name: "delavnica", GPUs: 32, GPUsMax: 120},
		config.Team{Name: "pisarna", GPUs: 32, GPUsMax: 120},
		config.Team{Name: "fs-ljubljana"},
	)
	params.Zones = []string{"kranj", "skofja"}
	params.Workers = config.Workers{HeartbeatS: 3, LeaseS: 36, GangWaitS: 40, GangPeerS: 6, CancelS: 61}
	params.KVStore = config.KVStore{RPS: 200, WriteRPS: 20, ValueKB: 16, TxnOps: 16}
	params.Cloud = config.Cloud{RPS: 2, ListLagS: 3}
	params.Limits = config.Limits{CPUShare: 0.144, MemoryMB: 98, MaxSockets: 800}
	return plan{
		params: params,
		types: []wire.MachineType{{
			Name: "srednja", CPUs: 32, MemoryGB: 64, CacheGB: 70, FetchGBPerS: 0.3, Price: 1.73, SpotPrice: 0.42,
			BootS: 3, Zones: params.Zones,
		}},
		capacity: func(k pool) int {
			return map[pool]int{{"srednja", "kranj", false}: 3, {"srednja", "skofja", false}: 4}[k]
		},
	}
}

// The owners' service has ownReplicas replicas. It is watched for ownTime. maxLost is the number of its replicas that
// may be lost before the rule counts as broken; without the guest none is.
const (
	ownReplicas = 4
	ownTime     = 85 * time.Second
	maxLost     = 1
)

// playCrowd: while a service of the owners runs, a guest submits an array of many tiny tasks of the lowest priority.
func playCrowd(p *platform, trouble bool) (broken bool, err error) {
	own := service("req-000201", "pisarna", ownReplicas, 4)
	tiny := array("req-000202", "fs-ljubljana", wire.Low, 20_000, 0.02, 60)
	tiny.MemoryGB = 0.03
	if !p.submit(own) {
		return false, fmt.Errorf("%s was not accepted", own.ID)
	}
	if err := p.await("all replicas run", 25*time.Second, func() bool { return p.placed(own) }); err != nil {
		return false, err
	}
	if trouble && !p.submit(tiny) {
		return false, fmt.Errorf("%s was not accepted", tiny.ID)
	}
	for end := time.Now().Add(ownTime); time.Now().Before(end) && p.ctx.Err() == nil; {
		p.poll(own)
		t := p.tally(tiny)
		p.record.add("%s: %d tasks on machines, %d done, %d lost", tiny.ID, t.present, t.done, t.ends)
		time.Sleep(pollInterval)
	}
	returned, unsent := 0, 0
	for _, m := range p.allMachines() {
		m.mu.Lock()
		unsent += m.oversize
		if m.gone {
			returned++
		}
		m.mu.Unlock()
	}
	p.record.say("%d machines were returned; %d reports were too large to be sent", returned, unsent)
	t, guests := p.tally(own), p.tally(tiny)
	p.record.say("%s: %d of %d replicas up, %d lost", own.ID, t.present, own.Tasks, t.ends)
	p.record.say("%s: %d of %d tasks done, %d starts, %d of them lost",
		tiny.ID, guests.done, tiny.Tasks, guests.starts, guests.ends)
	return t.ends > maxLost, nil
}
