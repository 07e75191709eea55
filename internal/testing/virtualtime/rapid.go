package virtualtime

import (
	"errors"
	"flag"
	"os"
	"strconv"
	"testing"
)

// MainRapid is for the TestMain of packages that draw their cases with rapid: it runs so many checks of each property,
// from the same seed every time, so that a pass or failure can be repeated.
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
