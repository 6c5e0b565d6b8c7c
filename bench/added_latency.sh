#!/bin/sh
# added_latency.sh [JSON]: measures the time to first token that a node adds to a direct call of the
# engine, and the node's processor time and memory, at loads that double up to 500 open streams
# (200 requests/s). Each line of the table compares a direct run with one through the node, on the
# same engine. JSON: file to write the results to as well.
set -eu
cd "$(dirname "$0")/.."
. tests/lib_proc.sh
json_out=${1:-}
tokens=50 tokens_per_s=20 seconds=6
hz=$(getconf CLK_TCK)

start platform fake-platform
platform=$addr
start engine fake-engine --model demo-7b --slots 4000 --prefill-tokens-per-s 100000000 \
	--decode-tokens-per-s $tokens_per_s --kv-tokens 100000000
engine=$addr
cat >"$work/conf.json" <<EOT
{
	"timeouts": { "connect_ms": 500, "first_token_ms": 10000, "stall_ms": 3000, "service_ms": 5000 },
	"models": { "demo-7b": { "context_tokens": 8192 } },
	"upstreams": { "engine-1": {
		"kind": "engine", "models": ["demo-7b"], "address": "127.0.0.1", "port": ${engine#*:},
		"failure_domain": "demo-a", "region": "demo", "slots": 4000, "kv_tokens": 10000000,
		"honours_priority": true, "resumes": true, "checks_fencing": true } },
	"contracts": { "claims": {
		"token_hashes": ["$(sed -n 's/.*"token_hashes": \["\([0-9a-f]*\)"\].*/\1/p' examples/demo.json | head -1)"],
		"limits": { "requests_per_s": 10000, "tokens_per_s": 10000000, "concurrent": 10000 },
		"classes": { "draft": { "model": "demo-7b", "tier": 1, "ttft_ms": 1000, "itl_ms": 100,
			"deadline_ms": 30000, "floor_permille": 50, "max_output_tokens": 512 } } } }
}
EOT
printf demo-operator >"$work/token"
publish "$work/conf.json"
start_node n1
audit="--engine $engine"

# ttft KEY RESULT: prints a percentile of the time to first token, in ms, from a result of chuteload.
# KEY: p50_ms or p99_ms.
ttft() {
	sed -n '/"ttft"/,/}/s/.*"'"$1"'": *\([0-9.]*\).*/\1/p' "$2"
}
# Processor time of the node so far, in clock ticks.
cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/$pid/stat"
}
# Resident memory of the node.
rss_kb() {
	awk '/VmRSS/ { print $2 }' "/proc/$pid/status"
}

lines=
rss_idle=$(rss_kb)
printf '%8s %8s %12s %12s %10s %10s %14s %12s\n' streams req/s direct50 direct99 added50 added99 \
	tokens/s/core KB/stream
for streams in 31 62 125 250 500; do
	rate=$((streams * tokens_per_s / tokens))
	cat >"$work/latency.json" <<EOT
{ "duration_ms": $((seconds * 1000)), "drain_ms": 10000,
  "classes": [{ "name": "a", "class": "draft", "tier": 1, "model": "demo-7b", "rate": $rate,
    "token": "demo-token-claims", "stream": true, "output_tokens": $tokens }] }
EOT
	must_pass direct "$work/latency.json" --direct --json "$work/direct.json"
	before=$(cpu_ticks)
	load "$work/latency.json" --node "$caller" --json "$work/node.json" &
	load_pid=$!
	sleep $((seconds - 1))
	rss=$(rss_kb)
	wait "$load_pid" || fail "load through the node failed: $(cat "$work/table")"
	ticks_used=$(($(cpu_ticks) - before))
	generated=$(sed -n 's/^ *"tokens": *\([0-9]*\),.*/\1/p' "$work/node.json" | head -1)
	line=$(awk -v s=$streams -v r=$rate -v d50="$(ttft p50_ms "$work/direct.json")" \
		-v d99="$(ttft p99_ms "$work/direct.json")" -v n50="$(ttft p50_ms "$work/node.json")" \
		-v n99="$(ttft p99_ms "$work/node.json")" -v t="$generated" -v u="$ticks_used" -v hz="$hz" \
		-v kb=$((rss - rss_idle)) 'BEGIN {
		printf "%8d %8d %12.2f %12.2f %10.2f %10.2f %14.0f %12.1f", s, r, d50, d99,
			n50 - d50, n99 - d99, t * hz / (u ? u : 1), kb / s }')
	echo "$line"
	lines="$lines$line
"
done
if [ -n "$json_out" ]; then
	printf '%s' "$lines" | awk 'BEGIN { print "[" } {
		printf "%s{\"streams\": %s, \"requests_per_s\": %s, \"direct_p50_ms\": %s, \"direct_p99_ms\": %s, " \
			"\"added_p50_ms\": %s, \"added_p99_ms\": %s, \"tokens_per_s_per_core\": %s, \"kb_per_stream\": %s}",
			(NR > 1 ? ",\n" : ""), $1, $2, $3, $4, $5, $6, $7, $8 } END { print "\n]" }' >"$json_out"
fi
