#!/bin/sh
# A call that must not be repeated runs at most once, whatever the service does after it has run it,
# and a call that ran is never reported as not run.
set -eu
. tests/lib_proc.sh

start_backends
start_node n1
cat >"$work/book.json" <<EOT
{ "duration_ms": 1000, "drain_ms": 9000, "nodes": ["$caller"],
  "classes": [
    { "name": "keyed", "class": "book", "tier": 1, "service": "booking/slot",
      "token": "demo-token-repairs", "rate": 25, "keyed": true, "resends": 2 },
    { "name": "unkeyed", "class": "book", "tier": 1, "service": "booking/slot",
      "token": "demo-token-repairs", "rate": 25 }] }
EOT
for f in '{"reset_after": 4}' '{"close_after_read": 4}' '{"busy": 4}' '{"hang": 2}' \
	'{"crossed": 4}' '{"slow_ms": 200}'; do
	fault "$service" "$f"
	must_pass "$f" "$work/book.json"
	echo "proc_at_most_once: $f: keyed $(column keyed 4) of $(column keyed 3) answered," \
		"$(column keyed 11) in doubt; unkeyed $(column unkeyed 4) of $(column unkeyed 3)," \
		"$(column unkeyed 11) in doubt"
	fault "$service" '{"slow_ms": 0, "busy": 0, "hang": 0, "crossed": 0}'
done
