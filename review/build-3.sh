#!/usr/bin/env bash
# Builds the stand-ins and cases of the third review into target/review-3. The
# build of the deploy file has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stand_ins_3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -j"$(nproc)"
