#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build/review-2/. It
# needs the compiler and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
sources=review/stand_ins_2
flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
parts=()
for part in wire deployment model_worker; do
  "${CXX:-g++}" "${flags[@]}" -c "$sources/$part.cpp" -o "$out/$part.o"
  parts+=("$out/$part.o")
done
for source in "$sources"/*_case.cpp; do
  "${CXX:-g++}" "${flags[@]}" "$source" "${parts[@]}" \
    -o "$out/$(basename "$source" .cpp)"
done
