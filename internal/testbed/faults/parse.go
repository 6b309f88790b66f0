package faults

import (
	"strconv"
	"strings"
	"time"

	"pewterline/internal/microtime"
)

// Parse reads a script's text form and validates it. An error is an *Error; it names the line, except where the world
// line is missing.
func Parse(text string) (Script, error) {
	var parsing parser
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if err := parsing.parseLine(strings.Fields(line)); err != nil {
			err.Line = i + 1
			return parsing.script, err
		}
	}
	if !parsing.hasWorldLine {
		return parsing.script, fieldErrorf("world", "missing")
	}
	parsing.script.SortFaults()
	return parsing.script, nil
}

// parser holds the part of a script that has been read.
type parser struct {
	script       Script
	hasWorldLine bool
}

func (p *parser) parseLine(words []string) *Error {
	if len(words) == 0 {
		return nil
	}
	fields, err := splitFields(words[1:])
	if err != nil {
		return err
	}
	switch {
	case words[0] == "world" && !p.hasWorldLine:
		p.hasWorldLine = true
		if err := p.script.readWorldLine(fields); err != nil {
			return err
		}
		return p.script.checkSetup()
	case words[0] == "world":
		return fieldErrorf("world", "duplicate world line")
	case words[0] != "fault":
		return fieldErrorf(words[0], "unknown keyword, want world or fault")
	case !p.hasWorldLine:
		return fieldErrorf("fault", "precedes the world line")
	}
	return p.addFault(fields)
}

func (p *parser) addFault(fields []field) *Error {
	fault, err := readFault(fields)
	if err != nil {
		return err
	}
	p.script.Faults = append(p.script.Faults, fault)
	if len(p.script.Faults) > MaxFaults {
		return fieldErrorf("fault", "more than %d faults", MaxFaults)
	}
	return p.script.check(fault)
}

// field is one name=value pair of a line.
type field struct{ name, value string }

func splitFields(words []string) ([]field, *Error) {
	var fields []field
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if !ok || name == "" || value == "" {
			return nil, fieldErrorf(word, "is not of the form name=value")
		}
		for _, f := range fields {
			if f.name == name {
				return nil, fieldErrorf(name, "given twice")
			}
		}
		fields = append(fields, field{name, value})
	}
	return fields, nil
}

// readWorldLine reads the fields of the world line. Kept scripts use these names.
func (s *Script) readWorldLine(fields []field) *Error {
	readers := map[string]func(value string) error{
		"seed":    readInto(&s.Seed, parseUint),
		"profile": func(value string) error { s.Profile = value; return nil },
		"servers": readInto(&s.Servers, strconv.Atoi),
		"proxies": readInto(&s.Proxies, strconv.Atoi),
		"offices": readInto(&s.WebFrontends, strconv.Atoi),
		"edges":   readInto(&s.Edges, strconv.Atoi),
		"advice":  readInto(&s.Gossip, strconv.ParseBool),
		"store":   readInto(&s.Store, strconv.ParseBool),
		"vault":   readInto(&s.Vault, strconv.ParseBool),
		"guarded": readInto(&s.IdempotentOrders, strconv.ParseBool),
		"seconds": readInto(&s.Length, parseSeconds),
		"rate":    readInto(&s.Rate, parseFloat),
	}
	return readFields(fields, readers)
}

func readFault(fields []field) (fault Fault, _ *Error) {
	readers := map[string]func(value string) error{
		"at":     readInto(&fault.At, parseDuration),
		"kind":   func(value string) error { fault.Kind = Kind(value); return nil },
		"node":   func(value string) error { fault.Node = value; return nil },
		"peer":   func(value string) error { fault.Peer = value; return nil },
		"for":    readInto(&fault.For, parseDuration),
		"what":   func(value string) error { fault.What = value; return nil },
		"amount": readInto(&fault.Amount, parseFloat),
	}
	err := readFields(fields, readers)
	return fault, err
}

// readFields passes each field's value to the reader of that name.
func readFields(fields []field, readers map[string]func(value string) error) *Error {
	for _, f := range fields {
		read, ok := readers[f.name]
		if !ok {
			return fieldErrorf(f.name, "unknown")
		}
		if err := read(f.value); err != nil {
			return fieldErrorf(f.name, "invalid value %q", f.value)
		}
	}
	return nil
}

// readInto returns a reader that parses a value and assigns the result to a variable.
func readInto[T any](variable *T, parse func(string) (T, error)) func(string) error {
	return func(value string) (err error) {
		*variable, err = parse(value)
		return err
	}
}

func parseUint(text string) (uint64, error) { return strconv.ParseUint(text, 10, 64) }

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// parseSeconds reads a number of seconds.
func parseSeconds(text string) (microtime.Time, error) {
	seconds, err := parseFloat(text)
	return microtime.Time(seconds * 1e6), err
}

// parseDuration reads a duration in the syntax of time.ParseDuration.
func parseDuration(text string) (microtime.Time, error) {
	d, err := time.ParseDuration(text)
	return microtime.FromDuration(d), err
}
