package main

import (
	"errors"
	"io"
)

// errPlantedMoved tells users of the former command where the planted bugs are.
var errPlantedMoved = errors.New("planted: moved to the tests, now run by: go test -run Planted ./internal/testbed/sim")

// plantedCommand stands in for a former command, which searched for planted bugs in a build with a tag.
type plantedCommand struct{}

// Run returns errPlantedMoved.
func (c *plantedCommand) Run(io.Writer) (int, error) { return exitUsage, errPlantedMoved }
