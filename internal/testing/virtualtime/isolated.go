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

// singleTestEnv marks a process that was started to run one test of many.
const singleTestEnv = "FIELDHILL_BUBBLE_ONE"

// wholeRunFlags are the flags of `go test` that make sense for a single process only.
var wholeRunFlags = []string{
	"run", "list", "v", "bench", "fuzz", "cpuprofile", "memprofile", "coverprofile", "trace",
}

// MainIsolated is Main for a package with many long tests: each top-level test runs in a process of its own, several at
// a time, each on one processor as Main has it. On one shared processor of many they took five minutes under the race
// detector. Where only some of the tests are asked for, or their output as they run, it is Main.
func MainIsolated(m *testing.M) {
	flag.Parse()
	if os.Getenv(singleTestEnv) != "" || isWholeRunAsked() {
		Main(m)
		return
	}
	names, err := listTests()
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't list the tests:", err)
		os.Exit(1)
	}
	if len(names) == 0 {
		fmt.Fprintln(os.Stderr, "no test is listed")
		os.Exit(1)
	}
	if !runIsolated(names) {
		fmt.Println("FAIL")
		os.Exit(1)
	}
	fmt.Printf("%d tests, each in a process of its own\nPASS\n", len(names))
}

func isWholeRunAsked() bool {
	for _, name := range wholeRunFlags {
		if f := flag.Lookup("test." + name); f != nil && f.Value.String() != f.DefValue {
			return true
		}
	}
	return false
}

// listTests names the top-level tests of the running binary.
func listTests() (names []string, err error) {
	list, err := exec.Command(os.Args[0], "-test.list=.").Output()
	if err != nil {
		return nil, err
	}
	for _, name := range strings.Fields(string(list)) {
		if strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			names = append(names, name)
		}
	}
	return names, nil
}

// runIsolated runs each test in a process, on half of the processors, prints the output of those that fail and reports
// whether none did.
func runIsolated(names []string) bool {
	next := make(chan string)
	var runners sync.WaitGroup
	var mu sync.Mutex
	passed := true
	for range max(1, runtime.NumCPU()/2) {
		runners.Go(func() {
			for name := range next {
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
		next <- name
	}
	close(next)
	runners.Wait()
	return passed
}

func runSingleTest(name string) (output []byte, err error) {
	args := append(slices.Clone(os.Args[1:]), "-test.run=^"+regexp.QuoteMeta(name)+"$")
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), singleTestEnv+"=1")
	return cmd.CombinedOutput()
}
