#!/bin/sh
# Runs examples/embed.c, in which two workers compete for a job: it must run exactly once.
set -eu
BIN=${BIN:-build/bin}
"$BIN/embed" | grep -q 'the job ran 1 time' || { echo "proc_embed: the job did not run once" >&2; exit 1; }
echo "proc_embed: passed"
