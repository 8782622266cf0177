#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOTOOLCHAIN=local GOPROXY=off go build -o bin/ ./cmd/...
