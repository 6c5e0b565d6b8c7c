#!/bin/sh
# One cell of the fault matrix, apart from proc_faults.sh because KNOWN-RED.txt names it.
set -eu
line=$(sh bench/fault_cell.sh first-token node-kill 1)
echo "$line"
case $line in
*'|held|'*) ;;
*) exit 1 ;;
esac
