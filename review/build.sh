#!/bin/bash
# Builds the stand-ins and drivers of all cases into review/bin. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/ ./...
