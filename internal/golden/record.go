package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// Recorder is an HTTP server on loopback that records the requests it receives as text for comparison with Check.
type Recorder struct {
	// Addr is the address of the server, as host:port.
	Addr string

	mu     sync.Mutex
	text   bytes.Buffer
	status int
	header http.Header
	bodies [][]byte
}

// NewRecorder starts a server that sends the responses set with Reply, and closes it when the test ends.
func NewRecorder(t testing.TB) *Recorder {
	t.Helper()
	r := &Recorder{status: http.StatusOK}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			t.Errorf("read request body: %v", err)
		}
		r.Note("%s %s\n%s", request.Method, request.RequestURI, FormatMessage(request.Header, body))
		r.respond(w)
	}))
	t.Cleanup(server.Close)
	r.Addr = server.Listener.Addr().String()
	return r
}

// Reply sets the subsequent responses: one with each of the bodies in order, then responses with an empty body.
func (r *Recorder) Reply(status int, header http.Header, bodies ...[]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status, r.header, r.bodies = status, header, bodies
}

func (r *Recorder) respond(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.status)
	if len(r.bodies) > 0 {
		_, _ = w.Write(r.bodies[0]) // if the client has disconnected, the test fails in the client
		r.bodies = r.bodies[1:]
	}
}

// Note adds a line to the record, such as the output of the client.
func (r *Recorder) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.text, format+"\n", args...)
}

// Text returns the record. The server's address, which differs in each run, is replaced by ADDR.
func (r *Recorder) Text() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.ReplaceAll(r.text.Bytes(), []byte(r.Addr), []byte("ADDR"))
}

// FormatMessage formats the headers and the body of an HTTP message: a MessagePack body as JSON and a hex dump, any
// other body unchanged.
func FormatMessage(header http.Header, body []byte) string {
	var b strings.Builder
	for name, values := range header {
		fmt.Fprintf(&b, "%s: %s\n", name, strings.Join(values, ", "))
	}
	lines := strings.SplitAfter(b.String(), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "") + FormatBody(body)
}

// FormatBody formats the body of an HTTP message as FormatMessage does.
func FormatBody(body []byte) string {
	var message map[string]any
	if len(body) == 0 {
		return ""
	}
	if msgpack.Unmarshal(body, &message) != nil {
		return strings.TrimSuffix(string(body), "\n") + "\n"
	}
	var b strings.Builder
	encoded, err := json.Marshal(message)
	if err != nil {
		return fmt.Sprintf("%x\n", body)
	}
	fmt.Fprintf(&b, "%s\n", encoded)
	for line := range slices.Chunk(body, bytesPerLine) {
		fmt.Fprintf(&b, "%x\n", line)
	}
	return b.String()
}
