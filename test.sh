#!/usr/bin/env bash
# Everything that must hold before a change lands, in each module: format, vet,
# staticcheck, the tests under the race detector; and the build that operators run.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not gofmt'd: $unformatted" >&2
	exit 1
fi
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
test -n "$build"
sh -c "$build"
test -x bin/drill
for module in . rpc/connect; do
	(
		cd "$module"
		go vet ./...
		go run honnef.co/go/tools/cmd/staticcheck@v0.7.0 ./...
		# What fleets and councils of processes hold is held in real time: they go last, and alone.
		go test -race -count=1 $(go list ./... | grep -vE '/internal/(fleet|council)$')
	)
done
go test -race -count=1 -p 1 ./internal/council ./internal/fleet
