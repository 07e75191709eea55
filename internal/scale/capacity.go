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

// regionSize is how large a region is: the figures that the series of a sweep vary.
type regionSize map[string]float64

// capacityPlan is the operators' plan, of all regions together.
var capacityPlan = struct {
	regions                  int
	workers, running, starts float64
	teams, finishedADay      float64
}{4, 4700, 26_000, 2200, 55, 21_000}

// plannedControllers is how many controllers a region has, of the sixteen machines that are reserved for them.
const plannedControllers = 4

// plannedRegion is a region of the plan, with its part of the peak of starts or all of it.
func plannedRegion(starts float64) regionSize {
	regions := float64(capacityPlan.regions)
	return regionSize{
		"workers":         capacityPlan.workers / regions,
		"tasks_running":   capacityPlan.running / regions,
		"starts_per_s":    starts,
		"teams":           capacityPlan.teams,
		"finished_before": capacityPlan.finishedADay / regions,
		"controllers":     plannedControllers,
	}
}

// profileSize is the size of a sweep's profile.
func profileSize(p *Profile) regionSize {
	return regionSize{
		"workers":         float64(p.Workers),
		"tasks_running":   float64(p.TasksRunning),
		"starts_per_s":    p.Starts.PerS,
		"teams":           float64(p.Teams),
		"finished_before": float64(p.FinishedBefore),
		"controllers":     float64(p.ControllersPerRegion),
	}
}

// variedSizes are the fields that are varied, in the order of the tables.
var variedSizes = []string{"workers", "tasks_running", "starts_per_s", "finished_before", "teams", "controllers"}

// guessRangeFactor is from how many times the measured range on a figure is called a guess.
const guessRangeFactor = 4

// readMeasurements reads all stored measurements of a folder, by file.
func readMeasurements(dir string) (map[string][]Measurement, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	out := map[string][]Measurement{}
	for _, f := range files {
		content, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		for scanner := bufio.NewScanner(strings.NewReader(string(content))); scanner.Scan(); {
			var measured Measurement
			if err := json.Unmarshal(scanner.Bytes(), &measured); err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			name := strings.TrimSuffix(filepath.Base(f), ".jsonl")
			out[name] = append(out[name], measured)
		}
	}
	return out, nil
}

// fitFigure fits a line to a figure over the runs in which one field was varied.
func fitFigure(measurements []Measurement, vary, figure string) (Line, error) {
	var points []Point
	for _, m := range measurements {
		if m.Varied == vary {
			points = append(points, Point{m.Value, m.Figures[figure]})
		}
	}
	l, err := FitLine(points)
	if err != nil {
		return l, fmt.Errorf("%s by %s: %w", figure, vary, err)
	}
	return l, nil
}

// estimate is a figure at a size: that at the sweep's size, and the slopes times what the sizes differ by.
type estimate struct {
	value, stdErr float64
	rangeFactor   float64 // the largest of the sizes, in times of what was measured, of those that matter
}

// isMemory reports whether a figure is of what is stored, not of what is done a second.
func isMemory(figure string) bool {
	return strings.HasSuffix(figure, " MB") || strings.HasSuffix(figure, " keys")
}

// estimateFigure estimates a figure at a size: that at the size of the sweep, and what each slope adds.
//
// A slope that is not shown to be above zero is left out, so that nothing is estimated to become cheaper with size. So
// are the rates by finished jobs: these end just before the measurement, and cleaning up after them falls into it,
// which is no cost of remembering them.
func estimateFigure(stored map[string][]Measurement, target, base regionSize, figure string) (estimate, error) {
	var result estimate
	lines := map[string]Line{}
	for _, vary := range variedSizes {
		l, err := fitFigure(stored["sweep"], vary, figure)
		if err != nil {
			return result, err
		}
		lines[vary] = l
		result.value += l.CostAt(base[vary])
	}
	result.value /= float64(len(variedSizes))
	for _, vary := range variedSizes {
		l := lines[vary]
		if l.Slope < 2*l.SlopeErr || vary == "finished_before" && !isMemory(figure) {
			continue
		}
		change := target[vary] - base[vary]
		result.value += l.Slope * change
		result.stdErr += (l.SlopeErr * change) * (l.SlopeErr * change)
		if math.Abs(l.Slope*change) > 0.02*math.Abs(result.value) {
			result.rangeFactor = max(result.rangeFactor, l.RangeFactor(target[vary]))
		}
	}
	result.stdErr = math.Sqrt(result.stdErr)
	return result, nil
}

// confidence says how an estimate is known, by how far its size lies beyond the measured ones.
func (e estimate) confidence() string {
	switch {
	case e.rangeFactor <= 1:
		return "measured range"
	case e.rangeFactor <= guessRangeFactor:
		return fmt.Sprintf("extrapolated, %.1f times the range", e.rangeFactor)
	}
	return fmt.Sprintf("a guess, %.1f times the range", e.rangeFactor)
}

// slopeFigures are the figures whose slopes are printed.
var slopeFigures = []string{
	"leader cpu",
	"other cpu",
	"leader resident MB",
	"other resident MB",
	"leader sockets",
	"leader log KB/s",
	"leader peer KB/s",
	"state requests/s",
	"state changes/s",
	"worker KB/s",
}

// planFigures are the figures that are estimated at the plan's size.
var planFigures = []string{
	"leader cpu",
	"leader resident MB",
	"leader sockets",
	"leader log KB/s",
	"leader batches/s",
	"leader peer KB/s",
	"other cpu",
	"other resident MB",
	"other sockets",
	"state requests/s",
	"state changes/s",
	"state KB/s",
	"worker KB/s",
	"worker sockets",
}

// CapacityTables recomputes the tables of docs/CAPACITY.md from the measurements stored in a folder and the sweep's
// file.
func CapacityTables(dir, sweep string) (string, error) {
	stored, err := readMeasurements(dir)
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
	base := profileSize(&s.Profile)
	if err := writePlan(&b, stored, base); err != nil {
		return "", err
	}
	return b.String(), nil
}

// slopeTables are the files of measurements whose slopes are printed, and the fields that they vary.
var slopeTables = []struct {
	file, note string
	varied     []string
}{
	{"sweep", "", variedSizes},
	{"alone", ", without relays", []string{"workers"}},
	{"gangs", "", []string{"gang_size"}},
}

func writeSlopes(b *strings.Builder, stored map[string][]Measurement) error {
	writeTableHeader(b, "cost", "by", "a", "b", "error of b", "R²", "range", "bend", "runs")
	for _, table := range slopeTables {
		for _, varied := range table.varied {
			for _, figure := range slopeFigures {
				l, err := fitFigure(stored[table.file], varied, figure)
				if err != nil {
					return err
				}
				if math.Abs(l.Slope) < 2*l.SlopeErr {
					continue
				}
				fmt.Fprintf(b, "| %s | %s%s | %.4g | %.4g | %.2g | %.2f | %g to %g | %+.0f%% | %d |\n",
					figure, varied, table.note, l.Intercept, l.Slope, l.SlopeErr, l.RSquared,
					l.MinSize, l.MaxSize, 100*l.Bend, l.PointCount)
			}
		}
	}
	b.WriteString("\nSlopes of less than twice their error are left out: no effect was shown.\n")
	return nil
}

// writeTableHeader writes the header of a table in Markdown.
func writeTableHeader(b *strings.Builder, columns ...string) {
	b.WriteString("| " + strings.Join(columns, " | ") + " |\n|" + strings.Repeat(" --- |", len(columns)) + "\n")
}

func writePlan(b *strings.Builder, stored map[string][]Measurement, base regionSize) error {
	mean := plannedRegion(capacityPlan.starts / float64(capacityPlan.regions))
	peak := plannedRegion(capacityPlan.starts)
	b.WriteString("\n")
	writeTableHeader(b, "a region of the plan", "550 starts a second", "how it is known",
		"2,200 starts a second, all in this region", "how it is known")
	for _, figure := range planFigures {
		m, err := estimateFigure(stored, mean, base, figure)
		if err != nil {
			return err
		}
		p, err := estimateFigure(stored, peak, base, figure)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s | %.3g ± %.2g | %s | %.3g ± %.2g | %s |\n",
			figure, m.value, m.stdErr, m.confidence(), p.value, p.stdErr, p.confidence())
	}
	return nil
}
