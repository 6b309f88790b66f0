//go:build !planted

package planted

// Built says that the bugs are in this program.
const Built = false

// Bug is false: this is the shipped program.
func Bug(ID) bool { return false }

// Set does nothing here.
func Set(ID) {}
