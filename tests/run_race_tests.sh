#!/bin/sh
# Runs the race_* programs and then the demo. The race programs and the chuted of the demo are built
# with the thread sanitizer (folder SAN_BIN), the other programs of the demo without it (folder BIN).
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
