// Package golden reads bytes that an earlier release wrote, for tests that pin a format on disk or on the wire. Tests
// call it; it owns no state and never writes a file: recorded bytes change only by hand, with the reason in the
// commit.
package golden

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// Frame is one recorded piece of a format.
type Frame struct {
	Name  string
	Bytes []byte
}

// Frames reads a file of lines that each hold a name, a space and the bytes in hexadecimal. It fails the test if the
// file cannot be read or is empty.
func Frames(t testing.TB, path string) []Frame {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("golden: %v", err)
	}
	var frames []Frame
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		content, err := hex.DecodeString(digits)
		if err != nil || name == "" {
			t.Fatalf("golden: %s: %q is not a name and hexadecimal bytes: %v", path, line, err)
		}
		frames = append(frames, Frame{Name: name, Bytes: content})
	}
	if len(frames) == 0 {
		t.Fatalf("golden: %s holds no frames", path)
	}
	return frames
}

// Folder copies a recorded folder into a temporary folder, in which the code under test may write. It returns the path
// of the copy.
func Folder(t testing.TB, path string) string {
	t.Helper()
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(path)); err != nil {
		t.Fatalf("golden: %v", err)
	}
	return folder
}

// Files returns the content of each file of a folder by its name.
func Files(t testing.TB, folder string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatalf("golden: %v", err)
	}
	files := map[string]string{}
	for _, entry := range entries {
		content, err := os.ReadFile(folder + "/" + entry.Name())
		if err != nil {
			t.Fatalf("golden: %v", err)
		}
		files[entry.Name()] = string(content)
	}
	return files
}
