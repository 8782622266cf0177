#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../second/bin/second ] || { echo "run review/build-2.sh first"; exit 2; }
exec ../second/bin/second change .
