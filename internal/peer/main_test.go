package peer

import (
	"testing"

	"fieldhill/internal/bubble"
)

func TestMain(m *testing.M) { bubble.Main(m) }
