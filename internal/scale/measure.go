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

// metricValues are a controller's metrics, by the names on its page.
type metricValues map[string]float64

var scraper = http.Client{Timeout: 5 * time.Second}

// scrapeMetrics reads a controller's metrics; nil if it does not answer.
func scrapeMetrics(ctx context.Context, addr string) metricValues {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := scraper.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }() // the values that were read count
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	values := metricValues{}
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, ok := strings.Cut(s.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values
}

// snapshot is what a region's counters say at one moment.
type snapshot struct {
	at          time.Time
	controllers []metricValues
	store       emulator.StoreTraffic
	starts      int
	workerBytes [2]int64 // bytes in and out on the workers' side
}

func (r *region) takeSnapshot(ctx context.Context) snapshot {
	s := snapshot{
		at:          time.Now(),
		store:       r.environment.Store.Traffic(),
		starts:      r.environment.Checker.Starts(),
		workerBytes: [2]int64{r.network.workers.in.Load(), r.network.workers.out.Load()},
	}
	for i := range r.profile.ControllersPerRegion {
		s.controllers = append(s.controllers, scrapeMetrics(ctx, metricsAddr(r.netByte, i)))
	}
	return s
}

// countLostLeases counts the lease expiries of the workers that exist: each began a new epoch.
func (r *region) countLostLeases() (expired int) {
	for _, w := range r.environment.Cloud.Workers() {
		if heartbeat := w.LastHeartbeat(); heartbeat != nil {
			expired += int(heartbeat.AgentEpoch) - 1
		}
	}
	return expired
}

// ownUsage is what this process, the hollow side, has used.
func ownUsage() (cpuS, residentMB float64) {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		cpuS = float64(usage.Utime.Sec+usage.Stime.Sec) + float64(usage.Utime.Usec+usage.Stime.Usec)/1e6
	}
	return cpuS, float64(statusKB("/proc/self/status", "VmRSS:")) / 1024
}

// statusKB reads a line of a file of /proc, in KB; 0 if there is none.
func statusKB(path, name string) int {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == name {
			n, _ := strconv.Atoi(f[1]) // what the kernel writes is a number
			return n
		}
	}
	return 0
}

// cpuTimes are the machine's processor times as /proc/stat has them.
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
		case i >= 8: // guests' time is in the others
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

// lagInterval is how long the timers run whose lag is measured.
const lagInterval = 20 * time.Millisecond

// timerLag measures how late this process's own timers fire, which is how late hollow workers are.
type timerLag struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // in microseconds
}

func measureTimerLag(ctx context.Context) *timerLag {
	l := &timerLag{histogram: hdrhistogram.New(1, 60_000_000, 3)}
	go func() {
		for ctx.Err() == nil {
			startedAt := time.Now()
			time.Sleep(lagInterval)
			l.mu.Lock()
			// a minute is beyond any run
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

func (l *timerLag) p99Millis() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.histogram.ValueAtQuantile(99)) / 1000
}

// checkMemoryShare is an error if a run takes more than half of the machine's memory.
func checkMemoryShare(residentMB float64) error {
	if total := float64(statusKB("/proc/meminfo", "MemTotal:")) / 1024; total > 0 && residentMB > total/2 {
		return fmt.Errorf("the run takes %.0f MB, more than half of the machine's %.0f MB", residentMB, total)
	}
	return nil
}
