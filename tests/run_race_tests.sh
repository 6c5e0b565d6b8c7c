#!/bin/sh
# Runs the plain race programs and the demo built with the thread sanitizer.
set -eu
export TSAN_OPTIONS="halt_on_error=1 exitcode=66"
for t in "$BIN"/race_*; do
	[ -x "$t" ] && "$t"
done
sh examples/demo.sh
