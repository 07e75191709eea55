package scale

import (
	"context"
	"fmt"
	"time"
)

// Options are how a run is carried out.
type Options struct {
	Program      string // the controllers' program
	Dir          string // for their settings and logs
	FirstNetByte int    // second byte of the first region's loopback addresses; 0: the usual
	// OnProgress, if not nil, is told how the run goes.
	OnProgress func(string)
}

const (
	progressInterval    = 5 * time.Second
	memoryCheckInterval = 2 * time.Second
	// maxLagMillis is how late hollow workers may be, and minIdleShare how much of the machine must be idle, for the
	// figures to be the service's.
	maxLagMillis  = 50.0
	minIdleShare  = 0.05
	maxStealShare = 0.1
)

// Run carries out a profile. It ends by itself, and ends all that it started, also when the context does.
func Run(ctx context.Context, p Profile, o Options) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var regions []*region
	defer func() {
		cancel(nil)
		for _, r := range regions {
			for i := range p.ControllersPerRegion {
				r.environment.Crash(i)
			}
		}
	}()
	if o.FirstNetByte == 0 {
		o.FirstNetByte = defaultNetByte
	}
	for i := range p.Regions {
		r, err := startRegion(ctx, &p, i, o.FirstNetByte+i, o.Program, o.Dir)
		if r != nil && r.environment != nil {
			regions = append(regions, r)
		}
		if err != nil {
			return nil, err
		}
	}
	lag := measureTimerLag(ctx)
	startedAt := time.Now()
	for _, r := range regions {
		go r.generateLoad(ctx, startedAt)
	}
	go watchMemory(ctx, cancel, regions)
	if err := waitReporting(ctx, regions, time.Duration(p.WarmupS*float64(time.Second)), o.OnProgress); err != nil {
		return nil, err
	}
	for _, r := range regions {
		r.measuring.Store(true)
	}
	lag.reset()
	before, cpuTimesBefore := takeSnapshots(ctx, regions), readCPUTimes()
	cpuBefore, _ := ownUsage()
	measuredFrom := time.Now()
	if err := waitReporting(ctx, regions, time.Duration(p.RunS*float64(time.Second)), o.OnProgress); err != nil {
		return nil, err
	}
	after, cpuTimesAfter := takeSnapshots(ctx, regions), readCPUTimes()
	cpuAfter, resident := ownUsage()
	seconds := time.Since(measuredFrom).Seconds()
	report := &Report{Profile: p, MeasuredS: seconds}
	workers := 0
	for i, r := range regions {
		summary := r.summarize(before[i], after[i])
		workers += summary.Workers.Up
		report.Regions = append(report.Regions, summary)
		for _, b := range r.environment.Checker.Violations() {
			report.Violations = append(report.Violations, fmt.Sprintf("region %d: %s", i, b))
		}
	}
	total := max(1, cpuTimesAfter.total-cpuTimesBefore.total)
	report.Machine = Machine{
		HollowCPU:    (cpuAfter - cpuBefore) / seconds,
		HollowMB:     resident,
		HollowLagP99: lag.p99Millis(),
		Idle:         (cpuTimesAfter.idle - cpuTimesBefore.idle) / total,
		Steal:        (cpuTimesAfter.steal - cpuTimesBefore.steal) / total,
		CPUPerWorker: (cpuAfter - cpuBefore) / seconds / float64(max(1, workers)),
	}
	report.MachineLimit = limitingCause(report.Machine)
	return report, nil
}

func limitingCause(m Machine) string {
	switch {
	case m.HollowLagP99 > maxLagMillis:
		return fmt.Sprintf("hollow workers' timers are %.0f ms late", m.HollowLagP99)
	case m.Idle < minIdleShare:
		return fmt.Sprintf("only %.0f%% of its processors are idle", 100*m.Idle)
	case m.Steal > maxStealShare:
		return fmt.Sprintf("%.0f%% of its processors' time is taken by others", 100*m.Steal)
	}
	return ""
}

func takeSnapshots(ctx context.Context, regions []*region) (all []snapshot) {
	for _, r := range regions {
		all = append(all, r.takeSnapshot(ctx))
	}
	return all
}

// watchMemory ends a run that takes too much of the machine.
func watchMemory(ctx context.Context, cancel context.CancelCauseFunc, regions []*region) {
	for ctx.Err() == nil {
		wait(ctx, memoryCheckInterval)
		_, resident := ownUsage()
		for _, r := range regions {
			for i := range r.profile.ControllersPerRegion {
				resident += scrapeMetrics(ctx, metricsAddr(r.netByte, i))["process_resident_memory_bytes"] / bytesPerMB
			}
		}
		if err := checkMemoryShare(resident); err != nil {
			cancel(err)
			return
		}
	}
}

// waitReporting waits for a while, and says how it goes meanwhile.
func waitReporting(ctx context.Context, regions []*region, duration time.Duration, onProgress func(string)) error {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		wait(ctx, min(progressInterval, time.Until(deadline)))
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if onProgress == nil {
			continue
		}
		workers, running, starts, violations := 0, 0, 0, 0
		for _, r := range regions {
			workers += len(r.environment.Cloud.Workers())
			running += r.environment.Checker.Tasks()
			starts += r.environment.Checker.Starts()
			violations += len(r.environment.Checker.Violations())
		}
		onProgress(
			fmt.Sprintf(
				"%d workers, %d tasks on them, %d starts so far, %d rules broken",
				workers,
				running,
				starts,
				violations,
			),
		)
	}
	return nil
}
