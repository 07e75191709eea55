// Package config reads and validates the settings file that the platform provides. Unknown fields are ignored, so that
// newer platform versions can add fields. A missing or invalid field is reported as a FieldError.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the content of the settings file. The platform defines the keys; Go names that differ from their keys
// are the terms that the rest of the code uses.
type Settings struct {
	Node       string    `toml:"node"`        // this controller's name
	Zone       string    `toml:"zone"`        // this controller's zone
	Bind       string    `toml:"bind"`        // listen address for users and agents
	PeerListen string    `toml:"peer_listen"` // listen address for the other controllers
	Members    []Member  `toml:"members"`
	Endpoints  Endpoints `toml:"endpoints"`
	Params     Params    `toml:"params"`
}

// Member is another controller.
type Member struct {
	Node string `toml:"node"`
	Zone string `toml:"zone"`
	Addr string `toml:"endpoint"`
}

// Endpoints holds the addresses of the external services.
type Endpoints struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Params holds the parameters of the deployment.
type Params struct {
	InitialSize int         `toml:"initial_size"` // number of machines at the start
	Zones       []string    `toml:"zones"`
	TimeBoundMS float64     `toml:"time_bound_ms"` // maximum error of the wall clock
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	KVStore     KVStore     `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Limits      Limits      `toml:"machine_limits"`
}

// Team holds the guaranteed resources of a team and its limits (the fields that end in Max). A limit of 0 means no
// limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective on the start or completion of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`     // wait, finished, deadline or guarantee
	Class   string  `toml:"class"`    // the job class that it applies to
	WithinS float64 `toml:"within_s"` // time limit in seconds
	Times   float64 `toml:"times"`    // time limit as a multiple of the job's deadline
	Share   float64 `toml:"share"`    // fraction of the jobs that must meet the limit
}

// StartWithin returns the shortest time within which the objectives require tasks of a class to start; ok is false if
// no objective applies.
func StartWithin(objectives []Objective, class string) (seconds float64, ok bool) {
	for _, o := range objectives {
		if o.Kind == "wait" && o.Class == class && (!ok || o.WithinS < seconds) {
			seconds, ok = o.WithinS, true
		}
	}
	return seconds, ok
}

// Workers holds the timing parameters of the agents, which run on the machines.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // heartbeat interval
	LeaseS     float64 `toml:"lease_s"`     // time after the last lease renewal at which an agent stops its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // how long a task of a gang waits for the other tasks to start
	GangPeerS  float64 `toml:"gang_peer_s"` // time within which a running gang detects the loss of a task
	CancelS    float64 `toml:"cancel_s"`    // time within which the tasks of a cancelled job must have ended
}

// KVStore holds the limits of the key-value store.
type KVStore struct {
	RPS      float64 `toml:"rps"`       // maximum number of requests per second
	WriteRPS float64 `toml:"write_rps"` // maximum number of writes per second
	ValueKB  float64 `toml:"value_kb"`  // maximum size of a value
	TxnOps   int     `toml:"txn_ops"`   // maximum number of conditions and writes in one transaction
}

// Cloud holds the limits and properties of the cloud's API.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // maximum number of requests per second
	ListLagS float64 `toml:"list_lag_s"` // usual time by which the machine list is out of date
}

// Limits holds the resources that a controller may use on its machine.
type Limits struct {
	CPUShare   float64 `toml:"cpu_share"`   // number of CPUs, which may be a fraction
	MemoryMB   float64 `toml:"memory_mb"`   // all memory of the process
	MaxSockets int     `toml:"max_sockets"` // number of open sockets
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates settings.
func Parse(data []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(data, &s); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, col := decodeErr.Position()
			return nil, fmt.Errorf("line %d, column %d: %w", row, col, err)
		}
		return nil, err
	}
	return &s, s.validate()
}

// Seconds converts a setting in seconds into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// clockDriftShare is the fraction of cancel_s reserved for clock drift: twice the difference in rate that the platform
// allows between two clocks.
const clockDriftShare = 0.001

// maxUnmeasuredSeconds is the maximum part of cancel_s, in seconds, reserved for delays that controllers do not
// measure.
const maxUnmeasuredSeconds = 2

// StaleRenewalLimit is how long a controller that is partitioned from the log may keep renewing agents' leases. A
// cancellation that the controller has not seen must still take effect within cancel_s, so the limit is what remains of
// cancel_s after the lease, a margin for unmeasured delays (a third of the remainder, at most two seconds), and the
// drift of the controller's clock and the agent's. docs/DESIGN.md has the derivation.
func (s *Settings) StaleRenewalLimit() time.Duration {
	w := &s.Params.Workers
	slack := w.CancelS - w.LeaseS
	return Seconds(slack - min(maxUnmeasuredSeconds, slack/3) - clockDriftShare*w.CancelS)
}
