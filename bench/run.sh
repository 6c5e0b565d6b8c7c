#!/bin/sh
# Runs the benches and keeps their results as JSON in bench/results with the commit. Needs an idle
# machine to mean something; decides nothing.
set -eu
BIN=${BIN:-build/bin}
export BIN
out=bench/results
mkdir -p "$out"
git rev-parse HEAD >"$out/COMMIT" 2>/dev/null || true

"$BIN/bench_keys" >"$out/keys.json"
"$BIN/bench_config" >"$out/config.json"
"$BIN/bench_member" --output "$out/member.json"
"$BIN/bench_peer" --output "$out/peer.json"
"$BIN/bench_policy" --json "$out/policy.json"
sh bench/added_latency.sh "$out/added_latency.json"
echo "results: $out"
