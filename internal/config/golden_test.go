package config

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"

	"fieldhill/internal/golden"
)

// fullSettings is the content of settings.toml.
var fullSettings = &Settings{
	Node: "n0", Zone: "a", Bind: "10.0.0.1:80", PeerListen: "10.0.0.1:81",
	Members:   []Member{{Node: "n1", Zone: "b", Addr: "10.0.0.2:81"}, {Node: "n2", Zone: "c", Addr: "[fd00::3]:81"}},
	Endpoints: Endpoints{Cloud: "10.2.0.2:1", KVStore: "10.2.0.1:1"},
	Params: Params{InitialSize: 12, Zones: []string{"a", "b", "c"}, TimeBoundMS: 250,
		Teams:      []Team{{Name: "red", CPUs: 4.5, CPUsMax: 64, GPUs: 1, GPUsMax: 8}, {Name: "blue"}},
		Objectives: []Objective{{Kind: "wait", Class: "train", WithinS: 30.5, Times: 2, Share: 0.95}},
		Workers:    Workers{HeartbeatS: 3, LeaseS: 24, GangWaitS: 40, GangPeerS: 5, CancelS: 49},
		KVStore:    KVStore{RPS: 100, WriteRPS: 20, ValueKB: 8, TxnOps: 12},
		Cloud:      Cloud{RPS: 8, ListLagS: 6},
		Limits:     Limits{CPUShare: 0.5, MemoryMB: 100, MaxSockets: 100}},
}

// TestGoldenSettings checks that settings.toml, which has every key, is decoded as fullSettings, and that fullSettings
// is encoded with the same keys. To detect a wrong tag in a struct, it also checks that renaming any key in the file
// gives an error or other settings.
func TestGoldenSettings(t *testing.T) {
	stored := golden.Read(t, "settings.toml")
	got, err := Parse(stored)
	if d := cmp.Diff(fullSettings, got); d != "" || err != nil {
		t.Errorf("settings.toml was decoded wrongly (-want +got):\n%s, %v", d, err)
	}
	written, err := toml.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "written.toml", written)
	reparsed, err := Parse(golden.Read(t, "written.toml"))
	if d := cmp.Diff(fullSettings, reparsed); d != "" || err != nil {
		t.Errorf("written.toml was decoded wrongly (-want +got):\n%s, %v", d, err)
	}
	for _, key := range regexp.MustCompile(`(?m)^(\[+(params\.)?)?\w+( =|\]+$)`).FindAllIndex(stored, -1) {
		renamed := bytes.Clone(stored)
		renamed[key[0]+bytes.LastIndexAny(stored[key[0]:key[1]], "[.")+1] = 'q'
		if got, err := Parse(renamed); err == nil && cmp.Equal(fullSettings, got) {
			t.Errorf("after renaming the key at byte %d to %s: got the same settings, want an error or other settings",
				key[0], renamed[key[0]:key[1]])
		}
	}
}

// TestGoldenErrors compares errors with the golden file: those for each line of the settings file that is left out or
// has another value, for malformed files, and for inconsistent settings.
func TestGoldenErrors(t *testing.T) {
	lines := strings.SplitAfter(string(golden.Read(t, "settings.toml")), "\n")
	var b strings.Builder
	section := ""
	for i, line := range lines {
		key, value, ok := strings.Cut(strings.TrimSpace(line), " = ")
		if !ok {
			section = key
			continue
		}
		check := func(label, replacement string) {
			changed := append([]string(nil), lines...)
			changed[i] = replacement
			_, err := Parse([]byte(strings.Join(changed, "")))
			fmt.Fprintf(&b, "%s %s %s: %v\n", section, key, label, err)
		}
		alternatives := []string{"-1", "0", "1e9", "nan"}
		switch {
		case value[0] == '"':
			alternatives = []string{`""`, `"n0"`, `"red"`}
		case value[0] == '[':
			alternatives = []string{"[]", `["a", "a"]`, `[""]`}
		case !strings.Contains(value, "."):
			alternatives = []string{"-1", "0", "2"}
		}
		check("left out", "")
		for _, alternative := range alternatives {
			check("= "+alternative, key+" = "+alternative+"\n")
		}
	}
	for _, text := range []string{"", "node = ", "node = 1.0.0", "[[params", "x = 1\nx = 2"} {
		_, err := Parse([]byte(text))
		fmt.Fprintf(&b, "%q: %v\n", text, err)
	}
	for _, c := range [][2]string{{"cancel_s = 49.0", "cancel_s = 20.0"}, {"cancel_s = 49.0", "cancel_s = 24.03"},
		{"lease_s = 24.0", "lease_s = 2.0"}, {"cpus = 4.5", "cpus = inf"}, {"share = 0.95", "share = 1.5"}} {
		_, err := Parse([]byte(strings.Replace(strings.Join(lines, ""), c[0], c[1], 1)))
		fmt.Fprintf(&b, "%s: %v\n", c[1], err)
	}
	fmt.Fprintf(&b, "leases are kept for %v\n", fullSettings.StaleRenewalLimit())
	_, err := Load("testdata/none.toml")
	fmt.Fprintf(&b, "no file: %v\n", err)
	golden.Check(t, "errors.txt", []byte(b.String()))
}
