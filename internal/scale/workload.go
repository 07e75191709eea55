package scale

import (
	"context"
	"fmt"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/wire"
)

// generateLoad submits the profile's workload and injects its failures until the context ends. startedAt is the start
// of the run.
func (r *region) generateLoad(ctx context.Context, startedAt time.Time) {
	r.submitBaseLoad(ctx)
	go r.submitUrgent(ctx)
	go r.injectFailures(ctx)
	go r.submitFinishedBefore(ctx)
	r.submitShortTasks(ctx, startedAt)
}

// submitBaseLoad submits a long-running task for each machine, or gangs for the GPU machines, so that no machine is
// released as idle.
func (r *region) submitBaseLoad(ctx context.Context) {
	if n := r.cpuMachines(); n > 0 {
		s := r.newJob(baseClass, wire.High, baseTeam, n, baseTaskCPUs, baseRuntimeS)
		s.Types = []string{cpuType}
		go r.simulateUser(ctx, s)
	}
	remaining := r.gpuMachines()
	if len(r.profile.Gangs.Sizes) == 0 && remaining > 0 {
		s := r.newJob(baseClass, wire.High, baseTeam, remaining, baseTaskCPUs, baseRuntimeS)
		s.Types = []string{gpuType}
		go r.simulateUser(ctx, s)
		return
	}
	for k := 0; remaining > 0; k++ {
		size := min(remaining, r.profile.Gangs.Sizes[k%len(r.profile.Gangs.Sizes)])
		remaining -= size
		go r.submitGangs(ctx, size)
	}
}

// submitGangs submits a gang, and another one of the same size each time the previous one ends.
func (r *region) submitGangs(ctx context.Context, size int) {
	for ctx.Err() == nil {
		s := r.newJob(gangClass, wire.High, baseTeam, size, baseTaskCPUs, r.profile.Gangs.RunS/meanRuntimeFactor)
		s.Shape = wire.Gang
		s.Types = []string{gpuType}
		s.GPUs = 4
		s.CheckpointIntervalS = 10
		s.CheckpointWriteS = 1
		r.simulateUser(ctx, s)
	}
}

// submitInterval is the interval at which due short tasks are submitted.
const submitInterval = 50 * time.Millisecond

// submitShortTasks submits arrays of short tasks at the profile's start rate.
func (r *region) submitShortTasks(ctx context.Context, startedAt time.Time) {
	p := r.profile
	machines := float64(r.cpuMachines() + r.gpuMachines())
	running := float64(p.TasksRunning-p.Workers) / float64(p.Regions)
	steadyRate := p.startRate(r.index, p.WarmupS+p.RunS/2)
	if running < 1 || steadyRate <= 0 {
		return
	}
	cpus := churnShare * (machineCPUs - baseTaskCPUs) * machines / running
	runS := running / steadyRate
	dueTasks := 0.0
	last := time.Now()
	for k := 0; ctx.Err() == nil; {
		sleep(ctx, submitInterval)
		now := time.Now()
		dueTasks += p.startRate(r.index, now.Sub(startedAt).Seconds()) * now.Sub(last).Seconds()
		last = now
		for tasksPerJob := float64(p.Workload.TasksPerJob); dueTasks >= tasksPerJob; dueTasks -= tasksPerJob {
			team := teamName(k % p.Teams)
			s := r.newJob(churnClass, wire.Normal, team, p.Workload.TasksPerJob, cpus, runS/meanRuntimeFactor)
			if r.randomFloat() < p.Workload.ColdShare {
				s.Image = "cold-" + s.ID
			}
			k++
			go r.simulateUser(ctx, s)
		}
	}
}

// submitUrgent submits high-priority jobs of one task at the profile's rate.
func (r *region) submitUrgent(ctx context.Context) {
	rate := r.profile.Workload.UrgentPerS / float64(r.profile.Regions)
	if rate <= 0 {
		return
	}
	for k := 0; ctx.Err() == nil; k++ {
		sleep(ctx, time.Duration(float64(time.Second)/rate))
		go r.simulateUser(ctx, r.newJob(urgentClass, wire.High, teamName(k%r.profile.Teams), 1, 0.05, 5))
	}
}

// finishedJobsPerS is the rate at which submitFinishedBefore submits jobs.
const finishedJobsPerS = 120

// submitFinishedBefore submits the short jobs that are to finish before the measurement begins (see
// Profile.FinishedBefore).
func (r *region) submitFinishedBefore(ctx context.Context) {
	for range r.profile.regionShare(r.profile.FinishedBefore, r.index) {
		sleep(ctx, time.Second/finishedJobsPerS)
		go r.simulateUser(ctx, r.newJob(shortClass, wire.Low, teamName(0), 1, 0.01, 0.1))
	}
}

// injectFailures injects each kind of failure at random intervals, with the profile's mean rate, from the end of the
// warm-up.
func (r *region) injectFailures(ctx context.Context) {
	f, regions := r.profile.Failures, float64(r.profile.Regions)
	for _, failure := range []struct {
		perMinute float64
		inject    func()
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
		if failure.perMinute <= 0 {
			continue
		}
		go func() {
			sleep(ctx, secondsToDuration(r.profile.WarmupS))
			for ctx.Err() == nil {
				sleep(ctx, time.Duration(float64(time.Minute)*regions/failure.perMinute*2*r.randomFloat()))
				if ctx.Err() == nil {
					failure.inject()
				}
			}
		}()
	}
}

func (r *region) randomZone() string {
	return fmt.Sprintf("zone-%d-%d", r.index, int(r.randomFloat()*float64(r.profile.ZonesPerRegion)))
}

// sampleWorkers returns up to n workers of existing machines, starting at a random one. If zone is not "", it returns
// only workers of that zone.
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

// reclaim terminates the machines of workers without notice.
func (r *region) reclaim(workers []*emulator.Worker) {
	for _, w := range workers {
		r.environment.Cloud.Reclaim(w.Name)
	}
}
