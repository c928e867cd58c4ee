#!/usr/bin/env bash
# A task runs on two workers at the same time: the lease on a worker that was
# idle before, with a clock 2% slow, is longer than the next owner waits. 0: held,
# 1: broken, 2: could not run. TROUBLE=0: the worker is not cut off.
case_folder=$(cd "$(dirname "$0")" && pwd)
: > "$case_folder/record.txt"
. "$(dirname "$0")/../standin-3/cell.sh"
trouble=${TROUBLE:-1}
clock_rate=0.98
idle_s=75
cut_ms=5500
job=$(printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM)

choose_ports
start_platform
put_configuration 4
for i in $(seq 8); do start_worker "$i"; done
for i in 1 2 3; do start_instance "$i"; done
wait_ready
sleep "$idle_s"

owner=""
for i in 1 2 3; do
    grep -q '"owns the cell"' "$work/instance-$i.log" && owner=$i
done
[ -n "$owner" ] || cannot_run "no owner"
entry=$((owner % 3 + 1))
body='{"spec":"ms=20000","phases":[{"count":1,"cpu":2000,"memMb":1024,"estimatedMs":20000}]}'
answer=$(ask "$entry" POST "/jobs/$job" "$body")
note "client: POST $job -> $answer"
[ "${answer%% *}" = 200 ] || cannot_run "the job was not accepted"
for k in $(seq 50); do
    grep -q " start $job" "$record" && break
    sleep 0.02
done
one=$(grep " start $job" "$record" | sed 's/.* on i-\([0-9]*\) .*/\1/')
[ -n "$one" ] || cannot_run "the task was not started"
sleep 0.2
if [ "$trouble" = 1 ]; then
    note "disruption: worker i-$one (1 of 8) is cut off for $cut_ms ms and runs on"
    "$standin" call POST "$(worker_port "$one")" w "/own/cut?ms=$cut_ms" '{}' >/dev/null
fi
note "planned: instance edge-$owner, which owns the cell, gets SIGTERM"
kill -TERM "${pids[instance-$owner]}"
sleep 16
grep " $job" "$record" | grep -v client | sed 's/^/  /'
# Runs of the task as the workers saw them: begin, end, worker.
awk -v job="$job" '
    $2 == "start" && index($3, job) { begin[$5] = $1; on[$5] = $7; order[++n] = $5 }
    ($2 == "done" || $2 == "stopped" || $2 == "lapsed" || $2 == "failed") &&
        index($3, job) { end[$5] = $1 }
    END {
        worst = 0
        for (i = 1; i < n; i++) {
            late = end[order[i]] == "" ? 1e15 : end[order[i]]
            over = late - begin[order[i + 1]]
            if (over > worst) worst = over
        }
        print worst
    }' "$record" > "$work/overlap"
overlap=$(cat "$work/overlap")
if [ "$overlap" -gt 0 ]; then
    note "BROKEN: TWICE: two runs of the task at the same time for $overlap ms"
    exit 1
fi
note "held"
exit 0
