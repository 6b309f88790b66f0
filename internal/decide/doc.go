// Package decide is the folder of the decisions beside those of package control, each area in a package of its own. All
// of them are deterministic state machines: they do no I/O, start no goroutines, and are handed the time and their
// random seeds. The test of this package checks that.
package decide
