// Package decide contains one package for each area of decisions outside of package control. All of them are
// deterministic state machines: they do no I/O, start no goroutines, and get the time and their random seeds as
// arguments. The test of this package checks that.
package decide
