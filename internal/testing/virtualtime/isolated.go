package virtualtime

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// singleTestEnv tells a process that it was started to run one test of many.
const singleTestEnv = "FIELDHILL_BUBBLE_ONE"

// MainIsolated is Main for a package with many long tests: each top-level test runs in a process of its own, several
// at a time, each on one processor as Main has it. All tests of such a package used to share one processor of many,
// and under the race detector that took five minutes. Where a part of the tests is asked for, or their output as they
// run, it is Main.
func MainIsolated(m *testing.M) {
	flag.Parse()
	for _, f := range []string{"run", "list", "v", "bench", "fuzz", "cpuprofile", "memprofile", "coverprofile", "trace"} {
		if testFlag := flag.Lookup("test." + f); testFlag != nil && testFlag.Value.String() != testFlag.DefValue {
			Main(m)
			return
		}
	}
	if os.Getenv(singleTestEnv) != "" {
		Main(m)
		return
	}
	list, err := exec.Command(os.Args[0], "-test.list=.").Output()
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't list the tests:", err)
		os.Exit(1)
	}
	var names []string
	for _, name := range strings.Fields(string(list)) {
		if strings.HasPrefix(name, "Test") || strings.HasPrefix(name, "Fuzz") {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		fmt.Fprintln(os.Stderr, "no test is listed")
		os.Exit(1)
	}
	next := make(chan string)
	var workers sync.WaitGroup
	var mu sync.Mutex
	failed := false
	for range max(1, runtime.NumCPU()/2) {
		workers.Go(func() {
			for name := range next {
				cmd := exec.Command(
					os.Args[0],
					append(os.Args[1:len(os.Args):len(os.Args)], "-test.run=^"+regexp.QuoteMeta(name)+"$")...)
				cmd.Env = append(os.Environ(), singleTestEnv+"=1")
				out, err := cmd.CombinedOutput()
				mu.Lock()
				if err != nil {
					failed = true
					fmt.Printf("%s\n%s: %v\n", strings.TrimSpace(string(out)), name, err)
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range names {
		next <- name
	}
	close(next)
	workers.Wait()
	if failed {
		fmt.Println("FAIL")
		os.Exit(1)
	}
	fmt.Printf("%d tests, each in a process of its own\nPASS\n", len(names))
}
