#!/usr/bin/env bash
# Runs an example deployment on loopback: one control process for each data
# centre, the entry nodes and stand-in searchers. DEMO_EXAMPLE selects the example
# (chapeco by default, or saryarka), DEMO_DURATION the time under load in seconds.
# The script applies the tickets, sends searches and submits, restarts an entry
# node under load and prints a JSON line with the results at the end. With the
# argument "serve" it sends no requests and runs until Ctrl-C. It requires only Go
# and bash.
#
# Exit code: 0 if no answer mixed snapshots, no submit ran twice and no request
# was lost, otherwise the code of the step that failed.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
example=$root/examples/${DEMO_EXAMPLE:-chapeco}
bin=$root/bin
workdir=$(mktemp -d "${TMPDIR:-/tmp}/wigeonbay-demo.XXXXXX")
duration=${DEMO_DURATION:-12}
ready_timeout=20
stop_timeout=15

declare -A pids=()

# stop_all terminates the processes that this script started, by their ids, and
# kills those still running after stop_timeout seconds.
stop_all() {
    local code=$? pid deadline=$((SECONDS + stop_timeout))
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    case $code in
    0 | 130 | 143) rm -rf "$workdir" ;;
    *) echo "demo: failed; logs are in $workdir" >&2 ;;
    esac
    exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

print_heading() { printf '\n== %s\n' "$*"; }
fail() { echo "demo: $*" >&2; exit 1; }
ctl() { "$bin/wigeonctl" --config "$example/wigeonctl.ini" "$@"; }

# start NAME COMMAND... runs a process in the background and appends its output
# to NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$workdir/$name.log" 2>&1 &
    pids[$name]=$!
}

start_entry() { start "$1" "$bin/wigeon-entry" --config "$example/$1.ini"; }

# count_ready_entries prints the number of entry nodes that report to be ready.
count_ready_entries() {
    { ctl --output json --timeout 1s status 2>/dev/null || true; } | { grep -o '"ready":true' || true; } | wc -l
}

# wait_for_entries COUNT waits until COUNT entry nodes are ready.
wait_for_entries() {
    local deadline=$((SECONDS + ready_timeout))
    while (($(count_ready_entries) < $1)); do
        check_running
        ((SECONDS < deadline)) || fail "entry nodes are not ready after $ready_timeout s"
        sleep 0.2
    done
}

# check_running fails if any of the started processes has ended.
check_running() {
    local name
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended: $(tail -n 1 "$workdir/$name.log")"
    done
}

# count_spans prints the number of spans of each name in the trace files.
count_spans() {
    local traces
    traces=$(find "$workdir" -name '*.trace')
    [[ -n $traces ]] || { echo "none"; return; }
    # shellcheck disable=SC2086 # the file names contain no spaces
    { grep -oh '^{"Name":"[^"]*"' $traces || true; } | cut -d'"' -f4 | sort | uniq -c | sort -rn
}

# show_trace prints the spans of one search and the process that wrote each span.
show_trace() {
    local line id
    line=$(grep -h '^{"Name":"entry.shard_request"' "$workdir"/entry-*.trace | tail -n 1)
    id=$(sed -n 's/.*"SpanContext":{"TraceID":"\([0-9a-f]*\)".*/\1/p' <<<"$line")
    [[ -n $id ]] || { echo "none"; return; }
    grep "\"SpanContext\":{\"TraceID\":\"$id\"" "$workdir"/*.trace |
        sed -n 's|.*/\([^/]*\)\.trace:{"Name":"\([^"]*\)".*|\2 in \1|p' | sort
}

# listeners KEY FILE... prints the values of a setting, separated by commas.
listeners() { sed -n "s/^$1 = //p" "${@:2}" | paste -sd, -; }

cd "$root"
print_heading "building"
go build -o bin/ ./cmd/...
cd "$workdir"

print_heading "starting control processes, entry nodes and searchers of $(basename "$example")"
entries=()
for file in "$example"/control-*.ini; do
    name=$(basename "$file" .ini)
    start "$name" "$bin/wigeon-control" --config "$file"
done
for file in "$example"/entry-*.ini; do
    name=$(basename "$file" .ini)
    entries+=("$name")
    start_entry "$name"
done
for file in "$example"/searchers-*.ini; do
    name=$(basename "$file" .ini)
    start "$name" "$bin/wigeon-searcher" --config "$file"
done
wait_for_entries "${#entries[@]}"
echo "${#pids[@]} processes run; ${#entries[@]} entry nodes are ready"

print_heading "applying the tickets"
for ticket in "$example"/ticket-*.ini; do ctl apply -f "$ticket" --wait; done
ctl get rule

if [[ ${1:-} == serve ]]; then
    print_heading "serving; callers: $(listeners callers "$example"/entry-*.ini)"
    echo "logs and traces are in $workdir; Ctrl-C ends all processes"
    while true; do
        check_running
        sleep 1
    done
fi

# Use two services of each group, or its only service.
catalogue=$(sed -n 's/^catalogue = //p' "$example"/searchers-*.ini | sed -n 1p)
services=()
while read -r name; do
    services+=(--service "$name=$catalogue")
done < <(sed -n 's/^\[service \(.*\)\]$/\1/p' "$example/ticket-1-services.ini" | grep -E -- '(-0[12]|[a-z])$')

print_heading "searching and submitting for $duration s; ${entries[0]} is restarted in the middle"
"$bin/wigeon-load" run \
    --entries "$(listeners callers "$example"/entry-*.ini)" \
    --targets "$(listeners listen "$example"/searchers-*.ini)" \
    "${services[@]}" --rate 12 --submit-rate 3 --duration "${duration}s" >"$workdir/load.out" 2>"$workdir/load.err" &
pids[load]=$!
load=${pids[load]}
sleep $((duration / 3))
restarted=${entries[0]}
kill -TERM "${pids[$restarted]}"
wait "${pids[$restarted]}" || fail "$restarted did not end well: $(tail -n 1 "$workdir/$restarted.log")"
unset 'pids[$restarted]'
echo "$restarted has finished its requests and ended"
start_entry "$restarted"
wait_for_entries "${#entries[@]}"
echo "$restarted is ready again"
code=0
wait "$load" || code=$?
unset 'pids[load]'
((code == 0)) || cat "$workdir/load.err" >&2

print_heading "state of the system"
ctl status | grep -E '^(control|entry)'
print_heading "how a search would be served now"
ctl explain "${services[1]%=*}" | sed -n 1,12p
print_heading "spans by hop"
count_spans
print_heading "the spans of one search"
show_trace
print_heading "results"
cat "$workdir/load.out"
exit "$code"
