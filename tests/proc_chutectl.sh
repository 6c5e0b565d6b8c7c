#!/bin/sh
# chutectl against the platform's stand-in: each exit code of validate, publish, diff, history and
# show, with racing operators, a lost answer and an outage.
set -eu
. tests/lib_proc.sh

start platform fake-platform
url=http://$addr

doc() {
	echo "{ \"models\": { \"m\": { \"context_tokens\": $1 } } } // test" >"$work/$1.json"
}

for file in examples/nyaymitra.json examples/harrowgate.json; do
	expect 0 validate $file
done
echo '{"models": {"m": {"context": 1}}}' >"$work/bad.json"
expect 2 validate "$work/bad.json"
says 'models.m.context: EUNKNOWN_KEY: allowed: context_tokens'
printf '{\n "models": }\n' >"$work/syntax.json"
expect 2 validate "$work/syntax.json"
says 'syntax.json:2:'
expect 2 publish "$work/bad.json" --platform "$url"
expect 1 publish
expect 1 validate "$work/bad.json" --platform "$url"
expect 1 publish "$work/bad.json" --nonsense

doc 100
doc 200
doc 300
expect 0 publish "$work/100.json" --platform "$url" --author ann
says 'accepted: revision 1'
expect 0 publish "$work/100.json" --platform "$url" --json
says '"outcome": "unchanged"'
expect 0 diff "$work/200.json" --platform "$url"
says 'context_tokens: 100 -> 200'
expect 0 publish "$work/200.json" --platform "$url" --base 1 --author ben
expect 3 publish "$work/300.json" --platform "$url" --base 1
says 'revision 2 is in force'

# The append takes effect and its answer is lost: publish reads it back.
fault "${url#http://}" '{"lose_answers": 1}'
expect 0 publish "$work/300.json" --platform "$url" --author cas
says 'accepted: revision 3'
expect 0 show --platform "$url" --revision 1
says '"context_tokens": 100'
expect 0 show --platform "$url"
says '"context_tokens": 300'
expect 6 show --platform "$url" --revision 9
expect 0 history --platform "$url"
[ "$(grep -c ' accepted ' "$work/out")" -eq 3 ] || { cat "$work/out"; fail "history"; }
says 'rev 2 .*ben'

# Ten operators race from the same base: one is accepted, and nobody is told wrongly.
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
expect 0 show --platform "$url"
says "\"context_tokens\": $((1000 + winner))"

fault "${url#http://}" '{"outage": 1}'
expect 5 publish "$work/100.json" --platform "$url" --timeout-ms 1500
expect 5 status --node "${url#http://}" --token-file "$work/100.json" --timeout-ms 500
echo "proc_chutectl: passed"
