#!/bin/sh
# Injects each fault of an engine while streams are open. Callers must still get their own answers,
# complete and in order, with the help of the other engine.
set -eu
. tests/lib_proc.sh

start_backends --decode-tokens-per-s 100
start_node n1
cat >"$work/streams.json" <<EOT
{ "duration_ms": 1500, "drain_ms": 33000, "nodes": ["$caller"],
  "classes": [
    { "name": "draft", "tier": 1, "model": "demo-7b", "token": "demo-token-claims", "rate": 8,
      "stream": true, "output_tokens": 40 },
    { "name": "notes", "tier": 3, "model": "demo-7b", "token": "demo-token-repairs", "rate": 4,
      "output_tokens": 20 }] }
EOT
for f in '{"crash_ms": 500}' '{"reset": 3, "reset_token": 10}' '{"crossed": 3}' '{"wrong": 3}' \
	'{"no_done": 3}' '{"busy": 5}' '{"slow_percent": 500}'; do
	(sleep 0.7 && fault "$engine1" "$f") &
	pids="$pids $!"
	must_pass "$f" "$work/streams.json"
	[ "$(column draft 4)" = "$(column draft 3)" ] ||
		fail "$f: not all streams are complete: $(cat "$work/table")"
	echo "proc_engine_faults: $f: $(column draft 4) streams and $(column notes 4) answers complete"
	fault "$engine1" '{"slow_percent": 100, "reset": 0, "crossed": 0, "wrong": 0, "no_done": 0, "busy": 0}'
	fault "$engine1" '{}'
done
