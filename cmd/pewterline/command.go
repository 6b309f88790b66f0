package main

import (
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"pewterline/internal/config"
)

// The exit codes.
const (
	fine   = 0
	failed = 1 // the server, or a file that check looked at
	misuse = 2
)

// commands are what the program can be asked to do. Without any, it serves: the bare command is the platform's.
type commands struct {
	Serve   struct{}  `cmd:"" default:"1" help:"Serve until SIGTERM, as the files say that the environment names."`
	Try     tryCmd    `cmd:"" help:"Show what the program does: three servers in a temporary folder, one of which is lost. Takes some seconds and leaves nothing behind."`
	Copies  copiesCmd `cmd:"" help:"Ask a running server about the group that holds copies with it, or change that."`
	Check   struct{}  `cmd:"" help:"Check all files and name what is wrong with each."`
	Version struct{}  `cmd:"" help:"Tell which build this is."`
}

// ended carries kong's wish to end after its help.
type ended int

// command does what the arguments ask for and returns the exit code.
func command(args []string, getenv func(string) string, out, errs io.Writer) (code int) {
	var c commands
	defer func() {
		if p := recover(); p != nil {
			n, ok := p.(ended)
			if !ok {
				panic(p)
			}
			code = int(n)
		}
	}()
	parser, err := kong.New(&c, kong.Name("pewterline"), kong.Description("A log server, or an edge before many."), kong.Writers(out, errs),
		kong.Exit(func(n int) { panic(ended(n)) }))
	if err != nil {
		panic(err) // of the struct above alone
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "pewterline:", err)
		return misuse
	}
	words, copies := strings.CutPrefix(ctx.Command(), "copies ")
	switch {
	case copies:
		err = c.Copies.run(words, getenv, out)
	case ctx.Command() == "try":
		err = c.Try.do(out)
	case ctx.Command() == "check":
		problems := config.ValidateFiles(getenv)
		for _, p := range problems {
			fmt.Fprintf(out, "%s: %v\n", p.File, p.Err)
		}
		if len(problems) > 0 {
			return failed
		}
		fmt.Fprintln(out, "all files are sound")
	case ctx.Command() == "version":
		fmt.Fprintln(out, version())
	default:
		err = serve()
	}
	if err != nil {
		fmt.Fprintln(errs, "pewterline:", err)
		return failed
	}
	return fine
}

// version names the build by what the Go tool wrote into it.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "pewterline, an unknown build"
	}
	text := "pewterline " + info.Main.Version + ", " + info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += ", " + s.Value
		}
	}
	return text
}
