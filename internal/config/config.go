// Package config reads the settings file that the platform hands over.
// Fields that it does not know are ignored, so that a newer platform can add some; a missing or invalid one is a
// FieldError that names it.
package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the whole file. Its keys are the platform's; the fields have the terms of the code.
type Settings struct {
	Node       string    `toml:"node"`        // this controller's name
	Zone       string    `toml:"zone"`        // where this controller is
	Bind       string    `toml:"bind"`        // address for users and agents
	PeerListen string    `toml:"peer_listen"` // address for the other controllers
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

// Endpoints are the addresses of the outside services.
type Endpoints struct {
	Cloud   string `toml:"cloud"`
	KVStore string `toml:"state"`
}

// Params is what the deployment sets.
type Params struct {
	InitialSize int         `toml:"initial_size"` // machines at the start
	Zones       []string    `toml:"zones"`
	TimeBoundMS float64     `toml:"time_bound_ms"` // by how much the time of day may differ from true time
	Teams       []Team      `toml:"teams"`
	Objectives  []Objective `toml:"objectives"`
	Workers     Workers     `toml:"workers"`
	KVStore     KVStore     `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Limits      Limits      `toml:"machine_limits"`
}

// Team is a team's guarantee and limit; a limit of 0 is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`     // wait, finished, deadline or guarantee
	Class   string  `toml:"class"`    // the class of jobs that it is for
	WithinS float64 `toml:"within_s"` // the time to keep, in seconds
	Times   float64 `toml:"times"`    // the time to keep, as a multiple of the job's deadline
	Share   float64 `toml:"share"`    // the part of the jobs that is to keep it
}

// StartWithin is the tightest time that objectives give the tasks of a class to start; false: they give none.
func StartWithin(all []Objective, class string) (seconds float64, ok bool) {
	for _, o := range all {
		if o.Kind == "wait" && o.Class == class && (!ok || o.WithinS < seconds) {
			seconds, ok = o.WithinS, true
		}
	}
	return seconds, ok
}

// Workers are the agents' times in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // between two heartbeats
	LeaseS     float64 `toml:"lease_s"`     // after the last renewal an agent stops its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // how long a member of a gang waits for the others to start
	GangPeerS  float64 `toml:"gang_peer_s"` // within which a running gang notices that a member is gone
	CancelS    float64 `toml:"cancel_s"`    // by when a cancelled job's tasks must have ended
}

// KVStore is what the key-value store allows.
type KVStore struct {
	RPS      float64 `toml:"rps"`       // requests a second
	WriteRPS float64 `toml:"write_rps"` // writes a second
	ValueKB  float64 `toml:"value_kb"`  // the largest value
	TxnOps   int     `toml:"txn_ops"`   // conditions and writes of one compare-and-swap
}

// Cloud is what the cloud allows.
type Cloud struct {
	RPS      float64 `toml:"rps"`        // requests a second
	ListLagS float64 `toml:"list_lag_s"` // by how much its list of machines is usually behind
}

// Limits are the limits of the controller's machine.
type Limits struct {
	CPUShare   float64 `toml:"cpu_share"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks a file.
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

// Parse reads and checks settings.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, col := decodeErr.Position()
			return nil, fmt.Errorf("line %d, column %d: %w", row, col, err)
		}
		return nil, err
	}
	return &s, s.validate()
}

// Seconds turns a setting into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// clockDriftShare is how much of cancel_s is left for clocks: twice what the platform allows two of them to differ by.
const clockDriftShare = 0.001

// maxUnmeasuredSeconds bounds what is left of cancel_s for what nobody measures.
const maxUnmeasuredSeconds = 2

// StaleRenewalLimit is how long a controller that is partitioned from the log may keep renewing agents'
// leases: a cancellation that it can't know of must still take effect in time.
// docs/DESIGN.md has the sum. What is left of cancel_s is for what nobody measures, at most two seconds,
// and for the drift of this controller's clock and the agent's.
func (s *Settings) StaleRenewalLimit() time.Duration {
	w := &s.Params.Workers
	slack := w.CancelS - w.LeaseS
	return Seconds(slack - min(maxUnmeasuredSeconds, slack/3) - clockDriftShare*w.CancelS)
}
