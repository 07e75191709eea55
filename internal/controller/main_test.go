package controller

import (
	"testing"

	"fieldhill/internal/bubble"
)

func TestMain(m *testing.M) { bubble.MainApart(m) }
