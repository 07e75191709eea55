package scale

import (
	"context"
	"fmt"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// generateLoad submits what the profile asks for until the context ends; the run began at a time.
func (r *region) generateLoad(ctx context.Context, startedAt time.Time) {
	r.submitBaseLoad(ctx)
	go r.submitUrgent(ctx)
	go r.injectFailures(ctx)
	go r.submitFinishedBefore(ctx)
	r.submitShortTasks(ctx, startedAt)
}

// submitBaseLoad keeps every machine from being released: a long task on each, or gangs on those with accelerators.
func (r *region) submitBaseLoad(ctx context.Context) {
	if n := r.cpuMachines(); n > 0 {
		s := r.newJob(baseClass, wire.High, baseTeam, n, baseTaskCPUs, outlivesRunS)
		s.Types = []string{cpuType}
		go r.runUser(ctx, s)
	}
	left := r.gpuMachines()
	if len(r.profile.Gangs.Sizes) == 0 && left > 0 {
		s := r.newJob(baseClass, wire.High, baseTeam, left, baseTaskCPUs, outlivesRunS)
		s.Types = []string{gpuType}
		go r.runUser(ctx, s)
		return
	}
	for k := 0; left > 0; k++ {
		size := min(left, r.profile.Gangs.Sizes[k%len(r.profile.Gangs.Sizes)])
		left -= size
		go r.submitGangs(ctx, size)
	}
}

// submitGangs submits a gang, and another of its size whenever one is over.
func (r *region) submitGangs(ctx context.Context, size int) {
	for ctx.Err() == nil {
		s := r.newJob(gangClass, wire.High, baseTeam, size, baseTaskCPUs, r.profile.Gangs.RunS/runtimeFactor)
		s.Shape = wire.Gang
		s.Types = []string{gpuType}
		s.GPUs = 4
		s.CheckpointIntervalS = 10
		s.CheckpointWriteS = 1
		r.runUser(ctx, s)
	}
}

// submitInterval is how often the short tasks that are due are submitted.
const submitInterval = 50 * time.Millisecond

// submitShortTasks submits arrays of short tasks at the rate that is asked for.
func (r *region) submitShortTasks(ctx context.Context, startedAt time.Time) {
	p := r.profile
	machines := float64(r.cpuMachines() + r.gpuMachines())
	running := float64(p.TasksRunning-p.Workers) / float64(p.Regions)
	steadyRate := p.rate(r.index, p.WarmupS+p.RunS/2)
	if running < 1 || steadyRate <= 0 {
		return
	}
	cpus := churnShare * (machineCPUs - baseTaskCPUs) * machines / running
	runS := running / steadyRate
	dueTasks := 0.0
	last := time.Now()
	for k := 0; ctx.Err() == nil; {
		wait(ctx, submitInterval)
		now := time.Now()
		dueTasks += p.rate(r.index, now.Sub(startedAt).Seconds()) * now.Sub(last).Seconds()
		last = now
		for tasksPerJob := float64(p.Workload.TasksPerJob); dueTasks >= tasksPerJob; dueTasks -= tasksPerJob {
			team := teamName(k % p.Teams)
			s := r.newJob(churnClass, wire.Normal, team, p.Workload.TasksPerJob, cpus, runS/runtimeFactor)
			if r.randomFloat() < p.Workload.ColdShare {
				s.Image = "cold-" + s.ID
			}
			k++
			go r.runUser(ctx, s)
		}
	}
}

// submitUrgent submits jobs of one task and high priority.
func (r *region) submitUrgent(ctx context.Context) {
	rate := r.profile.Workload.UrgentPerS / float64(r.profile.Regions)
	if rate <= 0 {
		return
	}
	for k := 0; ctx.Err() == nil; k++ {
		wait(ctx, time.Duration(float64(time.Second)/rate))
		go r.runUser(ctx, r.newJob(urgentClass, wire.High, teamName(k%r.profile.Teams), 1, 0.05, 5))
	}
}

// finishedJobsPerS is how many jobs a second are submitted to be known as finished.
const finishedJobsPerS = 120

// submitFinishedBefore submits the jobs that are to be over before the measurement.
func (r *region) submitFinishedBefore(ctx context.Context) {
	for range r.profile.share(r.profile.FinishedBefore, r.index) {
		wait(ctx, time.Second/finishedJobsPerS)
		go r.runUser(ctx, r.newJob(shortClass, wire.Low, teamName(0), 1, 0.01, 0.1))
	}
}

// injectFailures injects the failures that the profile asks for, each kind at random moments.
func (r *region) injectFailures(ctx context.Context) {
	f, regions := r.profile.Failures, float64(r.profile.Regions)
	for _, kind := range []struct {
		perMinute float64
		happen    func()
	}{
		{f.WorkerStops, func() { r.reclaim(r.sampleWorkers(1, "")) }},
		{f.WorkerRestarts, func() {
			for _, w := range r.sampleWorkers(1, "") {
				w.Reboot(false)
			}
		}},
		{f.Racks, func() { r.reclaim(r.sampleWorkers(f.RackSize, r.randomZone())) }},
		{f.Zones, func() { r.reclaim(r.sampleWorkers(r.profile.Workers, r.randomZone())) }},
		{f.Controllers, func() {
			controller := int(r.randomFloat() * float64(r.profile.ControllersPerRegion))
			r.supervisor.Kill(emulator.ControllerName(controller))
		}},
	} {
		if kind.perMinute <= 0 {
			continue
		}
		go func() {
			wait(ctx, seconds(r.profile.WarmupS))
			for ctx.Err() == nil {
				wait(ctx, time.Duration(float64(time.Minute)*regions/kind.perMinute*2*r.randomFloat()))
				if ctx.Err() == nil {
					kind.happen()
				}
			}
		}()
	}
}

func (r *region) randomZone() string {
	return fmt.Sprintf("zone-%d-%d", r.index, int(r.randomFloat()*float64(r.profile.ZonesPerRegion)))
}

// sampleWorkers draws up to so many machines that are up, of one zone unless it is "".
func (r *region) sampleWorkers(n int, zone string) (sample []*emulator.Worker) {
	workers := r.environment.Cloud.Workers()
	offset := int(r.randomFloat() * float64(len(workers)))
	for i := range workers {
		w := workers[(offset+i)%len(workers)]
		if len(sample) < n && (zone == "" || w.Zone == zone) {
			sample = append(sample, w)
		}
	}
	return sample
}

// reclaim ends machines without notice.
func (r *region) reclaim(workers []*emulator.Worker) {
	for _, w := range workers {
		r.environment.Cloud.Reclaim(w.Name)
	}
}
