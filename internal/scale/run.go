package scale

import (
	"context"
	"fmt"
	"time"
)

// Options are how a run is carried out.
type Options struct {
	Program string // the controllers' program
	Dir     string // for their settings and logs
	Net     int    // second byte of the first region's loopback addresses; 0: the usual
	// Say, if not nil, is told how the run goes.
	Say func(string)
}

const (
	tellEvery  = 5 * time.Second
	checkEvery = 2 * time.Second
	// lateMost is how late hollow workers may be, and idleLeast how much of the machine must be idle, for the figures to be the service's.
	lateMost  = 50.0
	idleLeast = 0.05
	stealMost = 0.1
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
			for i := range p.ControllersIn {
				r.world.Crash(i)
			}
		}
	}()
	if o.Net == 0 {
		o.Net = firstNet
	}
	for i := range p.Regions {
		r, err := startRegion(ctx, &p, i, o.Net+i, o.Program, o.Dir)
		if r != nil && r.world != nil {
			regions = append(regions, r)
		}
		if err != nil {
			return nil, err
		}
	}
	late := measureLag(ctx)
	began := time.Now()
	for _, r := range regions {
		go r.load(ctx, began)
	}
	go watch(ctx, cancel, regions)
	if err := tell(ctx, regions, time.Duration(p.WarmS*float64(time.Second)), o.Say); err != nil {
		return nil, err
	}
	for _, r := range regions {
		r.measured.Store(true)
	}
	late.reset()
	before, j0 := snapshots(ctx, regions), readJiffies()
	cpu0, _ := own()
	at0 := time.Now()
	if err := tell(ctx, regions, time.Duration(p.RunS*float64(time.Second)), o.Say); err != nil {
		return nil, err
	}
	after, j1 := snapshots(ctx, regions), readJiffies()
	cpu1, resident := own()
	took := time.Since(at0).Seconds()
	rep := &Report{Profile: p, Took: took}
	workers := 0
	for i, r := range regions {
		g := r.summarize(before[i], after[i])
		workers += g.Workers.Up
		rep.Regions = append(rep.Regions, g)
		for _, b := range r.world.Referee.Broken() {
			rep.Broken = append(rep.Broken, fmt.Sprintf("region %d: %s", i, b))
		}
	}
	total := max(1, j1.total-j0.total)
	rep.Machine = Machine{HollowCPU: (cpu1 - cpu0) / took, HollowMB: resident, HollowLagP99: late.p99ms(), Idle: (j1.idle - j0.idle) / total, Steal: (j1.steal - j0.steal) / total,
		CPUEachPerWorker: (cpu1 - cpu0) / took / float64(max(1, workers))}
	rep.Limiting = limiting(rep.Machine)
	return rep, nil
}

func limiting(m Machine) string {
	switch {
	case m.HollowLagP99 > lateMost:
		return fmt.Sprintf("hollow workers' timers are %.0f ms late", m.HollowLagP99)
	case m.Idle < idleLeast:
		return fmt.Sprintf("only %.0f%% of its processors are idle", 100*m.Idle)
	case m.Steal > stealMost:
		return fmt.Sprintf("%.0f%% of its processors' time is taken by others", 100*m.Steal)
	}
	return ""
}

func snapshots(ctx context.Context, regions []*region) (all []snapshot) {
	for _, r := range regions {
		all = append(all, r.snapshot(ctx))
	}
	return all
}

// watch ends a run that takes too much of the machine.
func watch(ctx context.Context, end context.CancelCauseFunc, regions []*region) {
	for ctx.Err() == nil {
		wait(ctx, checkEvery)
		_, resident := own()
		for _, r := range regions {
			for i := range r.p.ControllersIn {
				resident += scrape(ctx, metricsOf(r.netByte, i))["process_resident_memory_bytes"] / mb
			}
		}
		if err := checkMachine(resident); err != nil {
			end(err)
			return
		}
	}
}

// tell waits for a while, and says how it goes meanwhile.
func tell(ctx context.Context, regions []*region, length time.Duration, say func(string)) error {
	until := time.Now().Add(length)
	for time.Now().Before(until) {
		wait(ctx, min(tellEvery, time.Until(until)))
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if say == nil {
			continue
		}
		up, running, starts, broken := 0, 0, 0, 0
		for _, r := range regions {
			up += len(r.world.Cloud.Up())
			running += r.world.Referee.Tasks()
			starts += r.world.Referee.Starts()
			broken += len(r.world.Referee.Broken())
		}
		say(fmt.Sprintf("%d workers, %d tasks on them, %d starts so far, %d rules broken", up, running, starts, broken))
	}
	return nil
}
