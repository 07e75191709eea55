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

// regionSize is the size of a region: a value for each of sizeParameters.
type regionSize map[string]float64

// capacityPlan is the size of the deployment that the operators plan for, in total over all regions.
var capacityPlan = struct {
	regions                           int
	workers, runningTasks, startsPerS float64
	teams, finishedPerDay             float64
}{4, 4700, 26_000, 2200, 55, 21_000}

// plannedControllers is the number of controllers per region. Sixteen machines are reserved for the controllers of the
// four regions.
const plannedControllers = 4

// plannedRegion returns the size of a region of the plan at a start rate.
func plannedRegion(startsPerS float64) regionSize {
	regions := float64(capacityPlan.regions)
	return regionSize{
		"workers":         capacityPlan.workers / regions,
		"tasks_running":   capacityPlan.runningTasks / regions,
		"starts_per_s":    startsPerS,
		"teams":           capacityPlan.teams,
		"finished_before": capacityPlan.finishedPerDay / regions,
		"controllers":     plannedControllers,
	}
}

// profileSize returns the size of a region of a sweep's base profile.
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

// sizeParameters are the parameters that a sweep varies, in the order of the tables.
var sizeParameters = []string{"workers", "tasks_running", "starts_per_s", "finished_before", "teams", "controllers"}

// maxExtrapolationFactor is the extrapolation factor above which an estimate is labelled a guess.
const maxExtrapolationFactor = 4

// readMeasurements reads all stored measurements in a directory, by file name without extension.
func readMeasurements(dir string) (map[string][]Measurement, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonl"))
	if err != nil {
		return nil, err
	}
	byFile := map[string][]Measurement{}
	for _, f := range files {
		content, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		for scanner := bufio.NewScanner(strings.NewReader(string(content))); scanner.Scan(); {
			var measured Measurement
			if err := json.Unmarshal(scanner.Bytes(), &measured); err != nil {
				return nil, fmt.Errorf("decode measurement in %s: %w", f, err)
			}
			name := strings.TrimSuffix(filepath.Base(f), ".jsonl")
			byFile[name] = append(byFile[name], measured)
		}
	}
	return byFile, nil
}

// fitMetric fits a line to a metric over the runs in which a parameter was varied.
func fitMetric(measurements []Measurement, parameter, metric string) (Line, error) {
	var points []Point
	for _, m := range measurements {
		if m.Parameter == parameter {
			points = append(points, Point{m.Value, m.Metrics[metric]})
		}
	}
	l, err := FitLine(points)
	if err != nil {
		return l, fmt.Errorf("fit %s by %s: %w", metric, parameter, err)
	}
	return l, nil
}

// estimate is the estimated value of a metric at a region size, with its standard error.
type estimate struct {
	value, stdErr float64
	// extrapolationFactor is the ratio of the target size to the largest measured size: the maximum over the parameters
	// whose extrapolation changes the value by more than 2%.
	extrapolationFactor float64
}

// isStorageMetric reports whether a metric is an amount of stored data rather than a rate.
func isStorageMetric(metric string) bool {
	return strings.HasSuffix(metric, " MB") || strings.HasSuffix(metric, " keys")
}

// estimateMetric estimates a metric at a target size: its value at the base size of the sweep plus, for each parameter,
// the slope times the difference in size.
//
// A slope that isn't significantly above zero is ignored, so that no cost is estimated to fall with size. The slopes of
// rates over the number of finished jobs are ignored too: these jobs end just before the measurement, so the rates
// include their cleanup, which isn't a cost of keeping finished jobs.
func estimateMetric(stored map[string][]Measurement, target, base regionSize, metric string) (estimate, error) {
	var result estimate
	lines := map[string]Line{}
	for _, parameter := range sizeParameters {
		l, err := fitMetric(stored["sweep"], parameter, metric)
		if err != nil {
			return result, err
		}
		lines[parameter] = l
		result.value += l.CostAt(base[parameter])
	}
	result.value /= float64(len(sizeParameters))
	for _, parameter := range sizeParameters {
		l := lines[parameter]
		if l.Slope < 2*l.SlopeErr || parameter == "finished_before" && !isStorageMetric(metric) {
			continue
		}
		change := target[parameter] - base[parameter]
		result.value += l.Slope * change
		result.stdErr += (l.SlopeErr * change) * (l.SlopeErr * change)
		if math.Abs(l.Slope*change) > 0.02*math.Abs(result.value) {
			result.extrapolationFactor = max(result.extrapolationFactor, l.ExtrapolationFactor(target[parameter]))
		}
	}
	result.stdErr = math.Sqrt(result.stdErr)
	return result, nil
}

// confidence describes how far the size of an estimate lies beyond the measured range.
func (e estimate) confidence() string {
	switch {
	case e.extrapolationFactor <= 1:
		return "measured range"
	case e.extrapolationFactor <= maxExtrapolationFactor:
		return fmt.Sprintf("extrapolated, %.1f times the range", e.extrapolationFactor)
	}
	return fmt.Sprintf("a guess, %.1f times the range", e.extrapolationFactor)
}

// slopeMetrics are the metrics whose slopes CapacityTables prints.
var slopeMetrics = []string{
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

// planMetrics are the metrics that are estimated at the planned size.
var planMetrics = []string{
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

// CapacityTables computes the tables of docs/CAPACITY.md from the measurements stored in a directory and the sweep
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
	if err := writeSlopeTables(&b, stored); err != nil {
		return "", err
	}
	base := profileSize(&s.Profile)
	if err := writePlanTable(&b, stored, base); err != nil {
		return "", err
	}
	return b.String(), nil
}

// slopeTables are the measurement files for which CapacityTables prints slopes, with the parameters varied in each.
var slopeTables = []struct {
	file, suffix string
	parameters   []string
}{
	{"sweep", "", sizeParameters},
	{"alone", ", without relays", []string{"workers"}},
	{"gangs", "", []string{"gang_size"}},
}

func writeSlopeTables(b *strings.Builder, stored map[string][]Measurement) error {
	writeTableHeader(b, "cost", "by", "a", "b", "error of b", "R²", "range", "bend", "runs")
	for _, table := range slopeTables {
		for _, parameter := range table.parameters {
			for _, metric := range slopeMetrics {
				l, err := fitMetric(stored[table.file], parameter, metric)
				if err != nil {
					return err
				}
				if math.Abs(l.Slope) < 2*l.SlopeErr {
					continue
				}
				fmt.Fprintf(b, "| %s | %s%s | %.4g | %.4g | %.2g | %.2f | %g to %g | %+.0f%% | %d |\n",
					metric, parameter, table.suffix, l.Intercept, l.Slope, l.SlopeErr, l.RSquared,
					l.MinSize, l.MaxSize, 100*l.SlopeChange, l.PointCount)
			}
		}
	}
	b.WriteString("\nSlopes of less than twice their error are left out: no effect was shown.\n")
	return nil
}

// writeTableHeader writes the header of a Markdown table.
func writeTableHeader(b *strings.Builder, columns ...string) {
	b.WriteString("| " + strings.Join(columns, " | ") + " |\n|" + strings.Repeat(" --- |", len(columns)) + "\n")
}

func writePlanTable(b *strings.Builder, stored map[string][]Measurement, base regionSize) error {
	mean := plannedRegion(capacityPlan.startsPerS / float64(capacityPlan.regions))
	peak := plannedRegion(capacityPlan.startsPerS)
	b.WriteString("\n")
	writeTableHeader(b, "a region of the plan", "550 starts a second", "how it is known",
		"2,200 starts a second, all in this region", "how it is known")
	for _, metric := range planMetrics {
		meanEstimate, err := estimateMetric(stored, mean, base, metric)
		if err != nil {
			return err
		}
		peakEstimate, err := estimateMetric(stored, peak, base, metric)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s | %.3g ± %.2g | %s | %.3g ± %.2g | %s |\n",
			metric, meanEstimate.value, meanEstimate.stdErr, meanEstimate.confidence(),
			peakEstimate.value, peakEstimate.stdErr, peakEstimate.confidence())
	}
	return nil
}
