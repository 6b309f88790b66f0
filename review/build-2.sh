#!/bin/sh
# Builds the stand-ins of the second review's cases, review/6 to review/10, as bin/standin-2. Run it after the build of
# deploy/balancer.toml, which builds the programs that the cases start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -o bin/standin-2 ./review/standin-2
