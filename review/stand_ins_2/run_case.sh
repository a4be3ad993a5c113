#!/usr/bin/env bash
# run_case.sh PROGRAM FOLDER: runs a case with a temporary folder for settings
# and logs of the hosts, which end with the program.
set -u
program=$(basename "$1")
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
if [ ! -x "build/review-2/$program" ] ||
  [ ! -x target/platform/auburnspring-platformd ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
timeout --kill-after=2 115 "build/review-2/$program" "$folder" "$temporary"
result=$?
rm -rf "$temporary"
if [ "$result" -gt 1 ]; then
  exit 2
fi
exit "$result"
