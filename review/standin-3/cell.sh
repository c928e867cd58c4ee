# Common parts of the scripts: starts the store, workers and instances of a small
# cell on loopback addresses and ends all of them. Sourced by run.sh of a case,
# which sets `case_folder`.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$root"
standin=target/review-3/standin
program=target/pimentoshunt
record=$case_folder/record.txt
work=$(mktemp -d)
host=jobs.example
declare -A pids

note()
{
    printf '%s %s\n' "$(date +%s%3N)" "$*" | tee -a "$record"
}

cannot_run()
{
    note "cannot run: $*"
    exit 2
}

finish()
{
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -KILL "${pids[$name]}" 2>/dev/null
        wait "${pids[$name]}" 2>/dev/null
    done
    rm -rf "$work"
}
trap finish EXIT

is_open()
{
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# A range of 300 ports of which those used are free.
choose_ports()
{
    local try p
    for try in $(seq 20); do
        base=$((20000 + (RANDOM % 40) * 300)) # below the ports of outgoing connections
        for p in 0 11 12 13 21 22 23 31 32 33 41 42 43 $(seq 101 108); do
            is_open $((base + p)) && continue 2
        done
        return 0
    done
    cannot_run "no free ports"
}

# start NAME COMMAND...
start()
{
    local name=$1
    shift
    "$@" >>"$work/$name.log" 2>&1 &
    pids[$name]=$!
    disown
}

start_platform()
{
    start platform "$standin" platform "$base" 3
    local i
    for i in $(seq 50); do
        is_open "$base" && return 0
        sleep 0.1
    done
    cannot_run "the store did not start"
}

worker_port() { echo $((base + 100 + $1)); }
front_port() { echo $((base + 10 * $1 + 1)); }

start_worker()
{
    start "worker-$1" "$standin" worker "i-$1" "$(worker_port "$1")" "$base" \
        "$record" 64 "${clock_rate:-1.0}"
}

# Settings as the template of the deploy file gives them.
start_instance()
{
    cat > "$work/instance-$1.json" <<SETTINGS
{
  "instance": "edge-$1",
  "data_centre": "zone-$((($1 - 1) % 3))",
  "caller_address": "127.0.0.1:$(front_port "$1")",
  "status_address": "127.0.0.1:$((base + 10 * $1 + 2))",
  "peer_address": "127.0.0.1:$((base + 10 * $1 + 3))",
  "store_address": "127.0.0.1:$base",
  "processors": 0.25,
  "longest_lease_ms": 10000,
  "stop_grace_s": 6,
  "log_level": "info"
}
SETTINGS
    start "instance-$1" "$program" cell "--settings=$work/instance-$1.json"
}

# put_configuration MAX_ATTEMPTS
put_configuration()
{
    "$standin" call POST "$base" store '/own/put?table=op&key=config' \
        '{"version":1,"routes":[{"host":"'$host'","pathPrefix":"/jobs/","name":"lots","type":"unsafe","service":"washdesk","priority":1,"maxAttempts":'"$1"',"stretch":2.2,"targetDurationMs":1200,"timeoutMs":3000}],"services":[{"name":"washdesk","rejectsOverload":false,"maxConnections":64}],"limits":{"maxBodyBytes":262144,"maxHeaderBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' \
        >/dev/null || cannot_run "the store does not take the configuration"
}

# ask INSTANCE METHOD PATH [BODY]: status and body; "0" without an answer
ask()
{
    "$standin" call "$2" "$(front_port "$1")" "$host" "$3" "${4:-}" 3000
}

wait_ready()
{
    local i
    for i in $(seq 100); do
        case "$(ask 1 GET /jobs/)" in
            200*) return 0 ;;
        esac
        sleep 0.1
    done
    tail -n 3 "$work"/*.log >> "$record"
    cannot_run "the cell does not answer"
}
