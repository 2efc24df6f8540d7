#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/standin -case queue-moves -record review/2/record.txt
