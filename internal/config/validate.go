package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
)

// FieldError reports a missing or invalid setting.
type FieldError struct {
	Field   string // key in the settings file, with its tables, for example params.state.rps
	Problem string
}

// Error names the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Lowest supported limits of the key-value store: a value must have room for a log entry, and a transaction for a
// fenced write.
const (
	minValueKB = 1
	minTxnOps  = 3
)

// validate runs the checks in order and returns the first error.
func (s *Settings) validate() error {
	for _, check := range []func() error{
		s.validateIdentity,
		s.validateMembers,
		s.validateAddresses,
		s.Params.validatePresence,
		s.Params.validateZones,
		s.Params.validateTeams,
		s.Params.validateObjectives,
		s.Params.validateNumbers,
		s.validateTimes,
		s.Params.KVStore.validate,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// namedString is a string setting and its key in the settings file.
type namedString struct{ field, value string }

// namedNumber is a numeric setting and its key in the settings file.
type namedNumber struct {
	field  string
	number float64
}

func (s *Settings) validateIdentity() error {
	for _, f := range []namedString{{"node", s.Node}, {"zone", s.Zone}} {
		if f.value == "" {
			return fieldErrorf(f.field, "missing")
		}
	}
	return nil
}

func (s *Settings) validateMembers() error {
	names := map[string]bool{s.Node: true}
	for i, m := range s.Members {
		if m.Node == "" || names[m.Node] {
			return fieldErrorf(fmt.Sprintf("members[%d].node", i), "missing or duplicate")
		}
		names[m.Node] = true
	}
	return nil
}

func (s *Settings) validateAddresses() error {
	addrs := []namedString{
		{"bind", s.Bind},
		{"peer_listen", s.PeerListen},
		{"endpoints.cloud", s.Endpoints.Cloud},
		{"endpoints.state", s.Endpoints.KVStore},
	}
	for i, m := range s.Members {
		addrs = append(addrs, namedString{fmt.Sprintf("members[%d].endpoint", i), m.Addr})
	}
	for _, f := range addrs {
		if f.value == "" {
			return fieldErrorf(f.field, "missing")
		}
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			return fieldErrorf(f.field, "%q is not an address with a port", f.value)
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
			return fieldErrorf(fmt.Sprintf("params.zones[%d]", i), "empty or duplicate")
		}
	}
	return nil
}

func (p *Params) validateTeams() error {
	names := map[string]bool{}
	for i, t := range p.Teams {
		field := fmt.Sprintf("params.teams[%d].", i)
		if t.Name == "" || names[t.Name] {
			return fieldErrorf(field+"name", "missing or duplicate")
		}
		names[t.Name] = true
		for _, f := range []namedNumber{
			{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax},
		} {
			if !isNonNegative(f.number) {
				return fieldErrorf(field+f.field, "%v is not a finite number of at least 0", f.number)
			}
		}
	}
	return nil
}

func (p *Params) validateObjectives() error {
	for i, o := range p.Objectives {
		if !isNonNegative(o.WithinS) || !isNonNegative(o.Share) || o.Share > 1 || !isFinite(o.Times) {
			return fieldErrorf(fmt.Sprintf("params.objectives[%d]", i), "invalid")
		}
	}
	return nil
}

// validateNumbers checks that numbers are finite and greater than 0 or, if 0 is valid, at least 0.
func (p *Params) validateNumbers() error {
	for _, f := range []namedNumber{
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
		if !isNonNegative(f.number) || f.number == 0 {
			return fieldErrorf("params."+f.field, "missing or not greater than 0")
		}
	}
	if !isNonNegative(p.Cloud.ListLagS) || !isNonNegative(p.TimeBoundMS) {
		return fieldErrorf("params.cloud.list_lag_s or params.time_bound_ms", "invalid")
	}
	return nil
}

// validateTimes checks that the lease is longer than the heartbeat interval, and the time limit for cancellations
// longer than the lease by enough to cover delays and clock drift.
func (s *Settings) validateTimes() error {
	w := &s.Params.Workers
	switch {
	case w.LeaseS <= w.HeartbeatS:
		return fieldErrorf("params.workers.lease_s", "must be greater than report_s")
	case w.CancelS <= w.LeaseS:
		return fieldErrorf("params.workers.cancel_s", "must be greater than lease_s")
	case s.StaleRenewalLimit() <= 0:
		return fieldErrorf("params.workers.cancel_s",
			"%v is too close to lease_s of %v: the allowance for clock drift uses up the difference",
			w.CancelS, w.LeaseS)
	}
	return nil
}

func (k *KVStore) validate() error {
	if k.ValueKB < minValueKB || k.TxnOps < minTxnOps {
		return fieldErrorf("params.state", "value_kb must be at least %d and txn_ops at least %d",
			minValueKB, minTxnOps)
	}
	return nil
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// isNonNegative reports whether a number is finite and at least 0.
func isNonNegative(f float64) bool { return isFinite(f) && f >= 0 }
