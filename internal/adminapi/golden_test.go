package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/golden"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// operatorMessages returns every message of the admin API by its golden file. No field has its zero value.
func operatorMessages() map[string]any {
	return map[string]any{
		"why.json": &wire.Explanation{
			ID:          "req-000412",
			State:       wire.JobPending,
			LogBatch:    1 << 40,
			Node:        "n1",
			AgeS:        1.5,
			Waiting:     4,
			Starting:    2,
			WillPlace:   1,
			WillPreempt: 3,
			Complete:    true,
			Partial:     true,
			Reasons: []wire.Reason{
				{Code: "team-limit", Text: "its team's limit", Binding: true, PlacedWithout: 4, PreemptedWithout: 1,
					RemainingS: 2.5, Count: 3, First: "req-000007", Unit: "GPUs", Need: 4, Used: 62, Limit: 64},
			},
			Pairs:   [][2]string{{"queue", "no-room"}},
			History: []wire.ReasonPeriod{{Code: "paced", SinceS: 65}},
		},
		"queue.json": &wire.Queue{Node: "n1", LogBatch: 7, Tasks: 9, More: 2, Jobs: []wire.QueuedJob{
			{Position: 1, ID: "req-000412", Team: "red", Class: "train", Priority: wire.High, Waiting: 4,
				Reason: "no-room", Text: "no room on machines that suit it", SinceS: 5, AgeS: 6}}},
		"duties.json": &wire.RoleList{
			Node:                  "n1",
			Leader:                "n2",
			Distributed:           true,
			UncertainProvisioning: []string{"fh-1-2"},
			Roles: []wire.RoleStatus{
				{Role: "rent", Holder: "n1", Term: 7, ObservedS: 3, LastProgressS: 0.25, NoProgressHolders: 1,
					ReleaseReason: "no answer"},
			},
		},
		"problem.json": &wire.AdminProblem{Error: "unknown"},
		"filter.json":  &Filter{Team: "red", Class: "train", Reason: "paced", Limit: 500}, // sent between controllers
	}
}

// TestGoldenMessages checks that each message is encoded as in its golden file and decoded from it, and that changing
// any field name in the file is detected.
func TestGoldenMessages(t *testing.T) {
	for file, want := range operatorMessages() {
		golden.Check(t, file, encoding.Message(http.StatusOK, want).Body)
		stored := golden.Read(t, file)
		reencode := func(b []byte) ([]byte, error) {
			message := reflect.New(reflect.TypeOf(want).Elem()).Interface()
			if err := json.Unmarshal(b, message); err != nil {
				return nil, err
			}
			if d := cmp.Diff(want, message); d != "" {
				return nil, fmt.Errorf("decoded wrongly (-want +got):\n%s", d)
			}
			return json.Marshal(message)
		}
		if reencoded, err := reencode(stored); err != nil || !bytes.Equal(reencoded, stored) {
			t.Errorf("%s after decoding and encoding: got %s, %v, want %s", file, reencoded, err, stored)
		}
		for _, name := range regexp.MustCompile(`[{,]"\w+":`).FindAllIndex(stored, -1) {
			changed := bytes.Clone(stored)
			changed[name[0]+2] = '~'
			if _, err := reencode(changed); err == nil {
				t.Errorf("%s with the field name at byte %d changed: got no error, want one", file, name[0])
			}
		}
	}
	golden.Check(t, "filter-empty.json", encoding.Message(http.StatusOK, &Filter{}).Body)
	emptyReason := &wire.Explanation{Reasons: []wire.Reason{{}}}
	golden.Check(t, "why-empty.json", encoding.Message(http.StatusOK, emptyReason).Body)
}

// scriptedService is a service that returns a fixed result and records the request that it receives.
type scriptedService struct {
	result   result.Result
	received string
}

func (s *scriptedService) Explain(_ context.Context, id string) result.Result {
	s.received = "why " + id
	return s.result
}

func (s *scriptedService) Queue(_ context.Context, f Filter) result.Result {
	s.received = "queue " + string(encoding.Message(http.StatusOK, f).Body)
	return s.result
}

func (s *scriptedService) Roles(context.Context) result.Result {
	s.received = "duties"
	return s.result
}

// TestGoldenHTTP compares routes, queries, statuses, headers and error responses with the golden file.
func TestGoldenHTTP(t *testing.T) {
	ok := result.Forwarded{Response: encoding.Message(http.StatusOK, &wire.AdminProblem{})}
	unencodable := result.Forwarded{Response: encoding.Message(http.StatusOK, func() {})}
	why := wire.PathAdminJobs + "/req-000412" + wire.WhySuffix
	var b strings.Builder
	for _, c := range []struct {
		method, path string
		result       result.Result
	}{
		{"GET", why, ok},
		{"GET", why, result.Unknown{Reason: "unknown"}},
		{"GET", why, result.Unavailable{Reason: "no leader", RetryAfter: 2 * time.Second}},
		{"GET", why, unencodable}, // a result whose body cannot be encoded
		{"POST", why, ok},
		{"GET", wire.PathAdminJobs + "/x" + wire.WhySuffix, ok},
		{"GET", wire.PathAdminJobs + "/req-000412", ok},
		{"GET", wire.PathAdminQueue, ok},
		{"GET", wire.PathAdminQueue + "?team=red&class=train&reason=paced&most=500", ok},
		{"GET", wire.PathAdminQueue + "?most=501", ok},
		{"GET", wire.PathAdminQueue + "?most=x", ok},
		{"GET", wire.PathAdminQueue + "?reason=x", ok},
		{"GET", wire.PathAdminQueue + "?tema=x", ok},
		{"GET", wire.PathAdminQueue + "?team=x&team=y", ok},
		{"GET", wire.PathAdminRoles, ok},
		{"GET", "/", ok},
	} {
		s, w := &scriptedService{result: c.result}, httptest.NewRecorder()
		Handler(s).ServeHTTP(w, httptest.NewRequest(c.method, c.path, nil))
		fmt.Fprintf(&b, "=== %s %s\nasked: %s\n%d\n%s", c.method, c.path, s.received, w.Code,
			golden.FormatMessage(w.Header(), w.Body.Bytes()))
	}
	golden.Check(t, "http.txt", []byte(b.String()))
}
