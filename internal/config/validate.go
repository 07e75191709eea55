package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
)

// FieldError says which setting is missing or invalid, by its name in the file.
type FieldError struct {
	Field   string
	Problem string
}

// Error names the setting first.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// What the key-value store must allow at the least: a log entry in a value, and a fenced write in a transaction.
const (
	minValueKB = 1
	minTxnOps  = 3
)

// validate checks the sections in order, and returns the first error.
func (s *Settings) validate() error {
	for _, check := range []func() error{
		s.validateIdentity,
		s.validateMembers,
		s.validateAddresses,
		s.Params.validatePresence,
		s.Params.validateZones,
		s.Params.validateTeams,
		s.Params.validateObjectives,
		s.Params.validateAmounts,
		s.validateTimes,
		s.Params.KVStore.validate,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// namedText is a text setting and its name in the file.
type namedText struct{ field, text string }

// namedAmount is a setting that is a number and its name in the file.
type namedAmount struct {
	field  string
	amount float64
}

func (s *Settings) validateIdentity() error {
	for _, f := range []namedText{{"node", s.Node}, {"zone", s.Zone}} {
		if f.text == "" {
			return fieldErrorf(f.field, "missing")
		}
	}
	return nil
}

func (s *Settings) validateMembers() error {
	names := map[string]bool{s.Node: true}
	for i, m := range s.Members {
		if m.Node == "" || names[m.Node] {
			return fieldErrorf(fmt.Sprintf("members[%d].node", i), "missing or given twice")
		}
		names[m.Node] = true
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	addrs := []namedText{
		{"bind", s.Bind},
		{"peer_listen", s.PeerListen},
		{"endpoints.cloud", s.Endpoints.Cloud},
		{"endpoints.state", s.Endpoints.KVStore},
	}
	for i, m := range s.Members {
		addrs = append(addrs, namedText{fmt.Sprintf("members[%d].endpoint", i), m.Addr})
	}
	for _, f := range addrs {
		if f.text == "" {
			return fieldErrorf(f.field, "missing")
		}
		if _, err := netip.ParseAddrPort(f.text); err != nil {
			return fieldErrorf(f.field, "%q is not an address with a port", f.text)
		}
	}
	return nil
}

func (p *Params) validatePresence() error {
	if len(p.Teams) == 0 {
		return fieldErrorf("params.teams", "missing")
	}
	if len(p.Zones) == 0 {
		return fieldErrorf("params.zones", "missing")
	}
	return nil
}

func (p *Params) validateZones() error {
	for i, z := range p.Zones {
		if z == "" || slices.Contains(p.Zones[:i], z) {
			return fieldErrorf(fmt.Sprintf("params.zones[%d]", i), "empty or given twice")
		}
	}
	return nil
}

func (p *Params) validateTeams() error {
	names := map[string]bool{}
	for i, t := range p.Teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		if t.Name == "" || names[t.Name] {
			return fieldErrorf(field+"name", "missing or given twice")
		}
		names[t.Name] = true
		for _, f := range []namedAmount{
			{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax},
		} {
			if !isAmount(f.amount) {
				return fieldErrorf(field+f.field, "%v is not an amount", f.amount)
			}
		}
	}
	return nil
}

func (p *Params) validateObjectives() error {
	for i, o := range p.Objectives {
		if !isAmount(o.WithinS) || !isAmount(o.Share) || o.Share > 1 || !isFinite(o.Times) {
			return fieldErrorf(fmt.Sprintf("params.objectives[%d]", i), "invalid")
		}
	}
	return nil
}

// validateAmounts checks the numbers that must be given and above 0, and those that may be 0.
func (p *Params) validateAmounts() error {
	for _, f := range []namedAmount{
		{"workers.report_s", p.Workers.HeartbeatS},
		{"workers.lease_s", p.Workers.LeaseS},
		{"workers.gang_wait_s", p.Workers.GangWaitS},
		{"workers.gang_peer_s", p.Workers.GangPeerS},
		{"workers.cancel_s", p.Workers.CancelS},
		{"state.rps", p.KVStore.RPS},
		{"state.write_rps", p.KVStore.WriteRPS},
		{"state.value_kb", p.KVStore.ValueKB},
		{"state.txn_ops", float64(p.KVStore.TxnOps)},
		{"cloud.rps", p.Cloud.RPS},
		{"machine_limits.cpu_share", p.Limits.CPUShare},
		{"machine_limits.memory_mb", p.Limits.MemoryMB},
		{"machine_limits.max_sockets", float64(p.Limits.MaxSockets)},
	} {
		if !isAmount(f.amount) || f.amount == 0 {
			return fieldErrorf("params."+f.field, "missing or not above 0")
		}
	}
	if !isAmount(p.Cloud.ListLagS) || !isAmount(p.TimeBoundMS) {
		return fieldErrorf("params.cloud.list_lag_s or params.time_bound_ms", "invalid")
	}
	return nil
}

// validateTimes checks that the agents' times leave room for each other.
func (s *Settings) validateTimes() error {
	w := &s.Params.Workers
	switch {
	case w.LeaseS <= w.HeartbeatS:
		return fieldErrorf("params.workers.lease_s", "must be above report_s")
	case w.CancelS <= w.LeaseS:
		return fieldErrorf("params.workers.cancel_s", "must be above lease_s")
	case s.StaleRenewalLimit() <= 0:
		return fieldErrorf("params.workers.cancel_s",
			"%v leaves no room over lease_s of %v: what clocks may differ by takes it up", w.CancelS, w.LeaseS)
	}
	return nil
}

func (k *KVStore) validate() error {
	if k.ValueKB < minValueKB || k.TxnOps < minTxnOps {
		return fieldErrorf("params.state", "value_kb under %d or txn_ops under %d", minValueKB, minTxnOps)
	}
	return nil
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// isAmount tells whether a number is finite and not below 0.
func isAmount(f float64) bool { return isFinite(f) && f >= 0 }
