package scale

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fieldhill/internal/emulator"
)

// metricSamples holds the values on a controller's metrics page by series name, labels included.
type metricSamples map[string]float64

var scraper = http.Client{Timeout: 5 * time.Second}

// scrapeMetrics reads a controller's metrics page. It returns nil if the controller doesn't answer.
func scrapeMetrics(ctx context.Context, addr string) metricSamples {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := scraper.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }() // the samples that were read are valid even if closing fails
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	values := metricSamples{}
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, ok := strings.Cut(s.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values
}

// snapshot is a sample of the counters of a region.
type snapshot struct {
	at          time.Time
	controllers []metricSamples
	store       emulator.StoreTraffic
	starts      int
	workerBytes [2]int64 // bytes received and sent by the workers
}

func (r *region) takeSnapshot(ctx context.Context) snapshot {
	s := snapshot{
		at:          time.Now(),
		store:       r.environment.Store.Traffic(),
		starts:      r.environment.Checker.Starts(),
		workerBytes: [2]int64{r.network.workerTraffic.in.Load(), r.network.workerTraffic.out.Load()},
	}
	for i := range r.profile.ControllersPerRegion {
		s.controllers = append(s.controllers, scrapeMetrics(ctx, metricsAddr(r.netByte, i)))
	}
	return s
}

// countLostLeases counts the lease expiries of the current workers. It computes them from the agent epochs, which begin
// at 1 and increase with each expiry, and so also counts the reboots that injectFailures causes.
func (r *region) countLostLeases() (expired int) {
	for _, w := range r.environment.Cloud.Workers() {
		if heartbeat := w.LastHeartbeat(); heartbeat != nil {
			expired += int(heartbeat.AgentEpoch) - 1
		}
	}
	return expired
}

// processUsage returns the CPU time and the resident memory of this process, which runs the hollow workers.
func processUsage() (cpuS, residentMB float64) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		cpuS = float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
	}
	return cpuS, float64(readProcKB("/proc/self/status", "VmRSS:")) / 1024
}

// readProcKB reads a value in KB from a file in /proc. It returns 0 if the file can't be read or has no line with that
// name.
func readProcKB(path, name string) int {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == name {
			n, _ := strconv.Atoi(f[1]) // the kernel always writes a number
			return n
		}
	}
	return 0
}

// cpuTimes holds the CPU times of the host from /proc/stat, in clock ticks.
type cpuTimes struct{ total, idle, steal float64 }

func readCPUTimes() (times cpuTimes) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return times
	}
	line, _, _ := strings.Cut(string(b), "\n")
	for i, f := range strings.Fields(line)[1:] {
		v, _ := strconv.ParseFloat(f, 64)
		switch {
		case i >= 8: // guest times are included in user and nice
			continue
		case i == 3 || i == 4:
			times.idle += v
		case i == 7:
			times.steal += v
		}
		times.total += v
	}
	return times
}

// lagInterval is the duration of the timers whose lag is measured.
const lagInterval = 20 * time.Millisecond

// timerLag records how late the timers of this process fire, and thus how late the hollow workers act.
type timerLag struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds
}

// measureTimerLag starts to measure the timer lag, until the context ends.
func measureTimerLag(ctx context.Context) *timerLag {
	l := &timerLag{histogram: hdrhistogram.New(1, 60_000_000, 3)}
	go func() {
		for ctx.Err() == nil {
			startedAt := time.Now()
			time.Sleep(lagInterval)
			l.mu.Lock()
			// RecordValue fails only for a lag above the histogram's maximum of one minute; such a lag is not recorded.
			_ = l.histogram.RecordValue(max(1, (time.Since(startedAt) - lagInterval).Microseconds()))
			l.mu.Unlock()
		}
	}()
	return l
}

func (l *timerLag) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.histogram.Reset()
}

func (l *timerLag) p99MS() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(99)) / 1000
}

// checkMemoryShare returns an error if a run uses more than half of the host's memory.
func checkMemoryShare(residentMB float64) error {
	if total := float64(readProcKB("/proc/meminfo", "MemTotal:")) / 1024; total > 0 && residentMB > total/2 {
		return fmt.Errorf("the run uses %.0f MB, more than half of the host's %.0f MB of memory", residentMB, total)
	}
	return nil
}
