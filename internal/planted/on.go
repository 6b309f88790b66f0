//go:build planted

package planted

// Built says that the bugs are in this program.
const Built = true

var current ID

// Bug tells whether id is the bug in force.
func Bug(id ID) bool { return id == current }

// Set puts one bug in force, or None. It is not for concurrent use.
func Set(id ID) { current = id }
