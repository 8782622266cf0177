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
# Tests that are known to fail now and then run apart, and their results are printed: a line each of
# KNOWN-RED.txt, "PACKAGE TEST | command | seed | what was seen | open issue", three at most.
known_red() {
	[ -f KNOWN-RED.txt ] || return 0
	grep . KNOWN-RED.txt | cut -d'|' -f1
}
skip='^$'
if [ "$(known_red | wc -l)" -gt 3 ]; then
	echo "KNOWN-RED.txt: more than three lines" >&2
	exit 1
fi
while read -r package name; do
	listed=$(go test -list "^$name\$" "$package" </dev/null)
	if ! grep -qx "$name" <<<"$listed"; then
		echo "KNOWN-RED.txt: $package has no test $name" >&2
		exit 1
	fi
	skip="$skip|^$name\$"
done < <(known_red)

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
		go test -race -count=1 -skip "$skip" $(go list ./... | grep -vE '/internal/(fleet|consensus)$')
	)
done
go test -race -count=1 -skip "$skip" -p 1 ./internal/consensus ./internal/fleet
while read -r package name; do
	if go test -race -count=1 -run "^$name\$" "$package" </dev/null; then
		echo "known red, passed this time: $package $name"
	else
		echo "known red, failed: $package $name"
	fi
done < <(known_red)
