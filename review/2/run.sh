#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case2 ] && [ -x ../../bin/fawnrock ] || exit 2
exec timeout -k 2 115 ../bin/case2
