// Package textline frames protocols of text lines whose last word may be the length of a body that follows: each line
// and each body ends in CR LF. Packages pool and vault build on it. It works on byte slices, allocates only the words
// and the errors, and does not know the messages of either protocol.
package textline

import (
	"bytes"
	"fmt"
	"strconv"
)

const (
	lineEnd = "\r\n"
	// maxQuoted is the most bytes of a line that an error quotes.
	maxQuoted = 80
)

// Framing holds the parameters of a protocol's lines.
type Framing struct {
	// MaxLine is the most bytes of a line, including its end. Without a limit, input without a line end would be
	// buffered until the memory runs out.
	MaxLine int
	// Malformed is wrapped by every error.
	Malformed error
}

// Line returns the first line in in, split into words at single spaces. n is its length including the line end, or 0
// while it is incomplete.
func (f Framing) Line(in []byte) (line Line, n int, err error) {
	end := bytes.Index(in[:min(len(in), f.MaxLine)], []byte(lineEnd))
	if end >= 0 {
		return Line{framing: f, text: in[:end], words: bytes.Split(in[:end], []byte(" "))}, end + len(lineEnd), nil
	}
	if len(in) >= f.MaxLine {
		return Line{}, 0, f.Errorf(in, "no line end")
	}
	return Line{}, 0, nil
}

// Body returns the body of size bytes that begins at offset from of in, after the line. n is the offset after its line
// end, or 0 while it is incomplete. The body shares the memory of in.
func (f Framing) Body(in []byte, from, size int) (body []byte, n int, err error) {
	end := from + size
	if len(in) < end+len(lineEnd) {
		return nil, 0, nil
	}
	if string(in[end:end+len(lineEnd)]) != lineEnd {
		return nil, 0, f.Errorf(in, "body without its line end")
	}
	return in[from:end], end + len(lineEnd), nil
}

// Errorf returns an error about a line, which it quotes.
func (f Framing) Errorf(line []byte, reason string) error {
	return fmt.Errorf("%w: %s in %q", f.Malformed, reason, line[:min(len(line), maxQuoted)])
}

// AppendBody appends a body and its line end.
func AppendBody(out, body []byte) []byte { return append(append(out, body...), lineEnd...) }

// Line is a line, split into words. After the first error, which Err returns, its methods return zero values.
type Line struct {
	framing Framing
	text    []byte
	words   [][]byte
	err     error
}

// Err returns the first error, or nil.
func (l *Line) Err() error { return l.err }

// Fail records an error, unless there is one already.
func (l *Line) Fail(reason string) {
	if l.err == nil {
		l.err = l.framing.Errorf(l.text, reason)
	}
}

// Count returns the number of words, at least one.
func (l *Line) Count() int { return len(l.words) }

// Require fails if the line does not have the given number of words.
func (l *Line) Require(count int) {
	if len(l.words) != count {
		l.Fail("wrong number of words")
	}
}

// Bytes returns a word, which shares the memory of the input. A missing word is an error.
func (l *Line) Bytes(i int) []byte {
	if l.err == nil && i >= len(l.words) {
		l.Fail("a word is missing")
	}
	if l.err != nil {
		return nil
	}
	return l.words[i]
}

// Text returns a word.
func (l *Line) Text(i int) string { return string(l.Bytes(i)) }

// Unsigned returns a word that is a whole number of at most 63 bits, without a sign.
func (l *Line) Unsigned(i int) uint64 {
	number, err := strconv.ParseUint(l.Text(i), 10, 63)
	if err != nil {
		l.Fail("no whole number")
		return 0
	}
	return number
}

// Float returns a word that is a number. It may be infinite or NaN, if the word says so.
func (l *Line) Float(i int) float64 {
	number, err := strconv.ParseFloat(l.Text(i), 64)
	if err != nil {
		l.Fail("no number")
		return 0
	}
	return number
}

// Length returns a word that is the length of a body, of at most limit bytes.
func (l *Line) Length(i, limit int) int {
	length, err := strconv.ParseUint(l.Text(i), 10, 31)
	if err != nil || length > uint64(limit) {
		l.Fail("no length of a body")
		return 0
	}
	return int(length)
}
