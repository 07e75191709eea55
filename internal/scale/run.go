package scale

import (
	"context"
	"fmt"
	"time"
)

// Options configures how a run is executed.
type Options struct {
	Program      string // path of the controller executable
	Dir          string // directory for the controllers' settings and logs
	FirstNetByte int    // second byte of the first region's loopback addresses; 0 means defaultNetByte
	// OnProgress, if not nil, is called with a line of text every progressInterval.
	OnProgress func(string)
}

const (
	progressInterval    = 5 * time.Second
	memoryCheckInterval = 2 * time.Second
	// If a run exceeds one of these limits, the host is the bottleneck, and the measurements don't show what the
	// service can do.
	maxTimerLagMS = 50.0
	minIdleShare  = 0.05
	maxStealShare = 0.1
)

// Run executes a profile. It stops everything that it started before it returns, even if it fails or the context is
// cancelled.
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
				r.environment.StopAndWait(i)
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
	if err := waitWithProgress(ctx, regions, secondsToDuration(p.WarmupS), o.OnProgress); err != nil {
		return nil, err
	}
	for _, r := range regions {
		r.measuring.Store(true)
	}
	lag.reset()
	before := readUsage(ctx, regions)
	if err := waitWithProgress(ctx, regions, secondsToDuration(p.RunS), o.OnProgress); err != nil {
		return nil, err
	}
	after := readUsage(ctx, regions)
	return newReport(p, regions, before, after, lag), nil
}

// startRegions starts all regions. If it fails, it returns the regions started so far together with the error.
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

// usageSample is a sample of the counters of all regions and of the host.
type usageSample struct {
	at         time.Time
	regions    []snapshot
	host       cpuTimes
	hollowCPU  float64 // seconds
	residentMB float64 // of this process
}

func readUsage(ctx context.Context, regions []*region) usageSample {
	u := usageSample{regions: takeSnapshots(ctx, regions), host: readCPUTimes()}
	u.hollowCPU, u.residentMB = processUsage()
	u.at = time.Now()
	return u
}

// newReport computes the report from the samples before and after the measurement.
func newReport(p Profile, regions []*region, before, after usageSample, lag *timerLag) *Report {
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
	total := max(1, after.host.total-before.host.total)
	hollowCPU := (after.hollowCPU - before.hollowCPU) / measuredS
	report.Host = HostUsage{
		HollowCPU:      hollowCPU,
		HollowMB:       after.residentMB,
		HollowLagP99MS: lag.p99MS(),
		IdleShare:      (after.host.idle - before.host.idle) / total,
		StealShare:     (after.host.steal - before.host.steal) / total,
		CPUPerWorker:   hollowCPU / float64(max(1, workers)),
	}
	report.HostBottleneck = hostBottleneck(report.Host)
	return report
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// hostBottleneck describes why the host limited the run, or returns "" if it didn't.
func hostBottleneck(host HostUsage) string {
	switch {
	case host.HollowLagP99MS > maxTimerLagMS:
		return fmt.Sprintf("timers of the hollow workers fire %.0f ms late (p99)", host.HollowLagP99MS)
	case host.IdleShare < minIdleShare:
		return fmt.Sprintf("only %.0f%% of the CPU time is idle", 100*host.IdleShare)
	case host.StealShare > maxStealShare:
		return fmt.Sprintf("%.0f%% of the CPU time is stolen by the hypervisor", 100*host.StealShare)
	}
	return ""
}

func takeSnapshots(ctx context.Context, regions []*region) (all []snapshot) {
	for _, r := range regions {
		all = append(all, r.takeSnapshot(ctx))
	}
	return all
}

// watchMemory cancels a run that uses more than half of the host's memory.
func watchMemory(ctx context.Context, cancel context.CancelCauseFunc, regions []*region) {
	for ctx.Err() == nil {
		sleep(ctx, memoryCheckInterval)
		_, resident := processUsage()
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

// waitWithProgress waits for a duration and calls onProgress every progressInterval. If the context ends first, it
// returns the cause.
func waitWithProgress(ctx context.Context, regions []*region, duration time.Duration, onProgress func(string)) error {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		sleep(ctx, min(progressInterval, time.Until(deadline)))
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if onProgress == nil {
			continue
		}
		workers, running, starts, violations := 0, 0, 0, 0
		for _, r := range regions {
			workers += len(r.environment.Cloud.Workers())
			running += r.environment.Checker.RunningTaskCount()
			starts += r.environment.Checker.Starts()
			violations += len(r.environment.Checker.Violations())
		}
		onProgress(fmt.Sprintf("%d workers, %d tasks running, %d tasks started, %d rules broken",
			workers, running, starts, violations))
	}
	return nil
}
