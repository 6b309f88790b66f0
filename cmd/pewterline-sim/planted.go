package main

import (
	"errors"
	"io"
)

// errPlantedMoved says where the planted bugs are now.
var errPlantedMoved = errors.New("planted: the tests plant the bugs now: go test -run Planted ./internal/testbed/sim")

// plantedCommand was the search for bugs that a build with a tag had; the program has none any more.
type plantedCommand struct{}

// Run returns errPlantedMoved.
func (c *plantedCommand) Run(io.Writer) (int, error) { return exitUsage, errPlantedMoved }
