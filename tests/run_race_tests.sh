#!/bin/sh
# Runs the race_* programs, then the demo with a chuted, all built with the thread sanitizer. The
# other programs of the demo are built without it. SAN_BIN is the folder of the programs with the
# sanitizer, BIN of those without.
set -eu
export TSAN_OPTIONS="halt_on_error=1 exitcode=66"
for t in "$SAN_BIN"/race_*; do
	[ -x "$t" ] && "$t"
done
mixed=$(mktemp -d)
trap 'rm -rf "$mixed"' EXIT
for p in "$BIN"/*; do
	ln -s "$(realpath "$p")" "$mixed/$(basename "$p")"
done
ln -sf "$(realpath "$SAN_BIN/chuted")" "$mixed/chuted"
BIN=$mixed sh examples/demo.sh
