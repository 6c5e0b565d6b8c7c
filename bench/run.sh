#!/bin/sh
# run.sh: runs the benches and writes their results as JSON to bench/results, with the commit id.
# The results are meaningful on an idle machine only; no figure makes this script fail.
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
