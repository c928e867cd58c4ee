#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentoshunt ] && [ -x target/review/standin ] || exit 2
exec target/review/standin same-id target/pimentoshunt review/3/record.txt
