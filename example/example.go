// Package example holds the configuration that the program is tried with.
package example

import _ "embed"

// Config is config.json.
//
//go:embed config.json
var Config []byte
