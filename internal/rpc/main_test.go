package rpc

import (
	"testing"

	"fieldhill/internal/testing/virtualtime"
)

func TestMain(m *testing.M) { virtualtime.Main(m) }
