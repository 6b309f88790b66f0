// Package textline is the framing of line-based text protocols: each line and each body ends in CR LF, and the last
// word of a line may be the length of a body that follows. Packages pool and vault are based on it. It works on byte
// slices, allocates only the words and the errors, and does not know the messages of either protocol.
package textline

import (
	"bytes"
	"fmt"
	"strconv"
)

const (
	lineEnd = "\r\n"
	// maxQuoted is the most bytes of a line that an error message quotes.
	maxQuoted = 80
)

// Framing holds the framing parameters of a protocol.
type Framing struct {
	// MaxLine is the most bytes of a line, including its line end. Without a limit, input without a line end would be
	// buffered until the process runs out of memory.
	MaxLine int
	// Malformed is the protocol's error that every parse error wraps.
	Malformed error
}

// Line returns the first line in in, split into words at single spaces. n is the line's length including its line end,
// or 0 while the line is incomplete.
func (f Framing) Line(in []byte) (line Line, n int, err error) {
	end := bytes.Index(in[:min(len(in), f.MaxLine)], []byte(lineEnd))
	if end >= 0 {
		return Line{framing: f, text: in[:end], words: bytes.Split(in[:end], []byte(" "))}, end + len(lineEnd), nil
	}
	if len(in) >= f.MaxLine {
		return Line{}, 0, f.NewError(in, "no line end within the maximum length")
	}
	return Line{}, 0, nil
}

// Body returns the body of size bytes that starts at the given offset of in. n is the offset after the body's line end,
// or 0 while the body is incomplete. The body shares the memory of in.
func (f Framing) Body(in []byte, offset, size int) (body []byte, n int, err error) {
	end := offset + size
	if len(in) < end+len(lineEnd) {
		return nil, 0, nil
	}
	if string(in[end:end+len(lineEnd)]) != lineEnd {
		return nil, 0, f.NewError(in, "body is not followed by a line end")
	}
	return in[offset:end], end + len(lineEnd), nil
}

// NewError returns an error with the reason and the beginning of the line.
func (f Framing) NewError(line []byte, reason string) error {
	return fmt.Errorf("%w: %s in %q", f.Malformed, reason, line[:min(len(line), maxQuoted)])
}

// AppendBody appends a body and a line end.
func AppendBody(out, body []byte) []byte { return append(append(out, body...), lineEnd...) }

// Line is a line, split into words. It keeps the first error, which Err returns; after it, the methods that read words
// return zero values.
type Line struct {
	framing Framing
	text    []byte
	words   [][]byte
	err     error
}

// Err returns the first error, or nil.
func (l *Line) Err() error { return l.err }

// Fail records an error unless one is already recorded.
func (l *Line) Fail(reason string) {
	if l.err == nil {
		l.err = l.framing.NewError(l.text, reason)
	}
}

// Count returns the number of words, which is at least 1.
func (l *Line) Count() int { return len(l.words) }

// RequireCount records an error if the line does not have the given number of words.
func (l *Line) RequireCount(count int) {
	if len(l.words) != count {
		l.Fail("wrong number of words")
	}
}

// Bytes returns the word at index i, which shares the memory of the input. A missing word is an error.
func (l *Line) Bytes(i int) []byte {
	if l.err == nil && i >= len(l.words) {
		l.Fail("missing word")
	}
	if l.err != nil {
		return nil
	}
	return l.words[i]
}

// Text returns the word at index i as a string.
func (l *Line) Text(i int) string { return string(l.Bytes(i)) }

// Unsigned parses the word at index i as a decimal integer of at most 63 bits, without a sign.
func (l *Line) Unsigned(i int) uint64 {
	number, err := strconv.ParseUint(l.Text(i), 10, 63)
	if err != nil {
		l.Fail("expected an unsigned integer")
		return 0
	}
	return number
}

// Float parses the word at index i as a number. Infinities and NaN are accepted.
func (l *Line) Float(i int) float64 {
	number, err := strconv.ParseFloat(l.Text(i), 64)
	if err != nil {
		l.Fail("expected a number")
		return 0
	}
	return number
}

// Length parses the word at index i as the length of a body, which is at most limit bytes.
func (l *Line) Length(i, limit int) int {
	length, err := strconv.ParseUint(l.Text(i), 10, 31)
	if err != nil || length > uint64(limit) {
		l.Fail("expected a body length within the limit")
		return 0
	}
	return int(length)
}
