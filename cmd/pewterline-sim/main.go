// Command pewterline-sim runs the log server on a simulated clock with scripted faults, searches for scripts that
// violate an invariant, and shrinks such scripts. It exits with status 0 if all invariants hold, 1 if one is violated,
// and 2 if the arguments or the script are invalid.
//
// It is a test tool: the server neither contains nor imports it.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/sim"
)

const programName = "pewterline-sim"

// The exit codes.
const (
	exitClean  = 0
	exitBroken = 1 // an invariant was violated
	exitUsage  = 2 // invalid arguments, an invalid script, or a failure of the simulation itself
)

// filePermissions are the permissions of the files that the program writes.
const filePermissions = 0o644

type command struct {
	Run       runCommand       `cmd:"" help:"Play one script, drawn from a seed or read from a file."`
	Search    searchCommand    `cmd:"" help:"Search for scripts that break an invariant."`
	Shrink    shrinkCommand    `cmd:"" help:"Make a failing script smaller until nothing can be left out."`
	Balancers balancersCommand `cmd:"" help:"Compare load balancing policies under an impairment."`
	Gossip    gossipCommand    `cmd:"" help:"Measure what gossip is worth to an instance that has just started."`
	Processes processesCommand `cmd:"" help:"Play real processes of the program, which upgrade and die under load."`

	// Former names of the commands, which existing scripts may still use.
	OldSearch    searchCommand    `cmd:"" name:"hunt" hidden:""`
	OldBalancers balancersCommand `cmd:"" name:"routes" hidden:""`
	OldGossip    gossipCommand    `cmd:"" name:"learn" hidden:""`
	OldProcesses processesCommand `cmd:"" name:"procs" hidden:""`
	OldPlanted   plantedCommand   `cmd:"" name:"planted" hidden:""`
}

// runner is implemented by every command. Run returns the exit code.
type runner interface {
	Run(out io.Writer) (int, error)
}

// errHelpShown is returned when kong has printed the help text and no command is to run.
var errHelpShown = errors.New("help shown")

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the program with the given arguments and output streams, and returns the exit code.
func run(args []string, out, errs io.Writer) int {
	code, err := parseAndRun(args, out, errs)
	if err != nil && !errors.Is(err, errHelpShown) {
		fmt.Fprintf(errs, "%s: %v\n", programName, err)
	}
	return code
}

func parseAndRun(args []string, out, errs io.Writer) (int, error) {
	var cmd command
	helpShown := false
	parser, err := kong.New(&cmd,
		kong.Name(programName),
		kong.Description("Plays the log server against faults on a simulated clock."),
		kong.Vars{
			"profiles":    strings.Join(faults.Profiles(), ", "),
			"impairments": strings.Join(sim.Impairments, ", "),
		},
		kong.Writers(out, errs),
		kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return exitUsage, err
	}
	ctx, err := parser.Parse(args)
	if helpShown {
		return exitClean, errHelpShown
	}
	if err != nil {
		return exitUsage, err
	}
	selected, ok := ctx.Selected().Target.Addr().Interface().(runner)
	if !ok {
		return exitUsage, fmt.Errorf("%s requires a subcommand", ctx.Command())
	}
	return selected.Run(out)
}
