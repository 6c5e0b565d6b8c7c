#!/bin/sh
# A fixed selection of cells of the fault matrix; make faults runs all of them.
set -eu
cells="intent:log-answers-lost outcome:log-down sent:service-reset mid-stream:engine-reset
	mid-stream:node-stop"
failed=0
for cell in $cells; do
	line=$(sh bench/fault_cell.sh "${cell%:*}" "${cell#*:}" 1) || line="$cell|BROKEN"
	echo "$line"
	case $line in
	*'|held|'*) ;;
	*) failed=1 ;;
	esac
done
[ "$failed" -eq 0 ]
