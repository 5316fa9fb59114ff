#!/bin/sh
# TROUBLE=0 plays the case without its disruption. What was sent, answered and run
# is written to record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE="${TROUBLE:-1}" RECORD="$here/record.txt" exec python3 "$here/run.py"
