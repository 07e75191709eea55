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

// counters are a controller's, by their names on the operators' page.
type counters map[string]float64

var scraper = http.Client{Timeout: 5 * time.Second}

// scrape reads a controller's counters; nil if it does not answer.
func scrape(ctx context.Context, addr string) counters {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return nil
	}
	resp, err := scraper.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	c := counters{}
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, ok := strings.Cut(s.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			c[name] = v
		}
	}
	return c
}

// snapshot is what a region's counters say at one moment.
type snapshot struct {
	at      time.Time
	nodes   []counters
	state   emulator.StateTraffic
	starts  int
	workers [2]int64 // bytes in and out on the workers' side
}

func (r *region) snapshot(ctx context.Context) snapshot {
	s := snapshot{at: time.Now(), state: r.world.State.Traffic(), starts: r.world.Referee.Starts(),
		workers: [2]int64{r.net.workers.in.Load(), r.net.workers.out.Load()}}
	for i := range r.p.ControllersIn {
		s.nodes = append(s.nodes, scrape(ctx, metricsOf(r.netByte, i)))
	}
	return s
}

// leases counts the leases of workers that are there that ran out.
func (r *region) leases() (lost int) {
	for _, w := range r.world.Cloud.Up() {
		if s := w.Sent(); s != nil {
			lost += int(s.Session) - 1
		}
	}
	return lost
}

// own is what this process, the hollow side, has used.
func own() (cpuS, residentMB float64) {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		cpuS = float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/1e6
	}
	return cpuS, float64(statusKB("/proc/self/status", "VmRSS:")) / 1024
}

// statusKB reads a line of a file in the manner of /proc, in KB.
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

// jiffies are the machine's processor times as /proc/stat has them.
type jiffies struct{ total, idle, steal float64 }

func readJiffies() (j jiffies) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return j
	}
	line, _, _ := strings.Cut(string(b), "\n")
	for i, f := range strings.Fields(line)[1:] {
		v, _ := strconv.ParseFloat(f, 64)
		switch {
		case i >= 8: // guests' time is in the others
			continue
		case i == 3 || i == 4:
			j.idle += v
		case i == 7:
			j.steal += v
		}
		j.total += v
	}
	return j
}

const lagEvery = 20 * time.Millisecond

// lag measures how late this process's own timers fire, which is how late hollow workers are.
type lag struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // in microseconds
}

func measureLag(ctx context.Context) *lag {
	l := &lag{h: hdrhistogram.New(1, 60_000_000, 3)}
	go func() {
		for ctx.Err() == nil {
			began := time.Now()
			time.Sleep(lagEvery)
			l.mu.Lock()
			_ = l.h.RecordValue(max(1, (time.Since(began) - lagEvery).Microseconds())) // a minute is beyond any run
			l.mu.Unlock()
		}
	}()
	return l
}

func (l *lag) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Reset()
}

func (l *lag) p99ms() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(99)) / 1000
}

// checkMachine tells whether the run may go on: it takes less than half of the machine's memory.
func checkMachine(residentMB float64) error {
	if total := float64(statusKB("/proc/meminfo", "MemTotal:")) / 1024; total > 0 && residentMB > total/2 {
		return fmt.Errorf("the run takes %.0f MB, more than half of the machine's %.0f MB", residentMB, total)
	}
	return nil
}
