package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	generate "github.com/invopop/jsonschema"
	validate "github.com/santhosh-tekuri/jsonschema/v6"

	"fieldhill/internal/golden"
	"fieldhill/internal/result"
	"fieldhill/wire"
)

// stubService returns fixed results and records the requests that it receives.
type stubService struct {
	explanation *wire.Explanation
	queue       *wire.Queue
	requests    []any
}

func (s *stubService) Roles(context.Context) result.Result {
	return result.RoleList{RoleList: &wire.RoleList{
		Node:                  "n",
		Leader:                "m",
		Distributed:           true,
		Roles:                 []wire.RoleStatus{{Role: "rent", Holder: "n", Term: 7, ObservedS: 3}},
		UncertainProvisioning: []string{"fh-1-2"},
	}}
}

func (s *stubService) Explain(_ context.Context, id string) result.Result {
	s.requests = append(s.requests, id)
	return result.Explanation{Explanation: s.explanation}
}

func (s *stubService) Queue(_ context.Context, f Filter) result.Result {
	s.requests = append(s.requests, f)
	return result.Queue{Queue: s.queue}
}

func get(s Service, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	Handler(s).ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

// publishedName returns the name of a type's definition in a schema. A published definition keeps its name, even where
// the Go type has another one.
func publishedName(t reflect.Type) string {
	published := map[string]string{
		"RoleList":     "Duties",
		"RoleStatus":   "Duty",
		"QueuedJob":    "Queued",
		"ReasonPeriod": "Past",
	}
	if name, ok := published[t.Name()]; ok {
		return name
	}
	return t.Name()
}

// newStubService returns a service with a valid result for each kind of request.
func newStubService() *stubService {
	reason := wire.Reason{
		Code:    "team-limit",
		Text:    "its team's limit",
		Binding: true,
		Unit:    "CPUs",
		Need:    4,
		Used:    24,
		Limit:   24,
	}
	return &stubService{
		explanation: &wire.Explanation{
			ID:      "req-000412",
			State:   "pending",
			Node:    "n",
			Reasons: []wire.Reason{reason},
			Pairs:   [][2]string{{"queue", "no-room"}},
			History: []wire.ReasonPeriod{{Code: "team-limit", SinceS: 3}},
		},
		queue: &wire.Queue{Node: "n", Jobs: []wire.QueuedJob{{Position: 1, ID: "req-000412", Reason: "no-room"}}},
	}
}

// TestPublishedSchemas checks that the schemas in docs/schema match the Go types and accept the responses, and that
// they reject a response with a field that is missing or of the wrong type.
func TestPublishedSchemas(t *testing.T) {
	for _, c := range []struct {
		file, path string
		message    any
	}{
		{"why.json", wire.PathAdminJobs + "/req-000412" + wire.WhySuffix, &wire.Explanation{}},
		{"queue.json", wire.PathAdminQueue, &wire.Queue{}},
		{"duties.json", wire.PathAdminRoles, &wire.RoleList{}},
	} {
		t.Run(c.file, func(t *testing.T) {
			schema := publishedSchema(t, c.file, c.message)
			w := get(newStubService(), c.path)
			doc, err := validate.UnmarshalJSON(w.Body)
			if err != nil || w.Code != 200 {
				t.Fatalf("GET %s: got status %d, %v, want status 200 and JSON", c.path, w.Code, err)
			}
			if err := schema.Validate(doc); err != nil {
				t.Errorf("response at %s: got schema error %v, want none", c.path, err)
			}
			m := doc.(map[string]any)
			m["node"] = 7
			if schema.Validate(m) == nil {
				t.Errorf("%s: got no error for a response with a number as the node, want one", c.file)
			}
			if delete(m, "node"); schema.Validate(m) == nil {
				t.Errorf("%s: got no error for a response without a node, want one", c.file)
			}
		})
	}
}

// publishedSchema returns the schema in a file of docs/schema, and checks that it is the one generated from a type.
func publishedSchema(t *testing.T, file string, message any) *validate.Schema {
	t.Helper()
	// Newer versions may add fields, which clients must ignore.
	reflector := generate.Reflector{AllowAdditionalProperties: true, Anonymous: true, Namer: publishedName}
	generated, err := json.MarshalIndent(reflector.Reflect(message), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	schemaPath := filepath.Join("..", "..", "docs", "schema", file)
	if golden.Updating() {
		if err := os.WriteFile(schemaPath, append(generated, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	published, err := os.ReadFile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(bytes.TrimSpace(published), generated) {
		t.Errorf("%s is not the schema of %T; to update it, run go test ./internal/adminapi -update",
			schemaPath, message)
	}
	schema, err := validate.NewCompiler().Compile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	return schema
}

// TestMalformedQueries checks that a malformed request is rejected with the name of the invalid field and does not
// reach the service.
func TestMalformedQueries(t *testing.T) {
	s := &stubService{explanation: &wire.Explanation{}, queue: &wire.Queue{}}
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
		w := get(s, path)
		var p wire.AdminProblem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || w.Code != 400 || !strings.HasPrefix(p.Error, want) {
			t.Errorf("%.40s: got %d %q, want 400 and an error with prefix %q", path, w.Code, p.Error, want)
		}
	}
	if len(s.requests) != 0 {
		t.Errorf("malformed requests: the service received %v, want none", s.requests)
	}
	get(s, "/v1/queue?team=red&reason=paced&most=500")
	if len(s.requests) != 1 || s.requests[0] != (Filter{Team: "red", Reason: "paced", Limit: 500}) {
		t.Errorf("valid query: the service received %+v, want one request with the filter of the query", s.requests)
	}
	if w := get(s, "/api/jobs"); w.Code != 404 {
		t.Errorf("path of the user API: got status %d, want 404", w.Code)
	}
}
