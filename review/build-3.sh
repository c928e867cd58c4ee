#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review-3,
# after the build of the deploy file. Boost comes with the project's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
c++ -std=c++20 -O1 -o target/review-3/standin review/standin-3/standin.cc -pthread
