package processtest

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the program into dir with the given build tags, and returns its path. root is the root of the module.
func Build(root, dir string, tags ...string) (string, error) {
	path := filepath.Join(dir, "pewterline")
	command := exec.Command("go", "build", "-tags", strings.Join(tags, ","), "-o", path, "./cmd/pewterline")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("processtest: build: %w: %s", err, output)
	}
	return path, nil
}
