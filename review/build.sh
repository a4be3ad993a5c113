#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. The build of the deploy
# file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j8
