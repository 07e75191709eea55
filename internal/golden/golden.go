// Package golden compares the bytes that the code writes with files that an earlier version wrote, so that a change of
// a stored or transmitted format is found. It is for tests only. `go test PACKAGE -run Golden -update` writes the
// files.
package golden

import (
	"bytes"
	"encoding/hex"
	"errors"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// bytesPerLine is how many bytes a line of a .hex file shows: a change of one is a change of one short line.
const bytesPerLine = 32

// update makes Check write the files in place of comparing with them.
var update = flag.Bool("update", false, "write the golden files from what the code writes now")

// Updating reports whether the files are being written, for a test that has other files to write.
func Updating() bool { return *update }

// Check fails the test unless got is what testdata/golden/NAME holds. A name that ends in .hex is stored as a hex dump.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		write(t, name, got)
		return
	}
	want := Read(t, name)
	if bytes.Equal(want, got) {
		return
	}
	at := 0
	for at < len(want) && at < len(got) && want[at] == got[at] {
		at++
	}
	t.Errorf("%s: %d bytes stored, %d written, first difference at byte %d\nstored  %q\nwritten %q",
		name, len(want), len(got), at, around(want, at), around(got, at))
}

// Read returns the content of testdata/golden/NAME, with the dump of a .hex file decoded.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(path(name))
	if errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("%v (written by `go test -run Golden -update`)", err)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(name, ".hex") {
		return b
	}
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(string(b)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return decoded
}

// FlipFinds plants a difference into each byte of the file in turn. rewrite reads the bytes and writes what it read:
// with the stored bytes it must give the same, and with each planted one an error or other than the stored bytes.
func FlipFinds(t testing.TB, name string, rewrite func(b []byte) ([]byte, error)) {
	t.Helper()
	stored := Read(t, name)
	again, err := rewrite(bytes.Clone(stored))
	if err != nil {
		t.Fatalf("%s isn't read: %v", name, err)
	}
	if !bytes.Equal(again, stored) {
		t.Fatalf("%s: what was read is written as other bytes:\nstored  %x\nwritten %x", name, stored, again)
	}
	for at := range stored {
		planted := bytes.Clone(stored)
		planted[at] ^= 1
		if again, err := rewrite(planted); err == nil && bytes.Equal(again, stored) {
			t.Errorf("%s: byte %d changed from %#x to %#x and nothing was found", name, at, stored[at], planted[at])
		}
	}
}

// RoundTrip checks a format in both directions: want is written as the stored bytes, these are read as want, and one
// changed byte is found.
func RoundTrip[T any](t testing.TB, name string, want T, write func(T) []byte, read func([]byte) (T, error)) {
	t.Helper()
	Check(t, name, write(want))
	got, err := read(Read(t, name))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s is read as something else (-want +got):\n%s", name, diff)
	}
	FlipFinds(t, name, func(b []byte) ([]byte, error) {
		got, err := read(b)
		if err != nil {
			return nil, err
		}
		return write(got), nil
	})
}

// TagFinds plants a renamed tag: each key of the msgpack map is given another name in turn, and rewrite, which decodes
// into the struct and encodes that again, must give an error or other bytes than the stored ones.
func TagFinds(t testing.TB, name string, stored []byte, rewrite func(b []byte) ([]byte, error)) {
	t.Helper()
	var fields map[string]msgpack.RawMessage
	if err := msgpack.Unmarshal(stored, &fields); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if len(fields) == 0 {
		t.Fatalf("%s: no tag to rename", name)
	}
	for tag := range fields {
		key, _ := msgpack.Marshal(tag)
		other, _ := msgpack.Marshal(strings.Repeat("~", len(tag)))
		planted := bytes.Replace(stored, key, other, 1)
		if again, err := rewrite(planted); err == nil && bytes.Equal(again, stored) {
			t.Errorf("%s: tag %q was renamed and nothing was found", name, tag)
		}
	}
}

// path is relative, as a test runs in the directory of its package.
func path(name string) string { return filepath.Join("testdata", "golden", name) }

// around cuts out the bytes before and after a difference, for a message.
func around(b []byte, at int) []byte {
	return b[max(0, min(at, len(b))-16):min(len(b), at+bytesPerLine)]
}

func write(t testing.TB, name string, b []byte) {
	t.Helper()
	if strings.HasSuffix(name, ".hex") {
		var dump bytes.Buffer
		for ; len(b) > 0; b = b[min(len(b), bytesPerLine):] {
			dump.WriteString(hex.EncodeToString(b[:min(len(b), bytesPerLine)]) + "\n")
		}
		b = dump.Bytes()
	}
	if err := os.MkdirAll(filepath.Dir(path(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path(name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}
