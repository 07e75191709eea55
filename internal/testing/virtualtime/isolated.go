package virtualtime

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
)

// singleTestEnv is set in the processes that runIsolated starts, each of which runs a single test.
const singleTestEnv = "FIELDHILL_BUBBLE_ONE"

// singleProcessFlags are the flags of `go test` that require all tests to run in one process.
var singleProcessFlags = []string{
	"run", "list", "v", "bench", "fuzz", "cpuprofile", "memprofile", "coverprofile", "trace",
}

// MainIsolated is a variant of Main for packages with many long tests: it runs each top-level test in a separate
// process, several at a time, each on one processor as in Main. In one process, all tests would share one processor and
// take five minutes under the race detector. With any of singleProcessFlags it behaves like Main.
func MainIsolated(m *testing.M) {
	flag.Parse()
	if os.Getenv(singleTestEnv) != "" || requiresSingleProcess() {
		Main(m)
		return
	}
	names, err := listTests()
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot list tests:", err)
		os.Exit(1)
	}
	if len(names) == 0 {
		fmt.Fprintln(os.Stderr, "no tests found")
		os.Exit(1)
	}
	if !runIsolated(names) {
		fmt.Println("FAIL")
		os.Exit(1)
	}
	fmt.Printf("%d tests, each in a separate process\nPASS\n", len(names))
}

func requiresSingleProcess() bool {
	for _, name := range singleProcessFlags {
		if f := flag.Lookup("test." + name); f != nil && f.Value.String() != f.DefValue {
			return true
		}
	}
	return false
}

// listTests returns the names of the top-level tests in the running binary.
func listTests() (names []string, err error) {
	output, err := exec.Command(os.Args[0], "-test.list=.").Output()
	if err != nil {
		return nil, err
	}
	for _, name := range strings.Fields(string(output)) {
		if strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			names = append(names, name)
		}
	}
	return names, nil
}

// runIsolated runs each test in a separate process, as many at a time as half of the processors, prints the output of
// failed tests and reports whether all passed.
func runIsolated(names []string) bool {
	queue := make(chan string)
	var workers sync.WaitGroup
	var mu sync.Mutex
	passed := true
	for range max(1, runtime.NumCPU()/2) {
		workers.Go(func() {
			for name := range queue {
				output, err := runSingleTest(name)
				if err == nil {
					continue
				}
				mu.Lock()
				passed = false
				fmt.Printf("%s\n%s: %v\n", strings.TrimSpace(string(output)), name, err)
				mu.Unlock()
			}
		})
	}
	for _, name := range names {
		queue <- name
	}
	close(queue)
	workers.Wait()
	return passed
}

func runSingleTest(name string) (output []byte, err error) {
	args := append(slices.Clone(os.Args[1:]), "-test.run=^"+regexp.QuoteMeta(name)+"$")
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), singleTestEnv+"=1")
	return cmd.CombinedOutput()
}
