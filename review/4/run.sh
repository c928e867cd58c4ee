#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build.sh.
# TROUBLE=0 does the same without the disruption, and must pass.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pimentoshunt ] && [ -x target/review/standin ] || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    export TROUBLE=0
else
    export TROUBLE=1
fi
exec target/review/standin brief-life target/pimentoshunt review/4/record.txt
