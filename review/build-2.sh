#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build/review-2/. It
# needs the compiler and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
sources=review/stand_ins_2
flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
for part in wire deployment; do
  "${CXX:-g++}" "${flags[@]}" -c "$sources/$part.cpp" -o "$out/$part.o"
done
for case in order memory cold; do
  "${CXX:-g++}" "${flags[@]}" "$sources/${case}_case.cpp" "$out/wire.o" \
    "$out/deployment.o" -o "$out/${case}_case"
done
