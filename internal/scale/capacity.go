package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
)

// size is how large a region is: the figures that the series of a sweep vary.
type size map[string]float64

// plan is the operators' plan, of all regions together.
var plan = struct {
	regions                  int
	workers, running, starts float64
	teams, finishedADay      float64
}{4, 4700, 26_000, 2200, 55, 21_000}

// controllersEach is how many of the sixteen machines set aside a region has.
const controllersEach = 4

// planned is a region of the plan, with its part of the peak of starts or all of it.
func planned(starts float64) size {
	n := float64(plan.regions)
	return size{"workers": plan.workers / n, "tasks_running": plan.running / n, "starts_per_s": starts, "teams": plan.teams,
		"finished_before": plan.finishedADay / n, "controllers": controllersEach}
}

// sizeOf is how large the profile of a sweep is.
func sizeOf(p *Profile) size {
	return size{"workers": float64(p.Workers), "tasks_running": float64(p.TasksRunning), "starts_per_s": p.Starts.PerS, "teams": float64(p.Teams),
		"finished_before": float64(p.FinishedBefore), "controllers": float64(p.ControllersIn)}
}

// series are the things that are varied, in the order of the tables.
var series = []string{"workers", "tasks_running", "starts_per_s", "finished_before", "teams", "controllers"}

// guessBeyond is from how many times the measured range on a figure is called a guess.
const guessBeyond = 4

// load reads all stored measurements of a folder, by file.
func load(dir string) (map[string][]Measured, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	out := map[string][]Measured{}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		for s := bufio.NewScanner(strings.NewReader(string(b))); s.Scan(); {
			var m Measured
			if err := json.Unmarshal(s.Bytes(), &m); err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			name := strings.TrimSuffix(filepath.Base(f), ".jsonl")
			out[name] = append(out[name], m)
		}
	}
	return out, nil
}

func lineOf(ms []Measured, vary, figure string) (Line, error) {
	var points []Point
	for _, m := range ms {
		if m.Vary == vary {
			points = append(points, Point{m.X, m.Figures[figure]})
		}
	}
	l, err := Fit(points)
	if err != nil {
		return l, fmt.Errorf("%s by %s: %w", figure, vary, err)
	}
	return l, nil
}

// estimate is a figure at a size: that at the sweep's size, and the slopes times what the sizes differ by.
type estimate struct {
	value, err float64
	beyond     float64 // the largest of the sizes, in times of what was measured, of those that matter
}

// isMemory tells whether a figure is of what is kept, not of what is done a second.
func isMemory(figure string) bool {
	return strings.HasSuffix(figure, " MB") || strings.HasSuffix(figure, " keys")
}

// estimated reckons a figure at a size: that at the size of the sweep, and what each slope adds.
//
// A slope that is not shown to be above zero is left out, so that nothing is reckoned to become cheaper with size. So are the
// rates by finished jobs: these end just before the measurement, and cleaning up after them falls into it, which is no cost of
// knowing them.
func estimated(stored map[string][]Measured, at, base size, figure string) (estimate, error) {
	var e estimate
	lines := map[string]Line{}
	for _, vary := range series {
		l, err := lineOf(stored["sweep"], vary, figure)
		if err != nil {
			return e, err
		}
		lines[vary] = l
		e.value += l.At(base[vary])
	}
	e.value /= float64(len(series))
	for _, vary := range series {
		l := lines[vary]
		if l.B < 2*l.ErrB || vary == "finished_before" && !isMemory(figure) {
			continue
		}
		change := at[vary] - base[vary]
		e.value += l.B * change
		e.err += (l.ErrB * change) * (l.ErrB * change)
		if math.Abs(l.B*change) > 0.02*math.Abs(e.value) {
			e.beyond = max(e.beyond, l.Beyond(at[vary]))
		}
	}
	e.err = math.Sqrt(e.err)
	return e, nil
}

func (e estimate) kind() string {
	switch {
	case e.beyond <= 1:
		return "measured range"
	case e.beyond <= guessBeyond:
		return fmt.Sprintf("extrapolated, %.1f times the range", e.beyond)
	}
	return fmt.Sprintf("a guess, %.1f times the range", e.beyond)
}

// slopeFigures are the figures whose slopes are printed.
var slopeFigures = []string{"leader cpu", "other cpu", "leader resident MB", "other resident MB", "leader sockets", "leader log KB/s", "leader peer KB/s", "state requests/s", "state changes/s", "worker KB/s"}

// planFigures are the figures that are reckoned at the plan's size.
var planFigures = []string{"leader cpu", "leader resident MB", "leader sockets", "leader log KB/s", "leader batches/s", "leader peer KB/s", "other cpu", "other resident MB", "other sockets",
	"state requests/s", "state changes/s", "state KB/s", "worker KB/s", "worker sockets"}

// CapacityTables recomputes the tables of docs/CAPACITY.md from the measurements stored in a folder and the sweep's file.
func CapacityTables(dir, sweep string) (string, error) {
	stored, err := load(dir)
	if err != nil {
		return "", err
	}
	for _, name := range []string{"sweep", "alone", "gangs"} {
		if len(stored[name]) == 0 {
			return "", fmt.Errorf("%s: no measurements in %s.jsonl", dir, name)
		}
	}
	s, err := LoadSweep(sweep)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	if err := writeSlopes(&b, stored); err != nil {
		return "", err
	}
	base := sizeOf(&s.Profile)
	if err := writePlan(&b, stored, base); err != nil {
		return "", err
	}
	return b.String(), nil
}

func writeSlopes(b *strings.Builder, stored map[string][]Measured) error {
	b.WriteString("| cost | by | a | b | error of b | R² | range | bend | runs |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, from := range []struct{ file, note string }{{"sweep", ""}, {"alone", ", without relays"}, {"gangs", ""}} {
		varies := series
		switch from.file {
		case "alone":
			varies = []string{"workers"}
		case "gangs":
			varies = []string{"gang_size"}
		}
		for _, vary := range varies {
			for _, figure := range slopeFigures {
				l, err := lineOf(stored[from.file], vary, figure)
				if err != nil {
					return err
				}
				if math.Abs(l.B) < 2*l.ErrB {
					continue
				}
				fmt.Fprintf(b, "| %s | %s%s | %.4g | %.4g | %.2g | %.2f | %g to %g | %+.0f%% | %d |\n", figure, vary, from.note, l.A, l.B, l.ErrB, l.R2, l.From, l.To, 100*l.Bend, l.N)
			}
		}
	}
	b.WriteString("\nSlopes of less than twice their error are left out: no effect was shown.\n")
	return nil
}

func writePlan(b *strings.Builder, stored map[string][]Measured, base size) error {
	mean, peak := planned(plan.starts/float64(plan.regions)), planned(plan.starts)
	b.WriteString("\n| a region of the plan | 550 starts a second | how it is known | 2,200 starts a second, all in this region | how it is known |\n| --- | --- | --- | --- | --- |\n")
	for _, figure := range planFigures {
		m, err := estimated(stored, mean, base, figure)
		if err != nil {
			return err
		}
		p, err := estimated(stored, peak, base, figure)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s | %.3g ± %.2g | %s | %.3g ± %.2g | %s |\n", figure, m.value, m.err, m.kind(), p.value, p.err, p.kind())
	}
	return nil
}
