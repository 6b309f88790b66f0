package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// setupFlags are the parameters of a simulation whose script is drawn from a seed.
type setupFlags struct {
	Profile string  `default:"worst" help:"How much goes wrong, and what: ${profiles}."`
	Servers int     `default:"3" help:"Log servers, each with a worker pool."`
	Proxies int     `default:"4" help:"Proxies; there are half as many web front ends beside."`
	Seconds float64 `default:"12" help:"How long requests come, in simulated seconds."`
	Edges   int     `help:"Instances of the program before the servers, to which all callers go."`
	Vault   bool    `help:"Requests call a vault while they run, as on the second deployment."`
	Rate    float64 `help:"First attempts a second in all; 0 has the profile choose."`
}

func (f setupFlags) length() microtime.Time { return microtime.Time(f.Seconds * 1e6) }

func (f setupFlags) draw(seed uint64) (faults.Script, error) {
	setup := faults.Setup{
		Servers: f.Servers,
		Proxies: f.Proxies,
		Edges:   f.Edges,
		Length:  f.length(),
		Rate:    f.Rate,
		Vault:   f.Vault,
	}
	return setup.Draw(seed, f.Profile)
}

// scriptSource specifies a script, either by a file or by a seed.
type scriptSource struct {
	Seed   uint64 `help:"Seed to draw the script from."`
	Script string `type:"path" help:"File to read the script from, in place of a seed."`
	setupFlags
}

func (s scriptSource) script() (faults.Script, error) {
	if s.Script == "" {
		return s.draw(s.Seed)
	}
	return readScript(s.Script)
}

func readScript(path string) (faults.Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return faults.Script{}, err
	}
	script, err := faults.Parse(string(text))
	if err != nil {
		return script, fmt.Errorf("%s: %w", path, err)
	}
	return script, nil
}

// parseSeeds parses a range of seeds: A..B, or A.. without an end, in which case last is 0.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, ok := strings.Cut(text, "..")
	if first, err = strconv.ParseUint(from, 10, 63); err != nil || !ok {
		return 0, 0, fmt.Errorf("--seeds: %q is not of the form A..B", text)
	}
	if to == "" {
		return first, 0, nil
	}
	if last, err = strconv.ParseUint(to, 10, 63); err != nil || last < first {
		return 0, 0, fmt.Errorf("--seeds: %q does not end at or after %d", text, first)
	}
	return first, last, nil
}
