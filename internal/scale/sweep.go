package scale

import (
	"context"
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Sweep is a base profile and the series of runs that each vary one of its parameters.
type Sweep struct {
	Profile Profile  `toml:"profile"`
	Repeat  int      `toml:"repeat"`
	Series  []Series `toml:"series"`
}

// Series is a parameter of the profile and the values that the runs set it to.
type Series struct {
	Parameter string    `toml:"vary"`
	Values    []float64 `toml:"values"`
}

// workerStartsPerS is a lower bound of the rate at which workers start. The warm-up is extended accordingly, so that
// all workers are up when the measurement begins.
const workerStartsPerS = 40

// Minimum number of sizes per series and of runs per size. With fewer, the standard errors of the slopes are
// unreliable.
const (
	minSizes   = 4
	minRepeats = 3
)

// variations has a function for each parameter that a series may vary. The function sets the parameter in a profile.
var variations = map[string]func(p *Profile, v float64){
	// Each worker runs one long task; the start rate and the number of short tasks stay constant, and the socket limit
	// grows with the number of workers.
	"workers": func(p *Profile, v float64) {
		p.Limits.MaxSockets = int(float64(p.Limits.MaxSockets) * v / float64(p.Workers))
		p.WarmupS += v / workerStartsPerS
		p.TasksRunning += int(v) - p.Workers
		p.Workers = int(v)
	},
	"tasks_running":   func(p *Profile, v float64) { p.TasksRunning = int(v) },
	"starts_per_s":    func(p *Profile, v float64) { p.Starts.PerS = v },
	"finished_before": func(p *Profile, v float64) { p.FinishedBefore = int(v); p.WarmupS += v / finishedJobsPerS },
	"teams":           func(p *Profile, v float64) { p.Teams = int(v) },
	// The number of machines that run gangs stays constant.
	"gang_size":   func(p *Profile, v float64) { p.Gangs.Sizes = []int{int(v)} },
	"controllers": func(p *Profile, v float64) { p.ControllersPerRegion = int(v) },
}

// LoadSweep reads and validates a sweep file.
func LoadSweep(path string) (*Sweep, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Sweep{Profile: DefaultProfile(), Repeat: minRepeats}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Sweep) check() error {
	if s.Repeat < minRepeats {
		return fmt.Errorf("repeat: %d is less than %d", s.Repeat, minRepeats)
	}
	if err := s.Profile.Check(); err != nil {
		return fmt.Errorf("profile.%w", err)
	}
	for i, series := range s.Series {
		if variations[series.Parameter] == nil {
			return fmt.Errorf("series[%d].vary: unknown parameter %q", i, series.Parameter)
		}
		if distinctSizes(pointsAtSizes(series.Values)) < minSizes {
			return fmt.Errorf("series[%d].values: fewer than %d distinct values", i, minSizes)
		}
		for _, v := range series.Values {
			p := s.Profile
			variations[series.Parameter](&p, v)
			if err := p.Check(); err != nil {
				return fmt.Errorf("series[%d].values: at %v: %w", i, v, err)
			}
		}
	}
	return nil
}

func pointsAtSizes(sizes []float64) (points []Point) {
	for _, x := range sizes {
		points = append(points, Point{Size: x})
	}
	return points
}

// Measurement is the stored result of one run of a sweep. Lines are fitted to its Metrics.
type Measurement struct {
	Parameter      string             `json:"vary"`
	Value          float64            `json:"x"`
	Run            string             `json:"run"`
	HostBottleneck string             `json:"machine_was_the_limit,omitempty"`
	Violations     int                `json:"rules_broken"`
	Metrics        map[string]float64 `json:"figures"`
}

// metricScale determines the precision of stored metrics, which are rounded to multiples of 1/metricScale.
const metricScale = 1e5

// reportMetrics returns the metrics of the first region of a run.
func reportMetrics(r *Report) map[string]float64 {
	region := r.Regions[0]
	metrics := map[string]float64{
		"leader cpu":         region.Leader.CPU,
		"leader resident MB": region.Leader.ResidentMB,
		"leader heap MB":     region.Leader.HeapMB,
		"leader sockets":     region.Leader.Sockets,
		"leader reports/s":   region.Leader.HeartbeatsPerS,
		"leader peer KB/s":   region.Leader.PeerBytesPerS / bytesPerKB,
		"leader log KB/s":    region.Leader.LogBytesPerS / bytesPerKB,
		"leader batches/s":   region.Leader.BatchesPerS,
		"other cpu":          region.Others.CPU,
		"other resident MB":  region.Others.ResidentMB,
		"other sockets":      region.Others.Sockets,
		"other peer KB/s":    region.Others.PeerBytesPerS / bytesPerKB,
		"state requests/s":   region.Store.RequestsPerS,
		"state changes/s":    region.Store.ChangesPerS,
		"state KB/s":         region.Store.BytesPerS / bytesPerKB,
		"state keys":         float64(region.Store.Keys),
		"worker KB/s":        region.Workers.BytesPerS / bytesPerKB,
		"worker sockets":     region.Workers.Sockets,
		"hollow cpu":         r.Host.HollowCPU,
		"hollow MB":          r.Host.HollowMB,
		"starts/s":           region.StartsPerS,
		"urgent p99 s":       float64(region.StartLatency[urgentClass].P99) / 1000,
		"submit p99 s":       float64(region.SubmitLatency.P99) / 1000,
		"leases lost":        float64(region.Workers.LostLeases),
	}
	for k, v := range metrics {
		metrics[k] = math.Round(v*metricScale) / metricScale
	}
	return metrics
}

// Run executes the runs of the sweep sequentially and calls onMeasurement after each. Unless onlyParameter is empty, it
// executes only the series of that parameter.
func (s *Sweep) Run(
	ctx context.Context,
	o Options,
	onlyParameter string,
	onMeasurement func(Measurement, *Report) error,
) error {
	for _, series := range s.Series {
		if onlyParameter != "" && series.Parameter != onlyParameter {
			continue
		}
		for repeat := range s.Repeat {
			for _, value := range series.Values {
				measurement, report, err := s.measure(ctx, o, series.Parameter, value, repeat)
				if err != nil {
					return err
				}
				if err := onMeasurement(measurement, report); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// measure executes one run of a sweep.
func (s *Sweep) measure(
	ctx context.Context, o Options, parameter string, value float64, repeat int,
) (Measurement, *Report, error) {
	p := s.Profile
	p.Seed += uint64(repeat)
	p.Name = fmt.Sprintf("%s-%g-%d", parameter, value, repeat+1)
	variations[parameter](&p, value)
	report, err := Run(ctx, p, o)
	if err != nil {
		return Measurement{}, nil, fmt.Errorf("run %s: %w", p.Name, err)
	}
	return Measurement{
		Parameter:      parameter,
		Value:          value,
		Run:            p.Name,
		HostBottleneck: report.HostBottleneck,
		Violations:     len(report.Violations),
		Metrics:        reportMetrics(report),
	}, report, nil
}
