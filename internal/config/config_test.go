package config

import (
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.MainRapid(m, 400) }

const validSettings = `
node = "n0"
zone = "a"
bind = "10.0.0.1:80"
peer_listen = "10.0.0.1:81"
something_new = { x = 1 }
[[members]]
node = "n1"
zone = "b"
endpoint = "10.0.0.2:81"
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[params]
zones = ["a", "b"]
time_bound_ms = 250.0
[[params.teams]]
name = "red"
cpus = 4.0
cpus_max = 0.0
[params.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 49.0
[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 12
[params.cloud]
rps = 8.0
list_lag_s = 6.0
[params.machine_limits]
cpu_share = 0.5
memory_mb = 100.0
max_sockets = 100
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Members[0].Addr != "10.0.0.2:81" || s.Params.Workers.CancelS != 49 || s.Params.Teams[0].CPUsMax != 0 {
		t.Errorf("got %+v, want the values of validSettings", s)
	}
	// A lease that is renewed for the last time when the limit is reached must end within cancel_s.
	if limit := s.StaleRenewalLimit(); limit <= 0 ||
		limit+Seconds(s.Params.Workers.LeaseS) >= Seconds(s.Params.Workers.CancelS) {
		t.Errorf("stale renewal limit: got %v, want more than 0 s and less than cancel_s - lease_s", limit)
	}
}

func TestParseErrorsNameTheField(t *testing.T) {
	for _, c := range [][3]string{
		{`node = "n0"`, `node = ""`, "node"},
		{`"10.0.0.1:80"`, `"somewhere"`, "bind"},
		{`state = "10.2.0.1:1"`, ``, "endpoints.state"},
		{`node = "n1"`, `node = "n0"`, "members[0].node"},
		{`name = "red"`, `name = ""`, "teams[0].name"},
		{`cpus = 4.0`, `cpus = -4.0`, "teams[0].cpus"},
		{`cpus = 4.0`, `cpus = nan`, "teams[0].cpus"},
		{`report_s = 3.0`, ``, "report_s"},
		{`lease_s = 24.0`, `lease_s = 2.0`, "workers.lease_s"},
		{`zone = "a"`, `zone = ""`, "zone"},
		{`zones = ["a", "b"]`, ``, "params.zones"},
		{`zones = ["a", "b"]`, `zones = ["a", "a"]`, "params.zones[1]"},
		{`cancel_s = 49.0`, `cancel_s = 20.0`, "cancel_s"},
		{`cancel_s = 49.0`, `cancel_s = 24.03`, "params.workers.cancel_s: 24.03 is too close to lease_s"},
		{`rps = 100.0`, `rps = 0.0`, "state.rps"},
		{`cpu_share = 0.5`, `cpu_share = "half"`, "CPUShare"},
		{`rps = 100.0`, `rps = 1.0.0`, "line "},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, c[0], c[1], 1)))
		if err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s: got error %v, want one that contains %q", c[1], err, c[2])
		}
	}
}

// TestLeasesEndInTime computes, for random settings, the longest time that a task can outlive the cancellation of its
// job, and checks that it stays below cancel_s. In the worst case the job is cancelled just after a controller lost
// contact with the log. The controller then renews leases until StaleRenewalLimit has passed on its own clock, read
// when a heartbeat arrives; the agent counts the lease on its own clock from when it sent the heartbeat, which is
// earlier. Both clocks are as slow as the platform allows. docs/DESIGN.md has the derivation.
func TestLeasesEndInTime(t *testing.T) {
	rejected, tight := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := &Settings{}
		w := &s.Params.Workers
		w.LeaseS = rapid.Float64Range(0.5, 600).Draw(t, "lease")
		w.CancelS = w.LeaseS + math.Pow(10, rapid.Float64Range(-3, 3).Draw(t, "log10 of cancel_s - lease_s"))
		limit := s.StaleRenewalLimit()
		if limit <= 0 { // rejected by validate
			rejected++
			return
		}
		if w.CancelS-w.LeaseS < 2 {
			tight++
		}
		const clockRate = 1 - 0.0005
		lastEnd := limit.Seconds()/clockRate + w.LeaseS/clockRate
		if margin := w.CancelS - lastEnd; margin <= 0 {
			t.Fatalf("the last task ends %v s after cancel_s, want it to end earlier", -margin)
		} else if required := min(1.9, (w.CancelS-w.LeaseS)/4); margin < required {
			t.Fatalf("margin for unmeasured delays is %v s, want at least %v s", margin, required)
		}
	})
	if rejected == 0 || tight == 0 {
		t.Errorf("got %d rejected settings and %d with less than 2 s between lease_s and cancel_s, want some of each",
			rejected, tight)
	}
}
