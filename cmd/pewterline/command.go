package main

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"pewterline/internal/config"
)

const programName = "pewterline"

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the server, an operator's call or the check of a file failed
	exitUsage  = 2
)

// environment gives the commands access to the process's environment variables and output streams.
type environment struct {
	getenv func(string) string
	out    io.Writer
	errs   io.Writer
}

// commandLine declares the commands for kong. Without a command the program serves, which is how the platform starts
// it.
type commandLine struct {
	Serve       serveCommand       `cmd:"" default:"1" help:"Serve until SIGTERM. The environment names the files."`
	Demo        demoCommand        `cmd:"" help:"Run three servers in a temporary folder, one of which is lost. Takes some seconds."`
	Replication replicationCommand `cmd:"" help:"Ask a running server about its replication group, or change the group."`
	Check       checkCommand       `cmd:"" help:"Check all files and name what is wrong with each."`
	Version     versionCommand     `cmd:"" help:"Tell which build this is."`

	// The former names of Demo and Replication, which are still accepted.
	OldDemo        demoCommand        `cmd:"" name:"try" hidden:""`
	OldReplication replicationCommand `cmd:"" name:"copies" hidden:""`
}

// errReported is the error of a command that has printed its errors itself.
var errReported = errors.New("reported")

// run runs the command in the arguments and returns the exit code.
func run(args []string, env environment) int {
	var line commandLine
	helpShown := false
	parser, err := kong.New(&line,
		kong.Name(programName),
		kong.Description("A log server, or an edge before many."),
		kong.Writers(env.out, env.errs),
		kong.Exit(func(int) { helpShown = true }),
	)
	if err != nil {
		return env.fail(exitUsage, err)
	}
	ctx, err := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if err != nil {
		return env.fail(exitUsage, err)
	}
	if err := ctx.Run(&env); err != nil {
		return env.fail(exitFailed, err)
	}
	return exitOK
}

// fail prints an error, except errReported, and returns the exit code.
func (e *environment) fail(code int, err error) int {
	if !errors.Is(err, errReported) {
		fmt.Fprintf(e.errs, "%s: %v\n", programName, err)
	}
	return code
}

type checkCommand struct{}

// Run checks all files.
func (checkCommand) Run(env *environment) error {
	faults := config.ValidateFiles(env.getenv)
	for _, fault := range faults {
		fmt.Fprintln(env.out, fault)
	}
	if len(faults) > 0 {
		return errReported
	}
	fmt.Fprintln(env.out, "all files are sound")
	return nil
}

type versionCommand struct{}

// Run prints the build.
func (versionCommand) Run(env *environment) error {
	_, err := fmt.Fprintln(env.out, version())
	return err
}

// version describes the build by the build information that the Go toolchain has embedded in the program.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return programName + ", an unknown build"
	}
	text := programName + " " + info.Main.Version + ", " + info.GoVersion
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += ", " + setting.Value
		}
	}
	return text
}
