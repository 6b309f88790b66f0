package textline

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var errMalformed = errors.New("test: malformed line")

var framing = Framing{MaxLine: 16, Malformed: errMalformed}

func TestLine(t *testing.T) {
	tests := map[string]struct {
		in        string
		words     []string
		length    int
		malformed bool
	}{
		"empty input":           {},
		"no end yet":            {in: "one two"},
		"half of the line end":  {in: "one two\r"},
		"one word":              {in: "one\r\n", words: []string{"one"}, length: 5},
		"several words":         {in: "one two 3\r\nmore", words: []string{"one", "two", "3"}, length: 11},
		"empty words":           {in: " one  \r\n", words: []string{"", "one", "", ""}, length: 8},
		"empty line":            {in: "\r\n", words: []string{""}, length: 2},
		"line of MaxLine bytes": {in: strings.Repeat("x", 14) + "\r\n", words: []string{strings.Repeat("x", 14)}, length: 16},
		"no end within MaxLine": {in: strings.Repeat("x", 16), malformed: true},
		"end beyond MaxLine":    {in: strings.Repeat("x", 15) + "\r\n", malformed: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			line, n, err := framing.Line([]byte(tc.in))
			require.Equal(t, tc.malformed, errors.Is(err, errMalformed))
			require.Equal(t, tc.length, n)
			require.Equal(t, len(tc.words), line.Count())
			for i, word := range tc.words {
				require.Equal(t, word, line.Text(i))
			}
		})
	}
}

func TestBody(t *testing.T) {
	const head = "line\r\n"
	tests := map[string]struct {
		in        string
		size      int
		body      string
		length    int
		malformed bool
	}{
		"incomplete":             {in: "ab", size: 3},
		"without a line end":     {in: "abc", size: 3},
		"half of the line end":   {in: "abc\r", size: 3},
		"complete":               {in: "abc\r\nmore", size: 3, body: "abc", length: 11},
		"empty":                  {in: "\r\n", size: 0, length: 8},
		"longer than its length": {in: "abcd\r\n", size: 3, malformed: true},
		"with line ends inside":  {in: "a\r\nb\r\n", size: 4, body: "a\r\nb", length: 12},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			body, n, err := framing.Body([]byte(head+tc.in), len(head), tc.size)
			require.Equal(t, tc.malformed, errors.Is(err, errMalformed))
			require.Equal(t, tc.length, n)
			require.Equal(t, tc.body, string(body))
		})
	}
}

// Each method that reads a word, with valid and invalid words.
func TestReadWord(t *testing.T) {
	tests := map[string]struct {
		word string
		read func(*Line) any
		want any // nil: malformed
	}{
		"text":                    {"w", func(l *Line) any { return l.Text(0) }, "w"},
		"missing word":            {"w", func(l *Line) any { return l.Text(1) }, nil},
		"unsigned integer":        {"12", func(l *Line) any { return l.Unsigned(0) }, uint64(12)},
		"integer with a sign":     {"+12", func(l *Line) any { return l.Unsigned(0) }, nil},
		"integer of 64 bits":      {"9223372036854775808", func(l *Line) any { return l.Unsigned(0) }, nil},
		"number with a fraction":  {"-1.5", func(l *Line) any { return l.Float(0) }, -1.5},
		"not a number":            {"x", func(l *Line) any { return l.Float(0) }, nil},
		"length at the limit":     {"8", func(l *Line) any { return l.Length(0, 8) }, 8},
		"length beyond the limit": {"9", func(l *Line) any { return l.Length(0, 8) }, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			wideFraming := Framing{MaxLine: 64, Malformed: errMalformed}
			line, n, err := wideFraming.Line([]byte(tc.word + "\r\n"))
			require.NoError(t, err)
			require.Positive(t, n)
			got := tc.read(&line)
			if tc.want == nil {
				require.ErrorIs(t, line.Err(), errMalformed)
				require.Zero(t, got)
				return
			}
			require.NoError(t, line.Err())
			require.Equal(t, tc.want, got)
		})
	}
}

// The first error is kept. Its text states the reason and quotes the line.
func TestFirstErrorIsKept(t *testing.T) {
	line, _, err := framing.Line([]byte("one 2\r\n"))
	require.NoError(t, err)
	line.RequireCount(3)
	line.Fail("another reason")
	require.EqualError(t, line.Err(), `test: malformed line: wrong number of words in "one 2"`)
	require.Zero(t, line.Unsigned(1))
}

// An error quotes only the beginning of a long line, because errors are logged.
func TestErrorQuotesTheBeginningOfTheLine(t *testing.T) {
	err := framing.NewError([]byte(strings.Repeat("x", 200)), "no line end")
	require.ErrorIs(t, err, errMalformed)
	require.Less(t, len(err.Error()), 130)
}

func TestAppendBody(t *testing.T) {
	require.Equal(t, "line\r\nbody\r\n", string(AppendBody([]byte("line\r\n"), []byte("body"))))
}
