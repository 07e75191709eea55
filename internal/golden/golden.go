// Package golden compares output with golden files that an earlier version wrote, so that tests detect changes of
// stored and transmitted formats. Only tests import this package. `go test PACKAGE -run Golden -update` rewrites the
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

// bytesPerLine is the number of bytes per line of a .hex file. It is small, so that diffs are easy to read.
const bytesPerLine = 32

// update makes Check write the golden files instead of comparing with them.
var update = flag.Bool("update", false, "rewrite the golden files with the current output")

// Updating reports whether golden files are being rewritten. Tests that compare with other files use it to rewrite
// them.
func Updating() bool { return *update }

// Check fails the test unless got equals the content of testdata/golden/NAME. With -update it writes got to the file
// instead. Files with the extension .hex are stored as hex dumps.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	if *update {
		writeFile(t, name, got)
		return
	}
	want := Read(t, name)
	if bytes.Equal(want, got) {
		return
	}
	offset := 0
	for offset < len(want) && offset < len(got) && want[offset] == got[offset] {
		offset++
	}
	t.Errorf("%s: golden file has %d bytes, got %d; first difference at byte %d\nwant %q\ngot  %q",
		name, len(want), len(got), offset, excerpt(want, offset), excerpt(got, offset))
}

// Read returns the content of testdata/golden/NAME, decoding the hex dump of a .hex file.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(goldenPath(name))
	if errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("%v (create it with `go test -run Golden -update`)", err)
	}
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(name, ".hex") {
		return b
	}
	decoded, err := hex.DecodeString(strings.Join(strings.Fields(string(b)), ""))
	if err != nil {
		t.Fatalf("%s: decode hex dump: %v", name, err)
	}
	return decoded
}

// CheckDetectsByteChanges checks that a format's decoder uses every byte of a golden file. The function rewrite decodes
// bytes and encodes the result again. Given the stored bytes, it must reproduce them; given the stored bytes with one
// bit flipped, in each byte in turn, it must return an error or different bytes.
func CheckDetectsByteChanges(t testing.TB, name string, rewrite func(b []byte) ([]byte, error)) {
	t.Helper()
	stored := Read(t, name)
	rewritten, err := rewrite(bytes.Clone(stored))
	if err != nil {
		t.Fatalf("%s: cannot decode: %v", name, err)
	}
	if !bytes.Equal(rewritten, stored) {
		t.Fatalf("%s: decoding and encoding changes the bytes:\nwant %x\ngot  %x", name, stored, rewritten)
	}
	for offset := range stored {
		mutated := bytes.Clone(stored)
		mutated[offset] ^= 1
		if rewritten, err := rewrite(mutated); err == nil && bytes.Equal(rewritten, stored) {
			t.Errorf("%s: byte %d changed from %#x to %#x: got the stored bytes, want an error or other bytes",
				name, offset, stored[offset], mutated[offset])
		}
	}
}

// RoundTrip checks a format in both directions: write must encode want as the stored bytes, read must decode the stored
// bytes as want, and CheckDetectsByteChanges must pass.
func RoundTrip[T any](t testing.TB, name string, want T, write func(T) []byte, read func([]byte) (T, error)) {
	t.Helper()
	Check(t, name, write(want))
	got, err := read(Read(t, name))
	if err != nil {
		t.Fatalf("%s: decode stored bytes: %v", name, err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s: decoded value differs (-want +got):\n%s", name, diff)
	}
	CheckDetectsByteChanges(t, name, func(b []byte) ([]byte, error) {
		got, err := read(b)
		if err != nil {
			return nil, err
		}
		return write(got), nil
	})
}

// CheckDetectsRenamedTags checks that a renamed MessagePack tag is detected. It renames each key of the stored map in
// turn. The function rewrite, which decodes bytes into the struct and encodes it again, must then return an error or
// different bytes.
func CheckDetectsRenamedTags(t testing.TB, name string, stored []byte, rewrite func(b []byte) ([]byte, error)) {
	t.Helper()
	var fields map[string]msgpack.RawMessage
	if err := msgpack.Unmarshal(stored, &fields); err != nil {
		t.Fatalf("%s: decode stored map: %v", name, err)
	}
	if len(fields) == 0 {
		t.Fatalf("%s: map has no keys", name)
	}
	for tag := range fields {
		key, _ := msgpack.Marshal(tag)
		renamedKey, _ := msgpack.Marshal(strings.Repeat("~", len(tag)))
		mutated := bytes.Replace(stored, key, renamedKey, 1)
		if rewritten, err := rewrite(mutated); err == nil && bytes.Equal(rewritten, stored) {
			t.Errorf("%s: tag %q renamed: got the stored bytes, want an error or other bytes", name, tag)
		}
	}
}

// goldenPath returns the path of a golden file, relative to the package directory, in which tests run.
func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// excerpt returns the bytes around a difference, for a failure message.
func excerpt(b []byte, offset int) []byte {
	return b[max(0, min(offset, len(b))-16):min(len(b), offset+bytesPerLine)]
}

func writeFile(t testing.TB, name string, b []byte) {
	t.Helper()
	if strings.HasSuffix(name, ".hex") {
		var dump bytes.Buffer
		for ; len(b) > 0; b = b[min(len(b), bytesPerLine):] {
			dump.WriteString(hex.EncodeToString(b[:min(len(b), bytesPerLine)]) + "\n")
		}
		b = dump.Bytes()
	}
	if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenPath(name), b, 0o644); err != nil {
		t.Fatal(err)
	}
}
