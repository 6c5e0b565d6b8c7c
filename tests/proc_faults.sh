#!/bin/sh
# A short, fixed part of the fault matrix; make faults runs the whole.
set -eu
cells="intent:log-answers-lost outcome:log-down sent:service-reset mid-stream:engine-reset
	mid-stream:node-stop"
broken=0
for cell in $cells; do
	line=$(sh bench/fault_cell.sh "${cell%:*}" "${cell#*:}" 1) || line="$cell|BROKEN"
	echo "$line"
	case $line in
	*'|held|'*) ;;
	*) broken=1 ;;
	esac
done
[ "$broken" -eq 0 ]
