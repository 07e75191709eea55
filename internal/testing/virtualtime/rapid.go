package virtualtime

import (
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"
)

// MainRapid is called from TestMain in packages with rapid property tests. It runs the given number of checks of each
// property with a fixed seed, so that results are reproducible.
func MainRapid(m *testing.M, checks int) {
	if err := errors.Join(
		flag.Set("rapid.seed", "20261201"),
		flag.Set("rapid.checks", strconv.Itoa(checks)),
		flag.Set("rapid.nofailfile", "true"),
	); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
