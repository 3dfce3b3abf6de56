#!/bin/bash
# MIXED: a success with no length is cut to an empty body. Exit code 0: the rule held; 1: it was broken; 2: could not run.
# TROUBLE=0 plays the same without the disruption. Wants the build of the deploy file and review/build.sh.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/release/review-standin ] || { echo "review/build.sh has not run" >&2; exit 2; }
# All processes of the play are in one group, which ends with this script whatever happens.
set -m
target/review/release/review-standin unframed "$folder/record.txt" &
play=$!
set +m
trap 'kill -KILL -- -$play 2>/dev/null' EXIT
trap 'exit 2' INT TERM
for _ in $(seq 1150); do
    kill -0 $play 2>/dev/null || { wait $play; exit $?; }
    sleep 0.1
done
echo "not done after 115 s" >&2
exit 2
