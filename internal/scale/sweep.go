package scale

import (
	"context"
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Sweep is a profile and what is varied of it, one field at a time.
type Sweep struct {
	Profile Profile  `toml:"profile"`
	Repeat  int      `toml:"repeat"`
	Series  []Series `toml:"series"`
}

// Series is one field that is varied, and its values.
type Series struct {
	Varied string    `toml:"vary"`
	Values []float64 `toml:"values"`
}

// workerStartsPerS is how many workers a second come up at least, so that all are there when the measurement begins.
const workerStartsPerS = 40

// A series has at least so many sizes, each run at least so often, for slopes with an error that can be trusted.
const (
	minSizes   = 4
	minRepeats = 3
)

// variations are the fields that a series may vary.
var variations = map[string]func(p *Profile, v float64){
	// A long task runs on each worker; the starts and the short tasks stay, and sockets grow with the workers.
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
	// As many machines run gangs, of another size.
	"gang_size":   func(p *Profile, v float64) { p.Gangs.Sizes = []int{int(v)} },
	"controllers": func(p *Profile, v float64) { p.ControllersPerRegion = int(v) },
}

// LoadSweep reads a sweep's file and checks it.
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
		return fmt.Errorf("repeat: %d is under %d", s.Repeat, minRepeats)
	}
	if err := s.Profile.Check(); err != nil {
		return fmt.Errorf("profile.%w", err)
	}
	for i, x := range s.Series {
		if variations[x.Varied] == nil {
			return fmt.Errorf("series[%d].vary: %q can't be varied", i, x.Varied)
		}
		if distinctSizes(sizePoints(x.Values)) < minSizes {
			return fmt.Errorf("series[%d].values: under %d sizes", i, minSizes)
		}
		for _, v := range x.Values {
			p := s.Profile
			variations[x.Varied](&p, v)
			if err := p.Check(); err != nil {
				return fmt.Errorf("series[%d].values: at %v: %w", i, v, err)
			}
		}
	}
	return nil
}

func sizePoints(sizes []float64) (points []Point) {
	for _, x := range sizes {
		points = append(points, Point{Size: x})
	}
	return points
}

// Measurement is what a sweep stores of one run: the figures that slopes are fitted to.
type Measurement struct {
	Varied       string             `json:"vary"`
	Value        float64            `json:"x"`
	Run          string             `json:"run"`
	MachineLimit string             `json:"machine_was_the_limit,omitempty"`
	Violations   int                `json:"rules_broken"`
	Figures      map[string]float64 `json:"figures"`
}

// figureDigits is to what fraction figures are rounded.
const figureDigits = 1e5

// figures are what slopes are fitted to, of a run of one region.
func figures(r *Report) map[string]float64 {
	g := r.Regions[0]
	out := map[string]float64{
		"leader cpu":         g.Leader.CPU,
		"leader resident MB": g.Leader.ResidentMB,
		"leader heap MB":     g.Leader.HeapMB,
		"leader sockets":     g.Leader.Sockets,
		"leader reports/s":   g.Leader.HeartbeatsPerS,
		"leader peer KB/s":   g.Leader.PeerBytesPerS / bytesPerKB,
		"leader log KB/s":    g.Leader.LogBytesPerS / bytesPerKB,
		"leader batches/s":   g.Leader.BatchesPerS,
		"other cpu":          g.Others.CPU,
		"other resident MB":  g.Others.ResidentMB,
		"other sockets":      g.Others.Sockets,
		"other peer KB/s":    g.Others.PeerBytesPerS / bytesPerKB,
		"state requests/s":   g.Store.RequestsPerS,
		"state changes/s":    g.Store.ChangesPerS,
		"state KB/s":         g.Store.BytesPerS / bytesPerKB,
		"state keys":         float64(g.Store.Keys),
		"worker KB/s":        g.Workers.BytesS / bytesPerKB,
		"worker sockets":     g.Workers.Sockets,
		"hollow cpu":         r.Machine.HollowCPU,
		"hollow MB":          r.Machine.HollowMB,
		"starts/s":           g.StartsPerS,
		"urgent p99 s":       float64(g.StartLatency[urgentClass].P99) / 1000,
		"submit p99 s":       float64(g.SubmitLatency.P99) / 1000,
		"leases lost":        float64(g.Workers.LostLeases),
	}
	for k, v := range out {
		out[k] = math.Round(v*figureDigits) / figureDigits
	}
	return out
}

// Run carries the sweep out, one run after the other, and calls onMeasurement after each.
func (s *Sweep) Run(
	ctx context.Context,
	o Options,
	onlyVaried string,
	onMeasurement func(Measurement, *Report) error,
) error {
	for _, series := range s.Series {
		if onlyVaried != "" && series.Varied != onlyVaried {
			continue
		}
		for repeat := range s.Repeat {
			for _, value := range series.Values {
				measurement, report, err := s.measure(ctx, o, series.Varied, value, repeat)
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

// measure carries out one run of a sweep.
func (s *Sweep) measure(
	ctx context.Context, o Options, varied string, value float64, repeat int,
) (Measurement, *Report, error) {
	p := s.Profile
	p.Seed += uint64(repeat)
	p.Name = fmt.Sprintf("%s-%g-%d", varied, value, repeat+1)
	variations[varied](&p, value)
	report, err := Run(ctx, p, o)
	if err != nil {
		return Measurement{}, nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	return Measurement{
		Varied:       varied,
		Value:        value,
		Run:          p.Name,
		MachineLimit: report.MachineLimit,
		Violations:   len(report.Violations),
		Figures:      figures(report),
	}, report, nil
}
