#!/bin/sh
# Builds the programs that the cases 6 to 10 start beside the project's own. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/second"
mkdir -p bin
go build -o bin/ ./...
