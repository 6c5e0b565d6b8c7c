#!/bin/sh
# log_table.sh LOG [STEP_S]: a table of what became of requests with a prompt, by route and time, from
# the log lines of gateways (GATE_REQUEST_ENDED, GATE_REQUEST_FAILED). LOG may have a time in seconds
# in front of each line; otherwise the time is that of the line, from the first one on. Columns: ended
# OK, refused for load, other ends; of those sent: mean predicted wait and work in ms, share of the
# prompt that was cached or copied, share that copied, mean time to the first byte; of those refused:
# mean predicted wait, work and limit. Logs are bounded under load: the shares are those of the lines.
# Exit code: 0, or 2 if LOG can't be read, STEP_S is no positive number or no line fits.
set -u
usage() {
	echo "log_table.sh: $1; usage: log_table.sh LOG [STEP_S]" >&2
	exit 2
}
[ $# -ge 1 ] && [ $# -le 2 ] || usage "one or two arguments"
[ -r "$1" ] || usage "can't read '$1'"
step=${2:-2}
case $step in '' | *[!0-9.]* | *.*.* | .) usage "'$step' is no number of seconds" ;; esac
awk -v step="$step" '
function text(name, at) {
	at = index($0, "\"" name "\":\"")
	return at ? substr($0, at + length(name) + 4, index(substr($0, at + length(name) + 4), "\"") - 1) : ""
}
function number(name, at) {
	at = index($0, "\"" name "\":")
	return at ? substr($0, at + length(name) + 3) + 0 : 0
}
function mean(sum, n) {
	return n ? sum / n : 0
}
BEGIN {
	if (step + 0 <= 0)
		exit 2
}
!/"name":"GATE_REQUEST_(ENDED|FAILED)"/ || number("prompt_tokens") == 0 { next }
{
	if ($1 ~ /^[0-9.]+$/) {
		t = $1
	} else {
		t = number("time_ms") / 1000
		if (!start)
			start = t
		t -= start
	}
	key = sprintf("%9.1f %s", int(t / step) * step, text("route"))
	keys[key]
	how = text("how")
	if (how == "OK")
		ok[key]++
	else if (how == "OVERLOAD")
		refused[key]++
	else
		other[key]++
	if (how == "OVERLOAD") {
		rwait[key] += number("predicted_wait_ms")
		rwork[key] += number("predicted_work_ms")
		limit[key] += number("first_byte_limit_ms")
	} else if (number("attempts")) {
		sent[key]++
		wait[key] += number("predicted_wait_ms")
		work[key] += number("predicted_work_ms")
		tokens[key] += number("prompt_tokens")
		cached[key] += number("cached_tokens")
		copied[key] += text("copied_from") != ""
		if (number("first_byte_ms") >= 0) {
			first[key] += number("first_byte_ms")
			firsts[key]++
		}
	}
	n++
}
END {
	if (!n)
		exit 2
	printf "%9s %-16s %6s %7s %6s | %7s %7s %6s %6s %7s | %7s %7s %7s\n", "from_s", "route", "ok", "refused",
	       "other", "wait_ms", "work_ms", "cached", "copied", "first", "wait_ms", "work_ms", "limit"
	for (key in keys) {
		split(key, k, " ")
		printf "%9.1f %-16s %6d %7d %6d | %7.0f %7.0f %6.2f %6.2f %7.0f | %7.0f %7.0f %7.0f\n", k[1], k[2],
		       ok[key], refused[key], other[key], mean(wait[key], sent[key]), mean(work[key], sent[key]),
		       mean(cached[key], tokens[key]), mean(copied[key], sent[key]),
		       mean(first[key], firsts[key]), mean(rwait[key], refused[key]),
		       mean(rwork[key], refused[key]), mean(limit[key], refused[key]) | "sort -n -k1,1 -k2,2"
	}
}' "$1" || usage "no line of a request with a prompt in '$1', or no time step"
