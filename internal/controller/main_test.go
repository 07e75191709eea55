package controller

import (
	"testing"

	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.MainIsolated(m) }
