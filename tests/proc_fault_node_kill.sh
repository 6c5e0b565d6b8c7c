#!/bin/sh
# The node-kill cell of the fault matrix. Separate from proc_faults.sh, so that KNOWN-RED.txt can
# name it alone.
set -eu
line=$(sh bench/fault_cell.sh first-token node-kill 1)
echo "$line"
case $line in
*'|held|'*) ;;
*) exit 1 ;;
esac
