#!/usr/bin/env bash
# run_case.sh CASE FOLDER [ARGUMENT]: runs a case of the third review, which writes
# record.txt into its folder. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
case_program="target/review-3/$1"
[ -x target/platform/auburnspring-platformd ] && [ -x "$case_program" ] || exit 2
timeout -k 2 115 "$case_program" "review/$2/record.txt" "${@:3}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
