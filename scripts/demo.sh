#!/usr/bin/env bash
# Runs an example on loopback, that of Chapecó unless DEMO_EXAMPLE=saryarka: one
# control process for each data centre, the entry nodes, and stand-in searchers. It applies the
# tickets, sends searches and submits, restarts an entry node in the middle and
# ends with one JSON line. It needs Go and bash alone. With the argument "serve"
# it sends nothing and serves until Ctrl-C.
#
# Exit code: 0 when no answer mixed snapshots, no submit ran twice and nothing
# was lost; else that of the step that failed.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
example=$root/examples/${DEMO_EXAMPLE:-chapeco}
bin=$root/bin
folder=$(mktemp -d "${TMPDIR:-/tmp}/wigeonbay-demo.XXXXXX")
duration=${DEMO_DURATION:-12}
ready_within=20
stop_within=15

declare -A pids=()

# stop_all ends every process that this script started, by its id.
stop_all() {
    local code=$? pid deadline=$((SECONDS + stop_within))
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    case $code in
    0 | 130 | 143) rm -rf "$folder" ;;
    *) echo "demo: failed; logs are in $folder" >&2 ;;
    esac
    exit "$code"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

say() { printf '\n== %s\n' "$*"; }
fail() { echo "demo: $*" >&2; exit 1; }
ctl() { "$bin/wigeonctl" --config "$example/wigeonctl.ini" "$@"; }

# start NAME COMMAND... runs a process in the background, its log in NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$folder/$name.log" 2>&1 &
    pids[$name]=$!
}

start_entry() { start "$1" "$bin/wigeon-entry" --config "$example/$1.ini"; }

# ready_entries prints how many entry nodes say that they are ready.
ready_entries() {
    { ctl --output json --timeout 1s status 2>/dev/null || true; } | { grep -o '"ready":true' || true; } | wc -l
}

# await_entries COUNT polls until that many entry nodes are ready.
await_entries() {
    local deadline=$((SECONDS + ready_within))
    while (($(ready_entries) < $1)); do
        check_running
        ((SECONDS < deadline)) || fail "entry nodes are not ready after $ready_within s"
        sleep 0.2
    done
}

check_running() {
    local name
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended: $(tail -n 1 "$folder/$name.log")"
    done
}

# count_spans prints how often each kind of span was written.
count_spans() {
    local traces
    traces=$(find "$folder" -name '*.trace')
    [[ -n $traces ]] || { echo "none"; return; }
    # shellcheck disable=SC2086 # one word a file; the names have no spaces
    { grep -oh '^{"Name":"[^"]*"' $traces || true; } | cut -d'"' -f4 | sort | uniq -c | sort -rn
}

# show_trace prints the spans of one search with the process that wrote each.
show_trace() {
    local line id
    line=$(grep -h '^{"Name":"entry.shard_request"' "$folder"/entry-*.trace | tail -n 1)
    id=$(sed -n 's/.*"SpanContext":{"TraceID":"\([0-9a-f]*\)".*/\1/p' <<<"$line")
    [[ -n $id ]] || { echo "none"; return; }
    grep "\"SpanContext\":{\"TraceID\":\"$id\"" "$folder"/*.trace |
        sed -n 's|.*/\([^/]*\)\.trace:{"Name":"\([^"]*\)".*|\2 in \1|p' | sort
}

listeners() { sed -n "s/^$1 = //p" "${@:2}" | paste -sd, -; }

cd "$root"
say "building"
go build -o bin/ ./cmd/...
cd "$folder"

say "starting control processes, entry nodes and searchers of $(basename "$example")"
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
await_entries "${#entries[@]}"
echo "${#pids[@]} processes run; ${#entries[@]} entry nodes are ready"

say "applying the tickets"
for ticket in "$example"/ticket-*.ini; do ctl apply -f "$ticket" --wait; done
ctl get rule

if [[ ${1:-} == serve ]]; then
    say "serving; callers: $(listeners callers "$example"/entry-*.ini)"
    echo "logs and traces are in $folder; Ctrl-C ends all processes"
    while true; do
        check_running
        sleep 1
    done
fi

# Two services of each kind, or the only one.
catalogue=$(sed -n 's/^catalogue = //p' "$example"/searchers-*.ini | sed -n 1p)
services=()
while read -r name; do
    services+=(--service "$name=$catalogue")
done < <(sed -n 's/^\[service \(.*\)\]$/\1/p' "$example/ticket-1-services.ini" | grep -E -- '(-0[12]|[a-z])$')

say "searching and submitting for $duration s; ${entries[0]} is restarted in the middle"
"$bin/wigeon-load" run \
    --entries "$(listeners callers "$example"/entry-*.ini)" \
    --targets "$(listeners listen "$example"/searchers-*.ini)" \
    "${services[@]}" --rate 12 --submit-rate 3 --duration "${duration}s" >"$folder/load.out" 2>"$folder/load.err" &
pids[load]=$!
load=${pids[load]}
sleep $((duration / 3))
restarted=${entries[0]}
kill -TERM "${pids[$restarted]}"
wait "${pids[$restarted]}" || fail "$restarted did not end well: $(tail -n 1 "$folder/$restarted.log")"
unset 'pids[$restarted]'
echo "$restarted has finished its requests and ended"
start_entry "$restarted"
await_entries "${#entries[@]}"
echo "$restarted is ready again"
code=0
wait "$load" || code=$?
unset 'pids[load]'
((code == 0)) || cat "$folder/load.err" >&2

say "state of the system"
ctl status | grep -E '^(control|entry)'
say "how a search would be served now"
ctl explain "${services[1]%=*}" | sed -n 1,12p
say "spans by hop"
count_spans
say "the spans of one search"
show_trace
say "results"
cat "$folder/load.out"
exit "$code"
