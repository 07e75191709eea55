package scale

import (
	"context"
	"fmt"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// load submits what the profile asks for until the context ends; the run began at a time.
func (r *region) load(ctx context.Context, began time.Time) {
	r.base(ctx)
	go r.urgent(ctx)
	go r.fail(ctx)
	go r.short(ctx)
	r.churn(ctx, began)
}

// base keeps every machine rented: a long task on each, or gangs on those with accelerators.
func (r *region) base(ctx context.Context) {
	if n := r.cpuMachines(); n > 0 {
		s := r.job(baseClass, wire.High, baseTeam, n, baseCPUs, longS)
		s.Types = []string{cpuType}
		go r.user(ctx, s, nil)
	}
	left := r.gpuMachines()
	if len(r.p.Gangs.Sizes) == 0 && left > 0 {
		s := r.job(baseClass, wire.High, baseTeam, left, baseCPUs, longS)
		s.Types = []string{gpuType}
		go r.user(ctx, s, nil)
		return
	}
	for k := 0; left > 0; k++ {
		size := min(left, r.p.Gangs.Sizes[k%len(r.p.Gangs.Sizes)])
		left -= size
		go r.gang(ctx, size)
	}
}

// gang submits a gang, and another of its size whenever one is over.
func (r *region) gang(ctx context.Context, size int) {
	for ctx.Err() == nil {
		s := r.job(gangClass, wire.High, baseTeam, size, baseCPUs, r.p.Gangs.RunS/runsTimes)
		s.Shape, s.Types, s.GPUs, s.CheckpointS, s.SaveS = wire.Gang, []string{gpuType}, 4, 10, 1
		r.user(ctx, s, nil)
	}
}

// churn submits arrays of short tasks at the rate that is asked for.
func (r *region) churn(ctx context.Context, began time.Time) {
	p := r.p
	machines := float64(r.cpuMachines() + r.gpuMachines())
	running := float64(p.TasksRunning-p.Workers) / float64(p.Regions)
	steady := p.rate(r.index, p.WarmS+p.RunS/2)
	if running < 1 || steady <= 0 {
		return
	}
	cpus := usedShare * (machineCPUs - baseCPUs) * machines / running
	runS := running / steady
	due := 0.0
	last := time.Now()
	for k := 0; ctx.Err() == nil; {
		wait(ctx, 50*time.Millisecond)
		now := time.Now()
		due += p.rate(r.index, now.Sub(began).Seconds()) * now.Sub(last).Seconds()
		last = now
		for per := float64(p.Workload.TasksPerJob); due >= per; due -= per {
			s := r.job(churnClass, wire.Normal, team(k%p.Teams), p.Workload.TasksPerJob, cpus, runS/runsTimes)
			if r.draw() < p.Workload.ColdShare {
				s.Image = "cold-" + s.ID
			}
			k++
			go r.user(ctx, s, nil)
		}
	}
}

// urgent submits jobs of one task and high priority.
func (r *region) urgent(ctx context.Context) {
	rate := r.p.Workload.UrgentPerS / float64(r.p.Regions)
	if rate <= 0 {
		return
	}
	for k := 0; ctx.Err() == nil; k++ {
		wait(ctx, time.Duration(float64(time.Second)/rate))
		go r.user(ctx, r.job(urgentClass, wire.High, team(k%r.p.Teams), 1, 0.05, 5), nil)
	}
}

// shortPerS is how many jobs a second are submitted to be known as finished.
const shortPerS = 120

// short submits the jobs that are to be over before the measurement.
func (r *region) short(ctx context.Context) {
	for range r.p.share(r.p.FinishedBefore, r.index) {
		wait(ctx, time.Second/shortPerS)
		go r.user(ctx, r.job(shortClass, wire.Low, team(0), 1, 0.01, 0.1), nil)
	}
}

// fail brings about the failures that the profile asks for.
func (r *region) fail(ctx context.Context) {
	f, regions := r.p.Failures, float64(r.p.Regions)
	for _, kind := range []struct {
		perMinute float64
		happen    func()
	}{
		{f.WorkerStops, func() { r.take(r.someWorkers(1, "")) }},
		{f.WorkerRestarts, func() {
			for _, w := range r.someWorkers(1, "") {
				w.Reboot(false)
			}
		}},
		{f.Racks, func() { r.take(r.someWorkers(f.RackSize, r.someZone())) }},
		{f.Zones, func() { r.take(r.someWorkers(r.p.Workers, r.someZone())) }},
		{f.Controllers, func() { r.keeper.Kill(emulator.NodeName(int(r.draw() * float64(r.p.ControllersIn)))) }},
	} {
		if kind.perMinute <= 0 {
			continue
		}
		go func() {
			wait(ctx, time.Duration(r.p.WarmS*float64(time.Second)))
			for ctx.Err() == nil {
				wait(ctx, time.Duration(float64(time.Minute)*regions/kind.perMinute*2*r.draw()))
				if ctx.Err() == nil {
					kind.happen()
				}
			}
		}()
	}
}

func (r *region) someZone() string {
	return fmt.Sprintf("zone-%d-%d", r.index, int(r.draw()*float64(r.p.ZonesEach)))
}

// someWorkers draws up to so many machines that are up, of one zone unless it is "".
func (r *region) someWorkers(n int, zone string) (some []*emulator.Worker) {
	up := r.world.Cloud.Up()
	at := int(r.draw() * float64(len(up)))
	for i := range up {
		w := up[(at+i)%len(up)]
		if len(some) < n && (zone == "" || w.Zone == zone) {
			some = append(some, w)
		}
	}
	return some
}

// take ends machines without notice.
func (r *region) take(workers []*emulator.Worker) {
	for _, w := range workers {
		r.world.Cloud.Take(w.Name)
	}
}
