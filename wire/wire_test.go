package wire

import (
	"math"
	"strings"
	"testing"
)

func validJob() map[string]any {
	return map[string]any{
		"name_id":    "req-000412",
		"jobclass":   "train",
		"owner":      "vision",
		"shape":      "group",
		"rank":       "high",
		"pieces":     16,
		"cores":      8.0,
		"gpus":       1.0,
		"mem_gb":     64.0,
		"bundle":     "img-07",
		"image_gb":   6.2,
		"models":     []string{"g8"},
		"hall":       nil,
		"same_place": true,
		"spread":     false,
		"loaners":    true,
		"runtime_s":  240.0,
		"snapshot_s": 30.0,
		"flush_s":    4.0,
		"due_s":      900.0,
		"unknown":    map[string]any{"deep": []any{1, "x", nil}},
	}
}

func TestParseJobAcceptsProtocolExample(t *testing.T) {
	j := validJob()
	b, _ := Marshal(j)
	s, err := ParseJob(b)
	if err != nil {
		t.Fatal(err)
	}
	if s.ID != "req-000412" || s.Tasks != 16 || s.CPUs != 8 || len(s.Types) != 1 || s.Zone != nil ||
		*s.DeadlineS != 900 || !s.SameZone {
		t.Errorf("got %+v, want the values of validJob", s)
	}
	// Amounts may be encoded as integers, and fields that may be null may be omitted.
	j["cores"] = 8
	delete(j, "due_s")
	delete(j, "models")
	b, _ = Marshal(j)
	if s, err = ParseJob(b); err != nil || s.CPUs != 8 || s.DeadlineS != nil || s.Types != nil {
		t.Errorf("integer CPUs, no deadline, no types: got %+v, %v, want 8 CPUs and nil for the others", s, err)
	}
}

func TestParseJobRejectsMalformed(t *testing.T) {
	bad := map[string][]any{
		"name_id":  {nil, 5, "", "req-", "req-12", "job-000412", "req-0004120", "req-00041x", "req-9999999999999999"},
		"jobclass": {nil, "", 7},
		"shape":    {"service", nil},
		"rank":     {"low", 3},
		"pieces":   {0, -1, 100_001, 1.5, "3", nil, uint64(math.MaxUint64)},
		"cores":    {math.NaN(), math.Inf(1), -1.0, "8", nil, true},
		"mem_gb":   {math.Inf(-1)},
		"models":   {"g8", []any{1}},
		"hall":     {5},
		"spread":   {nil, 1},
		"due_s":    {"soon", -1.0},
	}
	for field, values := range bad {
		for _, v := range values {
			j := validJob()
			j[field] = v
			b, err := Marshal(j)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ParseJob(b); err == nil {
				t.Errorf("ParseJob with %s = %v: got no error, want one", field, v)
			}
		}
	}
	for _, f := range requiredFields {
		j := validJob()
		delete(j, f)
		b, _ := Marshal(j)
		if _, err := ParseJob(b); err == nil || !strings.Contains(err.Error(), f) {
			t.Errorf("without %s: got error %v, want one that names the field", f, err)
		}
	}
	b, _ := Marshal(validJob())
	for name, body := range map[string][]byte{"empty": nil, "list": {0x90}, "trailing": append(b[:len(b):len(b)], 0xc0),
		"cut": b[:len(b)-1], "text": []byte("hello"), "deep": append([]byte{0x81, 0xa1, 'x'}, nestedLists(60_000)...)} {
		if _, err := ParseJob(body); err == nil {
			t.Errorf("ParseJob of body %q: got no error, want one", name)
		}
		if _, err := PeekJobID(body); err == nil {
			t.Errorf("PeekJobID of body %q: got no error, want one", name)
		}
	}
}

// nestedLists encodes nested lists, which would exhaust the stack of a decoder that recurses without a limit.
func nestedLists(n int) []byte {
	b := []byte(strings.Repeat("\x91", n))
	return append(b, 0xc0)
}

func TestIDRoundTrip(t *testing.T) {
	for _, id := range []string{"req-000000", "req-000412", "req-999999", "req-1000000"} {
		n, ok := ParseJobID(id)
		if !ok || JobID(n) != id {
			t.Errorf("ParseJobID(%q) = %d, %v, want the number of that id", id, n, ok)
		}
		j, k, ok := ParseTaskID(TaskID(n, 31))
		if !ok || j != n || k != 31 {
			t.Errorf("ParseTaskID of task 31 of %s: got job %d, task %d, %v, want job %d, task 31", id, j, k, ok, n)
		}
	}
	for _, s := range []string{"req-000412", "req-000412/", "req-000412/-1", "req-000412/100000", "x/1"} {
		if _, _, ok := ParseTaskID(s); ok {
			t.Errorf("ParseTaskID(%q) succeeded, want false", s)
		}
	}
}

func FuzzParse(f *testing.F) {
	b, _ := Marshal(validJob())
	f.Add(b)
	f.Add([]byte{0x81, 0xa7, 'n', 'a', 'm', 'e', '_', 'i', 'd', 0xc0})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := ParseJob(b); err == nil {
			if _, ok := ParseJobID(s.ID); !ok || s.Tasks < 1 || !(s.CPUs >= 0) {
				t.Errorf("ParseJob: got invalid job %+v, want an error", s)
			}
			if _, err := PeekJobID(b); err != nil {
				t.Errorf("PeekJobID of a valid job: got error %v, want none", err)
			}
		}
		var r Heartbeat
		_ = Unmarshal(b, &r)
		var e Events
		_ = Unmarshal(b, &e)
	})
}
