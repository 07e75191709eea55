// Package config reads the settings file that the platform hands over.
// Fields it does not know are ignored; a missing or invalid one is an error
// that names it.
package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the whole file.
type Settings struct {
	Node       string    `toml:"node"`
	Zone       string    `toml:"zone"`
	Bind       string    `toml:"bind"`
	PeerListen string    `toml:"peer_listen"`
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
	InitialSize int         `toml:"initial_size"`
	Zones       []string    `toml:"zones"`
	TimeBoundMS float64     `toml:"time_bound_ms"`
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

// Objective is one aim on starting or finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Times   float64 `toml:"times"`
	Share   float64 `toml:"share"`
}

// StartWithin is the tightest time that objectives give the tasks of a class to start.
func StartWithin(all []Objective, class string) (seconds float64, ok bool) {
	for _, o := range all {
		if o.Kind == "wait" && o.Class == class && (!ok || o.WithinS < seconds) {
			seconds, ok = o.WithinS, true
		}
	}
	return seconds, ok
}

// Workers are the workers' timings in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	GangWaitS  float64 `toml:"gang_wait_s"`
	GangPeerS  float64 `toml:"gang_peer_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// KVStore is what the state service allows.
type KVStore struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud is what the cloud allows.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
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

func (s *Settings) validate() error {
	for _, f := range []struct{ name, v string }{{"node", s.Node}, {"zone", s.Zone}} {
		if f.v == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	addrs := []struct{ name, v string }{{"bind", s.Bind}, {"peer_listen", s.PeerListen},
		{"endpoints.cloud", s.Endpoints.Cloud}, {"endpoints.state", s.Endpoints.KVStore}}
	names := map[string]bool{s.Node: true}
	for i, m := range s.Members {
		if m.Node == "" || names[m.Node] {
			return fmt.Errorf("members[%d].node: missing or given twice", i)
		}
		names[m.Node] = true
		addrs = append(addrs, struct{ name, v string }{fmt.Sprintf("members[%d].endpoint", i), m.Addr})
	}
	for _, f := range addrs {
		if f.v == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
		if _, err := netip.ParseAddrPort(f.v); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", f.name, f.v)
		}
	}
	p := &s.Params
	if len(p.Teams) == 0 {
		return fmt.Errorf("params.teams: missing")
	}
	if len(p.Zones) == 0 {
		return fmt.Errorf("params.zones: missing")
	}
	for i, z := range p.Zones {
		if z == "" || slices.Contains(p.Zones[:i], z) {
			return fmt.Errorf("params.zones[%d]: empty or given twice", i)
		}
	}
	teams := map[string]bool{}
	for i, t := range p.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("params.teams[%d].name: missing or given twice", i)
		}
		teams[t.Name] = true
		for _, f := range []struct {
			name string
			v    float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if f.v < 0 || notFinite(f.v) {
				return fmt.Errorf("params.teams[%d].%s: %v is not an amount", i, f.name, f.v)
			}
		}
	}
	for i, o := range p.Objectives {
		if o.WithinS < 0 || notFinite(o.WithinS) || o.Share < 0 || o.Share > 1 || notFinite(o.Share) ||
			notFinite(o.Times) {
			return fmt.Errorf("params.objectives[%d]: invalid", i)
		}
	}
	w := &p.Workers
	for _, f := range []struct {
		name string
		v    float64
	}{
		{"workers.report_s", w.HeartbeatS}, {"workers.lease_s", w.LeaseS}, {"workers.gang_wait_s", w.GangWaitS},
		{"workers.gang_peer_s", w.GangPeerS}, {"workers.cancel_s", w.CancelS},
		{"state.rps", p.KVStore.RPS}, {"state.write_rps", p.KVStore.WriteRPS}, {"state.value_kb", p.KVStore.ValueKB},
		{"state.txn_ops", float64(p.KVStore.TxnOps)}, {"cloud.rps", p.Cloud.RPS},
		{"machine_limits.cpu_share", p.Limits.CPUShare}, {"machine_limits.memory_mb", p.Limits.MemoryMB},
		{"machine_limits.max_sockets", float64(p.Limits.MaxSockets)},
	} {
		if !(f.v > 0) || notFinite(f.v) {
			return fmt.Errorf("params.%s: missing or not above 0", f.name)
		}
	}
	if p.Cloud.ListLagS < 0 || notFinite(p.Cloud.ListLagS) || p.TimeBoundMS < 0 || notFinite(p.TimeBoundMS) {
		return fmt.Errorf("params.cloud.list_lag_s or params.time_bound_ms: invalid")
	}
	if w.LeaseS <= w.HeartbeatS {
		return fmt.Errorf("params.workers.lease_s: must be above report_s")
	}
	if w.CancelS <= w.LeaseS {
		return fmt.Errorf("params.workers.cancel_s: must be above lease_s")
	}
	if s.StaleRenewalLimit() <= 0 {
		return fmt.Errorf(
			"params.workers.cancel_s: %v leaves no room over lease_s of %v: what clocks may differ by takes it up",
			w.CancelS,
			w.LeaseS,
		)
	}
	if p.KVStore.ValueKB < 1 || p.KVStore.TxnOps < 3 {
		return fmt.Errorf("params.state: value_kb under 1 or txn_ops under 3")
	}
	return nil
}

func notFinite(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) }

// Seconds turns a setting into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// StaleRenewalLimit is how long a node that is cut off from the log may keep workers'
// leases alive: a cancellation it can't know of must still take effect in time.
// docs/DESIGN.md has the sum. What is left of cancel_s is for what nobody measures, at most two seconds,
// and for the drift of this node's clock and the worker's.
func (s *Settings) StaleRenewalLimit() time.Duration {
	w := &s.Params.Workers
	slack := w.CancelS - w.LeaseS
	return Seconds(slack - min(2, slack/3) - clockDriftShare*w.CancelS)
}

// clockDriftShare is how much of cancel_s is left for clocks: twice what the platform allows two of them to differ by.
const clockDriftShare = 0.001
