# Functions of the review's scripts: a small deployment on loopback addresses. Sourced by run.sh.
#
# The forwarding instances are the program of the deploy file, started with the command line and the
# environment variable that the deploy file and the pages name, with settings in the form of
# deploy/instance.toml.template. The store, the engines and the services are the project's stand-ins.

set -uo pipefail
trap '' PIPE

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
case_folder=$(cd "$(dirname "$0")" && pwd)
record=$case_folder/record.txt
work=$(mktemp -d)
started=()
declare -A pid_of port_of
# Each run.sh sets trouble from TROUBLE before it sources this file.
: "${trouble:?}"
host=shop.example
# The smallest memory of a machine of strengvegur-taug (SYSTEM.md).
memory_limit_mb=520
: > "$record"
: > "$work/unanswered"

now() { printf '%s' "$EPOCHREALTIME"; }

# Writes a line to the record, with the seconds since the script began.
note() {
  printf '%8.3f %s\n' "$(awk "BEGIN { print $(now) - $began }")" "$*" >> "$record"
}

began=$(now)

clean_up() {
  local pid
  for pid in "${started[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
  for pid in $(jobs -p); do kill -KILL "$pid" 2> /dev/null; done
  wait 2> /dev/null
  rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 2' TERM INT

# Ends the script because the case could not run.
give_up() {
  note "could not run: $*"
  echo "could not run: $*" >&2
  exit 2
}

wait_for_text() { # file, text
  local _
  for _ in $(seq 500); do
    grep -q "$2" "$1" 2> /dev/null && return 0
    sleep 0.02
  done
  return 1
}

start_standin() { # name, program, flags...
  local name=$1 program=$root/build-review/standins/$2
  shift 2
  [ -x "$program" ] || give_up "$program is missing; run review/build.sh"
  "$program" --name "$name" --ledger "$work/ledger" "$@" > "$work/$name.log" 2> "$work/$name.err" &
  pid_of[$name]=$!
  started+=($!)
  disown $!
  wait_for_text "$work/$name.log" '"ready":true' || give_up "$name did not start"
  port_of[$name]=$(sed -n 's/.*"http":\([0-9]*\).*/\1/p' "$work/$name.log" | head -1)
  note "started $name ($*)"
}

start_store() { start_standin store standin_site_store; }

start_service() { # name, flags...
  local name=$1
  shift
  start_standin "$name" standin_site_endpoint --store "127.0.0.1:${port_of[store]}" "$@"
}

# Seconds that the platform gives an instance between SIGTERM and SIGKILL (grace-s).
grace_s=8

start_instance() { # name, failure domain
  local name=$1 seeds=
  [ -x "$root/target/corneltally" ] || give_up "target/corneltally is missing; run the deploy file's build"
  [ -n "${port_of[seed]:-}" ] && seeds="seeds = \"127.0.0.1:${port_of[seed]}\""
  cat > "$work/$name.toml" << SETTINGS
[instance]
name = "$name"
failure_domain = "$2"
machine = "$name"

[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"

[store]
address = "127.0.0.1:${port_of[store]}"
$seeds

[limits]
stop_ms = ${grace_s}000
holder_pause_ms = 3000

[retries]
ratio = 0.2
window_ms = 10000
slack = 56
SETTINGS
  (cd "$root" && exec env CORNELTALLY_BOOT="$work/$name.toml" target/corneltally forward) \
    > "$work/$name.log" 2> "$work/$name.err" &
  pid_of[$name]=$!
  started+=($!)
  disown $!
  wait_for_text "$work/$name.log" '"event":"started"' || give_up "$name did not start"
  local line
  line=$(grep -m1 '"event":"started"' "$work/$name.log")
  port_of[$name]=$(sed -n 's/.*"callers":\([0-9]*\).*/\1/p' <<< "$line")
  port_of[$name.ready]=$(sed -n 's/.*"operators":\([0-9]*\).*/\1/p' <<< "$line")
  port_of[seed]=${port_of[seed]:-$(sed -n 's/.*"peers":\([0-9]*\).*/\1/p' <<< "$line")}
  note "started $name in $2, pid ${pid_of[$name]}"
}

# Sends a request without reading ahead and prints the status of the answer; 0 if there is none.
status_of() { # port, method, path, body
  local fd line
  exec {fd}<> "/dev/tcp/127.0.0.1/$1" || { echo 0; return; }
  printf '%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' \
    "$2" "$3" "${#4}" "$4" >&"$fd"
  IFS= read -r -t 2 line <&"$fd" || line=
  exec {fd}>&-
  line=${line#* }
  echo "${line%% *}"
}

is_ready() { [ "$(status_of "${port_of[$1.ready]}" GET /-/ready '' 2> /dev/null)" = 200 ]; }

wait_ready() { # instance
  local _
  for _ in $(seq 500); do
    is_ready "$1" && return 0
    sleep 0.02
  done
  give_up "$1 is not ready"
}

# Puts a configuration with three routes: idempotent (look), non_idempotent (order) and streaming
# (chat) requests.
publish() { # timeout-ms of the routes, and of the streaming one if it differs
  local common='"host":"'$host'","max-attempts":2,"target-latency-ms":300,"gap-aim-ms":300,"priority":1'
  local value='{"version":7,"routes":[
    {"name":"look","path-prefix":"/look/","kind":"idempotent","service":"app",
      "timeout-ms":'$1','$common'},
    {"name":"order","path-prefix":"/order/","kind":"non_idempotent","service":"app",
      "timeout-ms":'$1','$common'},
    {"name":"chat","path-prefix":"/chat/","kind":"streaming","service":"models",
      "timeout-ms":'${2:-$1}','$common'}],
    "services":[{"name":"app"},{"name":"models","engine":{"capacity":64,"kv-capacity":242992,
      "weights-mb":66500,"adapter-slots":'${adapter_slots:-9}',"models":[{"name":"base","weights-mb":65100,
      "adapters":3000,"adapter-mb":12}]}}],
    "tenants":[{"name":"harbour","api-keys":["key-harbour"]},
      {"name":"island","api-keys":["key-island"]}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
      "idle-timeout-ms":15000}}'
  [ "$(status_of "${port_of[store]}" POST /control/put \
    '{"topic":"keyed.op","key":"config","value":'"$value"'}')" = 200 ] || give_up "no configuration"
  note "published the configuration, timeout-ms $1"
}

# Head of a request of a client. Bodies follow with their length.
request_head() { # path, id, key, deadline in ms, length of the body, further lines
  printf 'POST %s HTTP/1.1\r\nHost: %s\r\nX-Corneltally-Request-Id: %s\r\nAuthorization: Token %s\r\nX-Corneltally-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n' \
    "$1" "$host" "$2" "$3" "$4" "${6:-}" "$5"
}

# Reads an answer and sets answer_status (empty if the connection ended before a status line) and
# answer_whole (1 if the answer is complete).
read_answer() { # file descriptor, seconds
  read_answer_from "$@" 2> /dev/null
}

read_answer_from() {
  local fd=$1 limit=$2 line length='' chunked='' chunk
  answer_status='' answer_whole=0
  IFS= read -r -t "$limit" line <&"$fd" || return 1
  line=${line#* }
  answer_status=${line%% *}
  while IFS= read -r -t "$limit" line <&"$fd"; do
    line=${line%$'\r'}
    [ -z "$line" ] && break
    case ${line,,} in
      content-length:*) length=${line#*: } ;;
      transfer-encoding:*) chunked=1 ;;
    esac
  done
  if [ -n "$chunked" ]; then
    while IFS= read -r -t "$limit" line <&"$fd"; do
      line=${line%$'\r'}
      chunk=$((16#$line + 2))
      LC_ALL=C IFS= read -r -t "$limit" -N "$chunk" line <&"$fd" || return 1
      [ "$chunk" = 2 ] && { answer_whole=1; return 0; }
    done
    return 1
  fi
  if [ "${length:-0}" -gt 0 ]; then
    LC_ALL=C IFS= read -r -t "$limit" -N "$length" line <&"$fd" || return 1
  fi
  answer_whole=1
}

# Whether an engine ran the request with this id, by the engines' own record.
has_run() { grep -q '"kind":"run",.*"request":"'"$1"'"' "$work/ledger" 2> /dev/null; }

# One client that places one order after the other on one connection until run_s seconds have passed.
place_orders() { # number
  local id fd answered=0 count=0 body
  body=$(printf '%600s' x)
  exec {fd}<> "/dev/tcp/127.0.0.1/${port_of[edge-1]}" || return
  while [ "$SECONDS" -lt "$run_s" ]; do
    count=$((count + 1))
    id=$(printf 'c%x%06x' "$1" "$count")
    request_head /order/1 "$id" key-harbour 3000 "${#body}" >&"$fd" || break
    printf '%s' "$body" >&"$fd"
    note "client $1 sent order $id"
    if read_answer "$fd" 5; then
      answered=$((answered + 1))
      note "client $1 got $answer_status for order $id"
      continue
    fi
    note "client $1: the connection ended without an answer to order $id, after $answered answers on it"
    [ "$answered" -gt 0 ] && echo "$id" >> "$work/unanswered"
    break
  done
}

# The platform: "A process that exceeds memory-mb is killed."
guard_memory() {
  local peak=0 kilobytes _
  while read -r _ kilobytes _ < <(grep VmRSS "/proc/${pid_of[edge-1]}/status" 2> /dev/null); do
    [ "$kilobytes" -gt "$peak" ] && peak=$kilobytes && echo "$peak" > "$work/peak"
    if [ "$kilobytes" -gt $((memory_limit_mb * 1024)) ]; then
      note "the platform kills edge-1: $((kilobytes / 1024)) MB resident, memory-mb $memory_limit_mb"
      kill -KILL "${pid_of[edge-1]}"
      return
    fi
    sleep 0.02
  done
}

# Ends the script with the check of LOST over the orders of place_orders: "At any time, a machine in
# touch passes a request from a kept connection on to a sound engine and closes that connection without
# an answer, more than three times."
check_orders() {
  local id lost=0
  while read -r id; do
    if has_run "$id"; then
      lost=$((lost + 1))
      note "order $id ran at an engine and was never answered"
    fi
  done < "$work/unanswered"
  note "peak memory of edge-1: $(($(cat "$work/peak") / 1024)) MB"
  if [ "$lost" -gt 3 ]; then
    verdict 1 "LOST: $lost orders from kept connections were passed on and their connections closed unanswered"
  fi
  verdict 0 "$lost orders from kept connections were left unanswered"
}

# Ends the script: 1 if the rule was broken, 0 if it held.
verdict() { # 1 or 0, what was seen
  note "verdict: $([ "$1" = 1 ] && echo broken || echo held): $2"
  echo "$([ "$1" = 1 ] && echo broken || echo held): $2"
  exit "$1"
}
