#!/bin/sh
# The exit codes and output of chutectl validate, publish, diff, history, show, status and duties, against
# the platform's stand-in: also with concurrent operators, a lost answer and an outage.
set -eu
. tests/lib_proc.sh

start platform fake-platform
url=http://$addr

# doc CONTEXT_TOKENS: writes a configuration document to $work/CONTEXT_TOKENS.json.
doc() {
	echo "{ \"models\": { \"m\": { \"context_tokens\": $1 } } } // test" >"$work/$1.json"
}

for file in examples/nyaymitra.json examples/harrowgate.json; do
	expect_exit 0 validate $file
done
echo '{"models": {"m": {"context": 1}}}' >"$work/bad.json"
expect_exit 2 validate "$work/bad.json"
output_has 'models.m.context: EUNKNOWN_KEY: allowed: context_tokens'
printf '{\n "models": }\n' >"$work/syntax.json"
expect_exit 2 validate "$work/syntax.json"
output_has 'syntax.json:2:'
expect_exit 2 publish "$work/bad.json" --platform "$url"
expect_exit 1 publish
expect_exit 1 validate "$work/bad.json" --platform "$url"
expect_exit 1 publish "$work/bad.json" --nonsense

doc 100
doc 200
doc 300
expect_exit 0 publish "$work/100.json" --platform "$url" --author ann
output_has 'accepted: revision 1'
expect_exit 0 publish "$work/100.json" --platform "$url" --json
output_has '"outcome": "unchanged"'
expect_exit 0 diff "$work/200.json" --platform "$url"
output_has 'context_tokens: 100 -> 200'
expect_exit 0 publish "$work/200.json" --platform "$url" --base 1 --author ben
expect_exit 3 publish "$work/300.json" --platform "$url" --base 1
output_has 'revision 2 is in force'

# The append takes effect but its answer is lost: publish must find its record in the log.
fault "${url#http://}" '{"lose_answers": 1}'
expect_exit 0 publish "$work/300.json" --platform "$url" --author cas
output_has 'accepted: revision 3'
expect_exit 0 show --platform "$url" --revision 1
output_has '"context_tokens": 100'
expect_exit 0 show --platform "$url"
output_has '"context_tokens": 300'
expect_exit 6 show --platform "$url" --revision 9
expect_exit 0 history --platform "$url"
[ "$(grep -c ' accepted ' "$work/out")" -eq 3 ] || { cat "$work/out"; fail "history: not 3 accepted revisions"; }
output_has 'rev 2 .*ben'

# Ten operators publish concurrently on the same base: one is accepted, and each gets the exit code
# for what happened to its change.
for i in 1 2 3 4 5 6 7 8 9 10; do
	doc $((1000 + i))
	(rc=0
	 "$BIN/chutectl" publish "$work/$((1000 + i)).json" --platform "$url" --base 3 \
		--author "op$i" >"$work/race.$i" 2>&1 || rc=$?
	 echo $rc >"$work/race.$i.rc") &
	race="${race:-} $!"
done
for pid in $race; do wait "$pid" || true; done
accepted=$(grep -lx 0 "$work"/race.*.rc | wc -l)
rejected=$(grep -lx 3 "$work"/race.*.rc | wc -l)
[ "$accepted" -eq 1 ] && [ "$rejected" -eq 9 ] ||
	fail "race: $accepted accepted, $rejected rejected: $(cat "$work"/race.*.rc | tr '\n' ' ')"
winner=$(grep -l '^accepted' "$work"/race.? "$work"/race.?? | sed 's/.*race\.//')
expect_exit 0 show --platform "$url"
output_has "\"context_tokens\": $((1000 + winner))"

# A server that is no gateway must not be shown as one without a holder.
expect_exit 6 duties --node "${url#http://}"
expect_exit 5 duties --node 127.0.0.1:1
expect_exit 1 duties
output_has 'duties: --node required'

fault "${url#http://}" '{"outage": 1}'
expect_exit 5 publish "$work/100.json" --platform "$url" --timeout-ms 1500
expect_exit 5 status --node "${url#http://}" --token-file "$work/100.json" --timeout-ms 500
echo "proc_chutectl: passed"
