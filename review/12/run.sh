#!/usr/bin/env bash
# A job whose cancelling was answered with 410 starts afterwards: a write without
# an answer takes effect later. 0: held, 1: broken, 2: could not run. TROUBLE=0:
# the store answers all the time.
case_folder=$(cd "$(dirname "$0")" && pwd)
: > "$case_folder/record.txt"
. "$(dirname "$0")/../standin-3/cell.sh"
trouble=${TROUBLE:-1}
silent_ms=2000
late_ms=6000
cancel_ms=3000
job=$(printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM)

choose_ports
start_platform
put_configuration 4
for i in $(seq 8); do start_worker "$i"; done
for i in 1 2 3; do start_instance "$i"; done
wait_ready
sleep 3

# Ordinary traffic before: the instance has stored jobs in each part of its tables.
for k in 0 1 2 3 4 5 6 7; do
    answer=$(ask 1 POST "/jobs/000000000000000$k" \
        '{"spec":"ms=50","phases":[{"count":1,"cpu":100,"memMb":64,"estimatedMs":50}]}')
    [ "${answer%% *}" = 200 ] || cannot_run "a job before was not accepted"
done
sleep 1

if [ "$trouble" = 1 ]; then
    note "disruption: the store is silent for $silent_ms ms; what it receives then it performs $late_ms ms later"
    "$standin" call POST "$base" store "/own/silent?ms=$silent_ms&late=$late_ms" >/dev/null
fi
body='{"spec":"ms=20000","phases":[{"count":1,"cpu":2000,"memMb":1024,"estimatedMs":20000}]}'
answer=$(ask 1 POST "/jobs/$job" "$body")
note "client: POST $job -> $answer"
# The client gives the job up: it cancels until it gets 2xx or 410.
acknowledged=0
for k in $(seq 60); do
    answer=$(ask 1 DELETE "/jobs/$job")
    note "client: DELETE $job -> $answer"
    case "$answer" in
        2*|410*) acknowledged=$(date +%s%3N); break ;;
    esac
    sleep 0.25
done
[ "$acknowledged" != 0 ] || cannot_run "the cancelling was not acknowledged"
sleep 12
answer=$(ask 2 GET "/jobs/$job")
note "client: GET $job -> $answer"
started=$(grep " start $job" "$record" | tail -n 1 | cut -d' ' -f1)
if [ -n "$started" ]; then
    note "workers: the last start came $((started - acknowledged)) ms after the cancelling was acknowledged; ends: $(grep -c " \(done\|stopped\|lapsed\|failed\) $job" "$record")"
fi
if [ -n "$started" ] && [ $((started - acknowledged)) -gt $cancel_ms ]; then
    note "BROKEN: UNASKED: a task was started later than $cancel_ms ms after that"
    exit 1
fi
note "held"
exit 0
