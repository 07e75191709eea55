package scale

import (
	"context"
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Sweep is a profile and what is varied of it, one thing at a time.
type Sweep struct {
	Profile Profile  `toml:"profile"`
	Repeat  int      `toml:"repeat"`
	Series  []Series `toml:"series"`
}

// Series is one thing that is varied.
type Series struct {
	Vary   string    `toml:"vary"`
	Values []float64 `toml:"values"`
}

// upPerS is how many workers a second come up at least, so that all are there when the measurement begins.
const upPerS = 40

const (
	leastSizes  = 4
	leastRepeat = 3
)

// varied are the fields that a series may vary.
var varied = map[string]func(p *Profile, v float64){
	"workers": func(p *Profile, v float64) { // a long task on each; the starts and the short tasks stay, sockets grow with the workers
		p.Limits.MaxSockets = int(float64(p.Limits.MaxSockets) * v / float64(p.Workers))
		p.WarmS += v / upPerS
		p.TasksRunning += int(v) - p.Workers
		p.Workers = int(v)
	},
	"tasks_running":   func(p *Profile, v float64) { p.TasksRunning = int(v) },
	"starts_per_s":    func(p *Profile, v float64) { p.Starts.PerS = v },
	"finished_before": func(p *Profile, v float64) { p.FinishedBefore = int(v); p.WarmS += v / shortPerS },
	"teams":           func(p *Profile, v float64) { p.Teams = int(v) },
	"gang_size": func(p *Profile, v float64) { // as many machines for gangs, in gangs of another size
		p.Gangs.Sizes = []int{int(v)}
	},
	"controllers": func(p *Profile, v float64) { p.ControllersIn = int(v) },
}

// LoadSweep reads a sweep's file and checks it.
func LoadSweep(path string) (*Sweep, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Sweep{Profile: Default(), Repeat: leastRepeat}
	if err := toml.Unmarshal(b, s); err != nil {
		return nil, err
	}
	return s, s.check()
}

func (s *Sweep) check() error {
	if s.Repeat < leastRepeat {
		return fmt.Errorf("repeat: %d is under %d", s.Repeat, leastRepeat)
	}
	if err := s.Profile.Check(); err != nil {
		return fmt.Errorf("profile.%w", err)
	}
	for i, x := range s.Series {
		if varied[x.Vary] == nil {
			return fmt.Errorf("series[%d].vary: %q can't be varied", i, x.Vary)
		}
		if distinct(pointsAt(x.Values)) < leastSizes {
			return fmt.Errorf("series[%d].values: under %d sizes", i, leastSizes)
		}
		for _, v := range x.Values {
			p := s.Profile
			varied[x.Vary](&p, v)
			if err := p.Check(); err != nil {
				return fmt.Errorf("series[%d].values: at %v: %w", i, v, err)
			}
		}
	}
	return nil
}

func pointsAt(xs []float64) (ps []Point) {
	for _, x := range xs {
		ps = append(ps, Point{X: x})
	}
	return ps
}

// Measured is what a sweep keeps of one run: the figures that slopes are fitted to.
type Measured struct {
	Vary     string             `json:"vary"`
	X        float64            `json:"x"`
	Run      string             `json:"run"`
	Limiting string             `json:"machine_was_the_limit,omitempty"`
	Broken   int                `json:"rules_broken"`
	Figures  map[string]float64 `json:"figures"`
}

// figures are what slopes are fitted to, of a run of one region.
func figures(r *Report) map[string]float64 {
	g := r.Regions[0]
	out := map[string]float64{
		"leader cpu": g.Leader.CPU, "leader resident MB": g.Leader.ResidentMB, "leader heap MB": g.Leader.HeapMB, "leader sockets": g.Leader.Sockets,
		"leader reports/s": g.Leader.ReportsS, "leader peer KB/s": g.Leader.PeerBytesS / 1024, "leader log KB/s": g.Leader.LogBytesS / 1024, "leader batches/s": g.Leader.BatchesS,
		"other cpu": g.Others.CPU, "other resident MB": g.Others.ResidentMB, "other sockets": g.Others.Sockets, "other peer KB/s": g.Others.PeerBytesS / 1024,
		"state requests/s": g.State.RequestsS, "state changes/s": g.State.ChangesS, "state KB/s": g.State.BytesS / 1024, "state keys": float64(g.State.Keys),
		"worker KB/s": g.Workers.BytesS / 1024, "worker sockets": g.Workers.Sockets, "hollow cpu": r.Machine.HollowCPU, "hollow MB": r.Machine.HollowMB,
		"starts/s": g.StartsS, "urgent p99 s": float64(g.Start[urgentClass].P99) / 1000, "submit p99 s": float64(g.Submit.P99) / 1000, "leases lost": float64(g.Workers.LostLeas),
	}
	for k, v := range out {
		out[k] = math.Round(v*1e5) / 1e5
	}
	return out
}

// Do carries the sweep out, one run after the other, and hands on what each measured.
func (s *Sweep) Do(ctx context.Context, o Options, only string, take func(Measured, *Report) error) error {
	for _, x := range s.Series {
		if only != "" && x.Vary != only {
			continue
		}
		for repeat := range s.Repeat {
			for _, v := range x.Values {
				p := s.Profile
				p.Seed += uint64(repeat)
				p.Name = fmt.Sprintf("%s-%g-%d", x.Vary, v, repeat+1)
				varied[x.Vary](&p, v)
				r, err := Run(ctx, p, o)
				if err != nil {
					return fmt.Errorf("%s: %w", p.Name, err)
				}
				if err := take(Measured{x.Vary, v, p.Name, r.Limiting, len(r.Broken), figures(r)}, r); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
