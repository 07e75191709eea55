package kvstore_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fieldhill/internal/emulator"
	"fieldhill/internal/platform/kvstore"
	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/internal/testing/virtualtime"
	"fieldhill/wire"
)

func TestMain(m *testing.M) { virtualtime.Main(m) }

// TestErrorsNameTheOperation checks that errors contain the response's status, the operation and the key.
func TestErrorsNameTheOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		network := emulator.NewNetwork()
		if err := emulator.NewKVStore(1).Serve(ctx, network.Host("state"), "state:1"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		client := kvstore.New(network.Host("node"), "state:1", 1000)
		get := func() error { _, err := client.Get(ctx, "f/term"); return err }
		txn := func() error {
			_, err := client.Txn(ctx, &wire.Txn{
				If:   []wire.Condition{{Key: "f/leader", Version: 7}},
				Then: []wire.Write{{Put: "f/term", Value: &wire.LogValue{Version: 1}}},
			})
			return err
		}
		renew := func() error { return client.Renew(ctx, 99, time.Second) }
		for _, test := range []struct {
			call      func() error
			code      int
			operation string
		}{
			{get, http.StatusNotFound, "get f/term"},
			{txn, http.StatusConflict, "transaction"},
			{renew, http.StatusNotFound, "renew lease 99"},
		} {
			err := test.call()
			if msgpackhttp.StatusCode(err) != test.code || !strings.Contains(err.Error(), test.operation) {
				t.Errorf("%s: got %v, want an error with status %d", test.operation, err, test.code)
			}
		}
		client.Close()
		stop()
		time.Sleep(time.Minute)
	})
}
