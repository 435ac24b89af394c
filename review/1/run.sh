#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
command -v python3 > /dev/null || exit 2
folder="$(cd "$(dirname "$0")" && pwd)"
rm -f "$folder/record.txt"
# Replaces this shell, so that a signal to it reaches the play, which ends its processes.
exec python3 -B "$folder/case.py"
