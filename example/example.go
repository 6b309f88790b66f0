// Package example embeds the example configuration of the program.
package example

import _ "embed"

// Config is the content of config.json.
//
//go:embed config.json
var Config []byte
