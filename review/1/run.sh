#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case_1 ] || exit 2
exec target/review/case_1 "${TROUBLE:-1}" "$PWD/review/1/record.txt"
