package main

import (
	"fmt"
	"time"

	"fieldhill/internal/config"
	"fieldhill/wire"
)

// verdictPlan has machines of 16 CPUs, four in each zone at most.
func verdictPlan() plan {
	return plan{
		params: smallParams(
			config.Team{Name: "kolkata-north", CPUs: 64, CPUsMax: 168, GPUs: 2, GPUsMax: 8},
			config.Team{Name: "howrah-grid", CPUs: 80, CPUsMax: 272, GPUs: 8, GPUsMax: 25},
		),
		types:    []wire.MachineType{majhari()},
		capacity: func(pool) int { return 4 },
	}
}

// sickFor is how long the machines fail what they start, and sickCount how many do.
const (
	sickFor   = 6 * time.Second
	sickCount = 2
)

// playVerdict: two of six machines fail every task that they start for six seconds, while a service starts. Its
// replicas on the four others run on; those on the two have to start again once the machines are well.
func playVerdict(p *platform, trouble bool) (broken bool, err error) {
	base := service("req-000101", "howrah-grid", 6, 9)
	if !p.submit(base) {
		return false, fmt.Errorf("%s was not accepted", base.ID)
	}
	if err := p.await("the first service runs, on a machine for each of its replicas", 25*time.Second, func() bool {
		return p.placed(base)
	}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		p.makeSick(sickCount, sickFor)
	}
	live := service("req-000102", "kolkata-north", 6, 4)
	if !p.submit(live) {
		return false, fmt.Errorf("%s was not accepted", live.ID)
	}
	if trouble {
		time.Sleep(sickFor)
		p.record.say("all machines are well again")
	}
	return p.leftWaiting(live)
}

// makeSick makes machines fail every task that they start from now on for a time.
func (p *platform) makeSick(count int, duration time.Duration) {
	for _, m := range p.allMachines() {
		if m.isUp() && count > 0 {
			count--
			m.mu.Lock()
			m.sickUntil = time.Now().Add(duration)
			m.mu.Unlock()
			p.record.say("%s fails every task that it starts, for %v", m.name, duration)
		}
	}
}
