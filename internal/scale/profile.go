// Package scale is a scale test: it runs real controllers with thousands of hollow workers on loopback and measures the
// resource usage of a controller in each role. Hollow workers are simulated agents that share one process, speak the
// agent protocol over real connections, and run tasks that compute nothing.
package scale

import (
	"fmt"
	"math"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Profile describes a run. Amounts are totals over all regions unless stated otherwise.
type Profile struct {
	Name string `toml:"name" json:"name"`
	Seed uint64 `toml:"seed" json:"seed"`
	// WarmupS is the time before the measurement begins, and RunS the duration of the measurement.
	WarmupS float64 `toml:"warm_s" json:"warm_s"`
	RunS    float64 `toml:"run_s" json:"run_s"`

	Regions              int `toml:"regions" json:"regions"`
	ZonesPerRegion       int `toml:"zones_each" json:"zones_each"`
	ControllersPerRegion int `toml:"controllers_each" json:"controllers_each"`
	Workers              int `toml:"workers" json:"workers"`
	GPUs                 int `toml:"accelerators" json:"accelerators"`
	Teams                int `toml:"teams" json:"teams"`
	TasksRunning         int `toml:"tasks_running" json:"tasks_running"`
	// FinishedBefore is the number of short jobs that finish before the measurement begins.
	FinishedBefore int `toml:"finished_before" json:"finished_before"`

	Starts   Starts   `toml:"starts" json:"starts"`
	Gangs    Gangs    `toml:"gangs" json:"gangs"`
	Failures Failures `toml:"failures_per_minute" json:"failures_per_minute"`
	Workload Workload `toml:"workload" json:"workload"`
	Limits   Limits   `toml:"limits" json:"limits"`
}

// Starts describes the requested rate of task starts and its change over time.
type Starts struct {
	PerS float64 `toml:"per_s" json:"per_s"`
	// Shape is shapeSteady, shapeRamp or shapeBurst.
	Shape string `toml:"shape" json:"shape"`
	// FirstRegionShare is the first region's share of the rate; 0 means that all regions have equal shares.
	FirstRegionShare float64 `toml:"one_share" json:"one_share"`
}

// Shapes of the rate of task starts over time.
const (
	shapeSteady = "steady"
	shapeRamp   = "ramp"  // grows linearly from 0 to the full rate over the warm-up and the measurement
	shapeBurst  = "burst" // the full rate in the middle third of the measurement, a fifth of it otherwise
)

// Gangs describes the gangs that run on the GPU machines.
type Gangs struct {
	Sizes []int   `toml:"sizes" json:"sizes"` // numbers of tasks of the gangs, which are used in turn
	RunS  float64 `toml:"run_s" json:"run_s"` // mean runtime of a gang
}

// Failures holds the rates of injected failures by kind, per minute, and the number of workers in a rack.
type Failures struct {
	WorkerStops    float64 `toml:"worker_stops" json:"worker_stops"`
	WorkerRestarts float64 `toml:"worker_restarts" json:"worker_restarts"`
	Racks          float64 `toml:"racks" json:"racks"`
	Zones          float64 `toml:"zones" json:"zones"`
	Controllers    float64 `toml:"controllers" json:"controllers"`
	RackSize       int     `toml:"rack_size" json:"rack_size"`
}

// Workload describes the jobs of short tasks and the urgent jobs.
type Workload struct {
	TasksPerJob int     `toml:"tasks_per_job" json:"tasks_per_job"`
	UrgentPerS  float64 `toml:"urgent_per_s" json:"urgent_per_s"` // high-priority jobs of one task
	ColdShare   float64 `toml:"cold_share" json:"cold_share"`     // share of jobs whose image no machine has cached
}

// Limits holds the platform limits in the controllers' settings.
type Limits struct {
	HeartbeatS     float64 `toml:"report_s" json:"report_s"`
	LeaseS         float64 `toml:"lease_s" json:"lease_s"`
	CancelS        float64 `toml:"cancel_s" json:"cancel_s"`
	MaxSockets     int     `toml:"max_sockets" json:"max_sockets"`
	StoreRPS       float64 `toml:"state_rps" json:"state_rps"`
	WriteRPS       float64 `toml:"write_rps" json:"write_rps"`
	ValueKB        float64 `toml:"value_kb" json:"value_kb"`
	TxnOps         int     `toml:"txn_ops" json:"txn_ops"`
	StoreLatencyMS float64 `toml:"state_ms" json:"state_ms"` // latency of the key-value store
	CloudRPS       float64 `toml:"cloud_rps" json:"cloud_rps"`
}

const (
	// maxProcesses limits the number of controllers plus this process.
	maxProcesses = 200
	maxWorkers   = 20_000
	maxGangSize  = 64
)

// DefaultProfile returns the profile with the values of fields that a profile file omits.
func DefaultProfile() Profile {
	return Profile{
		Seed:                 1,
		WarmupS:              15,
		RunS:                 20,
		Regions:              1,
		ZonesPerRegion:       2,
		ControllersPerRegion: 3,
		Workers:              40,
		Teams:                4,
		TasksRunning:         80,
		Starts:               Starts{PerS: 10, Shape: shapeSteady},
		Gangs:                Gangs{RunS: 30},
		Workload:             Workload{TasksPerJob: 20, UrgentPerS: 1},
		Limits: Limits{
			HeartbeatS:     3,
			LeaseS:         24,
			CancelS:        49,
			MaxSockets:     3526,
			StoreRPS:       250,
			WriteRPS:       40,
			ValueKB:        16,
			TxnOps:         24,
			StoreLatencyMS: 3,
			CloudRPS:       8,
		},
	}
}

// LoadProfile reads and validates a profile file.
func LoadProfile(path string) (Profile, error) {
	p := DefaultProfile()
	b, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	return ParseProfile(b)
}

// ParseProfile decodes and validates a profile in TOML.
func ParseProfile(b []byte) (Profile, error) {
	p := DefaultProfile()
	if err := toml.Unmarshal(b, &p); err != nil {
		return p, err
	}
	return p, p.Check()
}

// fieldRange is a field of a profile with its value and its valid range.
type fieldRange struct {
	name            string
	value, min, max float64
}

// ranges lists the fields that Check compares with a range. Some bounds depend on other fields.
func (p *Profile) ranges() []fieldRange {
	workers := float64(p.Workers)
	failures := &p.Failures
	return []fieldRange{
		{"warm_s", p.WarmupS, 1, 3600},
		{"run_s", p.RunS, 1, 86_400},
		{"regions", float64(p.Regions), 1, 16},
		{"zones_each", float64(p.ZonesPerRegion), 1, 16},
		{"controllers_each", float64(p.ControllersPerRegion), 1, 16},
		{"workers", workers, float64(p.Regions), maxWorkers},
		{"accelerators", float64(p.GPUs), 0, 8 * workers},
		{"teams", float64(p.Teams), 1, 1000},
		{"tasks_running", float64(p.TasksRunning), workers, 64 * workers},
		{"finished_before", float64(p.FinishedBefore), 0, 1e6},
		{"starts.per_s", p.Starts.PerS, 0, 1e5},
		{"starts.one_share", p.Starts.FirstRegionShare, 0, 1},
		{"gangs.run_s", p.Gangs.RunS, 1, 86_400},
		{"failures_per_minute.worker_stops", failures.WorkerStops, 0, 6000},
		{"failures_per_minute.worker_restarts", failures.WorkerRestarts, 0, 6000},
		{"failures_per_minute.racks", failures.Racks, 0, 60},
		{"failures_per_minute.zones", failures.Zones, 0, 60},
		{"failures_per_minute.controllers", failures.Controllers, 0, 60},
		{"failures_per_minute.rack_size", float64(failures.RackSize), 0, 1000},
		{"workload.tasks_per_job", float64(p.Workload.TasksPerJob), 1, 10_000},
		{"workload.urgent_per_s", p.Workload.UrgentPerS, 0, 1000},
		{"workload.cold_share", p.Workload.ColdShare, 0, 1},
		{"limits.state_ms", p.Limits.StoreLatencyMS, 0, 1000},
	}
}

// Check validates the profile. The error begins with the name of the first invalid field.
func (p *Profile) Check() error {
	for _, field := range p.ranges() {
		if math.IsNaN(field.value) || field.value < field.min || field.value > field.max {
			return fmt.Errorf("%s: %v is not in the range %v to %v", field.name, field.value, field.min, field.max)
		}
	}
	switch p.Starts.Shape {
	case shapeSteady, shapeRamp, shapeBurst:
	default:
		return fmt.Errorf("starts.shape: %q is not one of steady, ramp, burst", p.Starts.Shape)
	}
	gpuMachines := p.gpuMachines() / p.Regions
	for i, size := range p.Gangs.Sizes {
		if size < 1 || size > maxGangSize || size > gpuMachines {
			return fmt.Errorf(
				"gangs.sizes[%d]: %d must be from 1 to %d and at most the number of GPU machines of a region, %d",
				i, size, maxGangSize, gpuMachines)
		}
	}
	if n := p.Regions*p.ControllersPerRegion + 1; n > maxProcesses {
		return fmt.Errorf("controllers_each: %d processes exceed the limit of %d", n, maxProcesses)
	}
	return nil
}

// gpusPerMachine is the number of GPUs of each GPU machine.
const gpusPerMachine = 8

func (p *Profile) gpuMachines() int { return p.GPUs / gpusPerMachine }

// regionShare returns a region's share of a total. A remainder is distributed to the first regions, one each.
func (p *Profile) regionShare(total, region int) int {
	n := total / p.Regions
	if region < total%p.Regions {
		n++
	}
	return n
}

// startRate returns the requested task starts per second of a region, elapsedS seconds after the run began.
func (p *Profile) startRate(region int, elapsedS float64) float64 {
	regionRate := p.Starts.PerS / float64(p.Regions)
	if firstShare := p.Starts.FirstRegionShare; firstShare > 0 && p.Regions > 1 {
		if region == 0 {
			regionRate = p.Starts.PerS * firstShare
		} else {
			regionRate = p.Starts.PerS * (1 - firstShare) / float64(p.Regions-1)
		}
	}
	end := p.WarmupS + p.RunS
	switch p.Starts.Shape {
	case shapeRamp:
		return regionRate * min(1, elapsedS/end)
	case shapeBurst:
		if measuredS := elapsedS - p.WarmupS; measuredS < p.RunS/3 || measuredS > 2*p.RunS/3 {
			return regionRate / 5
		}
	}
	return regionRate
}
