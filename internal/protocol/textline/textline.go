// Package textline frames protocols of text lines whose last word may be the length of a body that follows: each line
// and each body ends in CR LF. Packages pool and vault parse their protocols with it. It works on byte slices alone,
// allocates nothing but the words and the errors, and knows no message of any protocol.
package textline

import (
	"bytes"
	"fmt"
	"strconv"
)

const (
	lineEnd = "\r\n"
	// maxQuoted limits how much of a line an error quotes.
	maxQuoted = 80
)

// Framing is what a protocol sets for its lines.
type Framing struct {
	// MaxLine limits the bytes of a line with its end. It keeps a line without an end from being waited for until the
	// memory runs out.
	MaxLine int
	// Malformed is wrapped by every error.
	Malformed error
}

// Line cuts the first line off in, and splits it into words at single spaces. n is its length with the line end; 0
// while it is not complete.
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

// Body cuts a body of size bytes off in, which begins behind the line, at from. n is where its line end ends; 0 while
// it is not complete. The body shares the memory of in.
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

// Line is a line in words. The first error of its methods stays: after it they return zero values.
type Line struct {
	framing Framing
	text    []byte
	words   [][]byte
	err     error
}

// Err returns the first error; nil: there was none.
func (l *Line) Err() error { return l.err }

// Fail notes an error, unless there was one.
func (l *Line) Fail(reason string) {
	if l.err == nil {
		l.err = l.framing.Errorf(l.text, reason)
	}
}

// Count returns the number of words, at least one.
func (l *Line) Count() int { return len(l.words) }

// Require fails where the line has another number of words.
func (l *Line) Require(count int) {
	if len(l.words) != count {
		l.Fail("wrong number of words")
	}
}

// Bytes returns a word; it shares the memory of the input. A word that is missing is an error.
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

// Float returns a word that is a number. It may be infinite, or no number, where the word says that.
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
