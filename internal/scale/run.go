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
	FirstNetByte int    // second byte of the first region's loopback addresses; 0: defaultNetByte
	// OnProgress, if not nil, is called with a line for people every progressInterval.
	OnProgress func(string)
}

const (
	progressInterval    = 5 * time.Second
	memoryCheckInterval = 2 * time.Second
	// For the figures to be the service's, hollow workers may be at most so late, so much of the machine must be idle,
	// and so much of it may be taken by others.
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
	regions, err := startRegions(ctx, &p, o)
	defer func() {
		cancel(nil)
		for _, r := range regions {
			for i := range p.ControllersPerRegion {
				r.environment.Crash(i)
			}
		}
	}()
	if err != nil {
		return nil, err
	}
	lag := measureTimerLag(ctx)
	startedAt := time.Now()
	for _, r := range regions {
		go r.generateLoad(ctx, startedAt)
	}
	go watchMemory(ctx, cancel, regions)
	if err := waitReporting(ctx, regions, seconds(p.WarmupS), o.OnProgress); err != nil {
		return nil, err
	}
	for _, r := range regions {
		r.measuring.Store(true)
	}
	lag.reset()
	before := readUsage(ctx, regions)
	if err := waitReporting(ctx, regions, seconds(p.RunS), o.OnProgress); err != nil {
		return nil, err
	}
	after := readUsage(ctx, regions)
	return newReport(p, regions, before, after, lag), nil
}

// startRegions starts all regions. With an error it returns those that run already.
func startRegions(ctx context.Context, p *Profile, o Options) (regions []*region, err error) {
	if o.FirstNetByte == 0 {
		o.FirstNetByte = defaultNetByte
	}
	for i := range p.Regions {
		r, err := startRegion(ctx, p, i, o.FirstNetByte+i, o.Program, o.Dir)
		if r != nil && r.environment != nil {
			regions = append(regions, r)
		}
		if err != nil {
			return regions, err
		}
	}
	return regions, nil
}

// usage is what all counters say at one moment: the regions' and the machine's.
type usage struct {
	at         time.Time
	regions    []snapshot
	machine    cpuTimes
	hollowCPU  float64 // seconds
	residentMB float64 // of this process
}

func readUsage(ctx context.Context, regions []*region) usage {
	u := usage{regions: takeSnapshots(ctx, regions), machine: readCPUTimes()}
	u.hollowCPU, u.residentMB = ownUsage()
	u.at = time.Now()
	return u
}

// newReport makes the report of what was counted before and after the measurement.
func newReport(p Profile, regions []*region, before, after usage, lag *timerLag) *Report {
	measuredS := after.at.Sub(before.at).Seconds()
	report := &Report{Profile: p, MeasuredS: measuredS}
	workers := 0
	for i, r := range regions {
		summary := r.summarize(before.regions[i], after.regions[i])
		workers += summary.Workers.Up
		report.Regions = append(report.Regions, summary)
		for _, violation := range r.environment.Checker.Violations() {
			report.Violations = append(report.Violations, fmt.Sprintf("region %d: %s", i, violation))
		}
	}
	total := max(1, after.machine.total-before.machine.total)
	hollowCPU := (after.hollowCPU - before.hollowCPU) / measuredS
	report.Machine = Machine{
		HollowCPU:    hollowCPU,
		HollowMB:     after.residentMB,
		HollowLagP99: lag.p99Millis(),
		Idle:         (after.machine.idle - before.machine.idle) / total,
		Steal:        (after.machine.steal - before.machine.steal) / total,
		CPUPerWorker: hollowCPU / float64(max(1, workers)),
	}
	report.MachineLimit = limitingCause(report.Machine)
	return report
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// limitingCause says why the figures are the machine's and not the service's, "" if they are the service's.
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

// watchMemory cancels a run that takes too much of the machine's memory.
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

// waitReporting waits for a while, and reports progress meanwhile.
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
		onProgress(fmt.Sprintf("%d workers, %d tasks on them, %d starts so far, %d rules broken",
			workers, running, starts, violations))
	}
	return nil
}
