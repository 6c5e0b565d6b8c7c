#!/bin/sh
# Shows the entry of KNOWN-RED.txt on a forgotten statement of leaving (soak seed 932); not a case.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
timeout 60 review/bin/forgotten_leaving "$here"
code=$?
[ $code -le 1 ] || code=2
exit $code
