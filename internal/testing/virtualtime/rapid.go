package virtualtime

import (
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"
)

// MainRapid is for the TestMain of packages that draw their cases with rapid: so many of them, and
// the same ones every time.
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
