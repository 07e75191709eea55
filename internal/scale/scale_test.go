package scale

import (
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

// TestFitLineRecoversSlopeAndCurvature checks that the coefficients fitted to noisy points lie within four standard
// errors of the true ones, and that a change of slope is detected.
func TestFitLineRecoversSlopeAndCurvature(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var points, bent []Point
	for x := 100.0; x <= 1000; x += 100 {
		for range 3 {
			noise := rng.NormFloat64()
			points = append(points, Point{x, 5 + 0.02*x + noise})
			bent = append(bent, Point{x, 0.02*x + 0.08*max(0, x-550)})
		}
	}
	l, err := FitLine(points)
	if err != nil || math.Abs(l.Slope-0.02) > 4*l.SlopeErr || math.Abs(l.Intercept-5) > 4*l.InterceptErr ||
		l.SlopeErr > 0.002 || l.MinSize != 100 || l.MaxSize != 1000 || l.PointCount != 30 {
		t.Errorf("got %+v, %v, want slope 0.02 and intercept 5 for 30 points from 100 to 1000", l, err)
	}
	if l, err := FitLine(bent); err != nil || l.SlopeChange < 0.5 {
		t.Errorf("points with a change of slope: got %+v, %v, want a SlopeChange of at least 0.5", l, err)
	}
	if _, err := FitLine(points[:6]); err == nil {
		t.Error("points of two sizes: got no error, want one")
	}
}

// TestProfileErrorsNameTheField checks that the error for an invalid value begins with the name of its field.
func TestProfileErrorsNameTheField(t *testing.T) {
	for text, field := range map[string]string{
		"workers = 0":                            "workers:",
		"tasks_running = 3":                      "tasks_running:",
		"[starts]\nshape = \"wave\"":             "starts.shape:",
		"accelerators = 64\n[gangs]\nsizes=[65]": "gangs.sizes[0]:",
		"regions = 16\ncontrollers_each = 16":    "controllers_each:",
		"[workload]\ncold_share = 2.0":           "workload.cold_share:",
	} {
		if _, err := ParseProfile([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%q: got error %v, want one with prefix %s", text, err, field)
		}
	}
}

// TestDeployedProfilesLoad checks that the profiles and sweeps in deploy/scale are valid.
func TestDeployedProfilesLoad(t *testing.T) {
	files, err := os.ReadDir("../../deploy/scale")
	if err != nil || len(files) < 5 {
		t.Fatalf("deploy/scale: got %d files, %v, want at least 5", len(files), err)
	}
	for _, f := range files {
		path := "../../deploy/scale/" + f.Name()
		if strings.HasPrefix(f.Name(), "sweep") {
			_, err = LoadSweep(path)
		} else {
			_, err = LoadProfile(path)
		}
		if err != nil {
			t.Errorf("%s: got error %v, want none", path, err)
		}
	}
}

// TestCapacityPageIsCurrent checks that docs/CAPACITY.md contains the tables computed from the stored measurements.
func TestCapacityPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	tables, err := CapacityTables("../../docs/scale", "../../deploy/scale/sweep.toml")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), tables) {
		t.Error("docs/CAPACITY.md does not contain the current output of `go run ./cmd/scale report`")
	}
}
