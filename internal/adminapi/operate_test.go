package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	generate "github.com/invopop/jsonschema"
	validate "github.com/santhosh-tekuri/jsonschema/v6"

	"fieldhill/internal/golden"
	"fieldhill/internal/rpc"
	"fieldhill/wire"
)

// said answers with what it was given, and notes what it was asked.
type said struct {
	why   *wire.Explanation
	queue *wire.Queue
	asked []any
}

func (s *said) Duties(context.Context) *rpc.Reply {
	return Encode(http.StatusOK, &wire.Duties{Node: "n", Leader: "m", Spread: true, Duties: []wire.Duty{{Duty: "rent", Holder: "n", Term: 7, ForS: 3}}, Rentals: []string{"fh-1-2"}})
}

func (s *said) Why(_ context.Context, id string) *rpc.Reply {
	s.asked = append(s.asked, id)
	return Encode(http.StatusOK, s.why)
}

func (s *said) Queue(_ context.Context, f Filter) *rpc.Reply {
	s.asked = append(s.asked, f)
	return Encode(http.StatusOK, s.queue)
}

func ask(s Service, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	Handler(s).ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

// TestPublishedSchemas: the schemas in docs/schema are those of the messages, answers are valid by
// them, and an answer with a field that is missing or of another kind is not.
func TestPublishedSchemas(t *testing.T) {
	s := &said{
		why: &wire.Explanation{ID: "req-000412", State: "pending", Node: "n", Reasons: []wire.Reason{{Code: "team-limit", Text: "its team's limit", Binds: true, Of: "CPUs", Need: 4, Used: 24, Limit: 24}},
			Together: [][2]string{{"queue", "no-room"}}, Past: []wire.Past{{Code: "team-limit", SinceS: 3}}},
		queue: &wire.Queue{Node: "n", Jobs: []wire.Queued{{Place: 1, ID: "req-000412", Reason: "no-room"}}},
	}
	for _, c := range []struct {
		file, path string
		of         any
	}{
		{"why.json", wire.PathOpJobs + "/req-000412" + wire.WhySuffix, &wire.Explanation{}},
		{"queue.json", wire.PathOpQueue, &wire.Queue{}},
		{"duties.json", wire.PathOpDuties, &wire.Duties{}},
	} {
		// Newer versions may add fields, which clients ignore.
		b, err := json.MarshalIndent((&generate.Reflector{AllowAdditionalProperties: true, Anonymous: true}).Reflect(c.of), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		at := filepath.Join("..", "..", "docs", "schema", c.file)
		if golden.Updating() {
			if err := os.WriteFile(at, append(b, '\n'), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		published, err := os.ReadFile(at)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(bytes.TrimSpace(published), b) {
			t.Errorf("%s is not the schema of %T: run go test ./internal/operate -update", at, c.of)
		}
		schema, err := validate.NewCompiler().Compile(at)
		if err != nil {
			t.Fatal(err)
		}
		w := ask(s, c.path)
		doc, err := validate.UnmarshalJSON(w.Body)
		if err != nil || w.Code != 200 {
			t.Fatal(w.Code, err)
		}
		if err := schema.Validate(doc); err != nil {
			t.Errorf("the answer at %s is not valid: %v", c.path, err)
		}
		m := doc.(map[string]any)
		m["node"] = 7
		if schema.Validate(m) == nil {
			t.Errorf("%s allows a node that is a number", c.file)
		}
		if delete(m, "node"); schema.Validate(m) == nil {
			t.Errorf("%s allows an answer without a node", c.file)
		}
	}
}

// TestQuestions: what is malformed is refused with the field's name before anybody is asked.
func TestQuestions(t *testing.T) {
	s := &said{why: &wire.Explanation{}, queue: &wire.Queue{}}
	for path, want := range map[string]string{
		"/v1/jobs/nonsense/why":                       "id:",
		"/v1/queue?tema=red":                          "tema:",
		"/v1/queue?reason=nonsense":                   "reason:",
		"/v1/queue?most=0":                            "most:",
		"/v1/queue?most=501":                          "most:",
		"/v1/queue?most=x":                            "most:",
		"/v1/queue?team=a&team=b":                     "team:",
		"/v1/queue?class=" + strings.Repeat("x", 201): "class:",
	} {
		w := ask(s, path)
		var p wire.OpProblem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Code != 400 || !strings.HasPrefix(p.Error, want) {
			t.Errorf("%.40s: %d %q, not 400 and %s", path, w.Code, p.Error, want)
		}
	}
	if len(s.asked) != 0 {
		t.Errorf("somebody was asked: %v", s.asked)
	}
	if ask(s, "/v1/queue?team=red&reason=paced&most=500"); len(s.asked) != 1 || s.asked[0] != (Filter{Team: "red", Reason: "paced", Most: 500}) {
		t.Errorf("asked %+v", s.asked)
	}
	if w := ask(s, "/api/jobs"); w.Code != 404 {
		t.Errorf("the users' interface is here too: %d", w.Code)
	}
}
