#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -o target/review/standin \
    review/standin/*.cpp -lboost_json -pthread
