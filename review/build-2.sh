#!/usr/bin/env bash
# Builds the stand-ins of the case 7 into target/review-2. The product is
# built before, by the line `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j4
