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

	"github.com/google/go-cmp/cmp"

	"fieldhill/internal/golden"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// operatorMessages has every message of the operators' interface, no field at its zero value.
func operatorMessages() map[string]any {
	return map[string]any{
		"why.json": &wire.Explanation{ID: "req-000412", State: wire.JobPending, Log: 1 << 40, Node: "n1", AgeS: 1.5,
			Waiting: 4, Starting: 2, Places: 1, Stops: 3, Complete: true, Partial: true,
			Reasons: []wire.Reason{{Code: "team-limit", Text: "its team's limit", Binds: true, Gains: 4, Stops: 1,
				ForS: 2.5, Number: 3, First: "req-000007", Of: "GPUs", Need: 4, Used: 62, Limit: 64}},
			Together: [][2]string{{"queue", "no-room"}}, Past: []wire.Past{{Code: "paced", SinceS: 65}}},
		"queue.json": &wire.Queue{Node: "n1", Log: 7, Tasks: 9, More: 2, Jobs: []wire.Queued{
			{Place: 1, ID: "req-000412", Team: "red", Class: "train", Priority: wire.High, Waiting: 4,
				Reason: "no-room", Text: "no room on machines that suit it", SinceS: 5, AgeS: 6}}},
		"duties.json": &wire.Duties{Node: "n1", Leader: "n2", Spread: true, Rentals: []string{"fh-1-2"},
			Duties: []wire.Duty{{Duty: "rent", Holder: "n1", Term: 7, ForS: 3, GotOnS: 0.25, Stuck: 1,
				Why: "no answer"}}},
		"problem.json": &wire.OpProblem{Error: "unknown"},
		"filter.json":  &Filter{Team: "red", Class: "train", Reason: "paced", Most: 500}, // between controllers
	}
}

// TestGoldenMessages: the messages are written as in the stored files and read from them; one byte that
// differs and one name that differs are found in each.
func TestGoldenMessages(t *testing.T) {
	for file, want := range operatorMessages() {
		golden.Check(t, file, Encode(http.StatusOK, want).Body)
		stored := golden.Read(t, file)
		rewrite := func(b []byte) ([]byte, error) {
			again := reflect.New(reflect.TypeOf(want).Elem()).Interface()
			if err := json.Unmarshal(b, again); err != nil {
				return nil, err
			}
			if d := cmp.Diff(want, again); d != "" {
				return nil, fmt.Errorf("read as\n%s", d)
			}
			return json.Marshal(again)
		}
		if again, err := rewrite(stored); err != nil || !bytes.Equal(again, stored) {
			t.Errorf("%s was written again as %s, %v", file, again, err)
		}
		for _, at := range regexp.MustCompile(`[{,]"\w+":`).FindAllIndex(stored, -1) {
			planted := bytes.Clone(stored)
			planted[at[0]+2] = '~'
			if _, err := rewrite(planted); err == nil {
				t.Errorf("%s: the name at byte %d was changed and nothing was found", file, at[0])
			}
		}
	}
	golden.Check(t, "filter-empty.json", Encode(http.StatusOK, &Filter{}).Body)
	golden.Check(t, "why-empty.json", Encode(http.StatusOK, &wire.Explanation{Reasons: []wire.Reason{{}}}).Body)
}

// scripted gives one answer to everything, and notes what it was asked.
type scripted struct {
	answer *rpc.Reply
	asked  string
}

func (s *scripted) Why(_ context.Context, id string) *rpc.Reply {
	s.asked = "why " + id
	return s.answer
}

func (s *scripted) Queue(_ context.Context, f Filter) *rpc.Reply {
	s.asked = "queue " + string(Encode(http.StatusOK, f).Body)
	return s.answer
}

func (s *scripted) Duties(context.Context) *rpc.Reply {
	s.asked = "duties"
	return s.answer
}

// TestGoldenHTTP: routes, queries, statuses, headers and refusals are those of the stored file.
func TestGoldenHTTP(t *testing.T) {
	ok := Encode(http.StatusOK, &wire.OpProblem{})
	why := wire.PathOpJobs + "/req-000412" + wire.WhySuffix
	var b strings.Builder
	for _, c := range []struct {
		method, path string
		answer       *rpc.Reply
	}{
		{"GET", why, ok},
		{"GET", why, Refuse(http.StatusNotFound, "unknown", 0)},
		{"GET", why, Refuse(http.StatusServiceUnavailable, "no leader", 2)},
		{"GET", why, Encode(http.StatusOK, func() {})}, // can't be written
		{"POST", why, ok},
		{"GET", wire.PathOpJobs + "/x" + wire.WhySuffix, ok},
		{"GET", wire.PathOpJobs + "/req-000412", ok},
		{"GET", wire.PathOpQueue, ok},
		{"GET", wire.PathOpQueue + "?team=red&class=train&reason=paced&most=500", ok},
		{"GET", wire.PathOpQueue + "?most=501", ok},
		{"GET", wire.PathOpQueue + "?most=x", ok},
		{"GET", wire.PathOpQueue + "?reason=x", ok},
		{"GET", wire.PathOpQueue + "?tema=x", ok},
		{"GET", wire.PathOpQueue + "?team=x&team=y", ok},
		{"GET", wire.PathOpDuties, ok},
		{"GET", "/", ok},
	} {
		s, w := &scripted{answer: c.answer}, httptest.NewRecorder()
		Handler(s).ServeHTTP(w, httptest.NewRequest(c.method, c.path, nil))
		fmt.Fprintf(&b, "=== %s %s\nasked: %s\n%d\n%s", c.method, c.path, s.asked, w.Code,
			golden.Message(w.Header(), w.Body.Bytes()))
	}
	golden.Check(t, "http.txt", []byte(b.String()))
}
