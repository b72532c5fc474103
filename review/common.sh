# Functions that the scripts of the cases share: they run a small deployment on
# loopback addresses and end it again. To be sourced from a case's run.sh.
#
# The settings are those of deploy/gateway.json, filled with the figures of the
# site tbl-harecrank: three entry hosts in three zones. The configuration and the
# entries of the servers are written as the users' pages show them.

set -uo pipefail

case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
standins=$root/target/review/standins
record=$case_folder/record.txt
trouble=${TROUBLE:-1}
key=n2ctnfzs989anu6wsjnb
# Derived from the process id, so that runs beside each other do not meet.
net=127.$((120 + $$ / 256 % 100)).$(($$ % 256))
store=$net.1:8200
zones=(valenzuela pasig cavite)
gateways=()
pids=()
declare -A server_pids

cannot_run() {
  echo "the case could not run: $1" >&2
  exit 2
}

# The monotonic clock in milliseconds, as in the lines of the other processes.
now() { awk '{ printf "%d", $1 * 1000 }' /proc/uptime; }

note() { echo "$(now) script $1" >>"$record"; }

clean_up() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}

begin() {
  cd "$root" || cannot_run "no folder of the project"
  for program in target/harecrank "$standins"; do
    [ -x "$program" ] || cannot_run "$program is not built"
  done
  work=$(mktemp -d)
  trap clean_up EXIT
  : >"$record"
  "$standins" store --address "$store" >"$work/store.log" 2>&1 &
  pids+=($!)
  await "$standins" item --store "$store" --key started ||
    cannot_run "the store does not answer"
}

# Waits up to 10 s until a command succeeds.
await() {
  for _ in $(seq 100); do
    "$@" >/dev/null 2>&1 </dev/null && return 0
    sleep 0.1
  done
  return 1
}

put() { "$standins" item --store "$store" --key "$1" || cannot_run "no store"; }

remove() {
  "$standins" item --store "$store" --key "$1" --remove || cannot_run "no store"
}

# put_entry ID SERVICE ADDRESS STATE SEQUENCE
put_entry() {
  local zone=${zones[$((${3##*:} % 3))]}
  put "servers/$1" <<EOF
{"service":"$2","address":"$3","zone":"$zone","version":"v1","slots":16,
 "state":"$4","cold_remaining_ms":0,"stage":"both",
 "models":[{"name":"m","version":1,"adapters":[]}],"sequence":$5}
EOF
}

# start_server ID SERVICE PORT [OPTION...] starts a server and publishes it.
start_server() {
  local id=$1 service=$2 address=$net.1:$3
  "$standins" server --id "$id" --address "$address" --record "$record" \
    "${@:4}" >"$work/$id.log" 2>&1 &
  pids+=($!)
  server_pids[$id]=$!
  await grep -q " $id listens" "$record" || cannot_run "$id does not start"
  put_entry "$id" "$service" "$address" ready 1
}

# The services of the configuration: "app" answers plainly, "llm" by streams.
configure() {
  put op/config <<EOF
{"version":7,
 "routes":[
  {"name":"r-plain","host":"a.example","path_prefix":"/plain/","kind":"safe",
   "timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app",
   "max_attempts":2,"public":false,"sticky":false,"resumable":false},
  {"name":"r-once","host":"a.example","path_prefix":"/once/","kind":"unsafe",
   "timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"app",
   "max_attempts":1,"public":false,"sticky":false,"resumable":false},
  {"name":"r-stream","host":"a.example","path_prefix":"/stream/",
   "kind":"streaming","timeout_ms":10000,"target_latency_ms":300,"priority":1,
   "service":"llm","max_attempts":2,"public":false,"sticky":true,
   "resumable":true,"gap_aim_ms":250}],
 "services":[
  {"name":"llm","health_path":"/healthz","max_connections":424,
   "protocol":"h1","tls":false,
   "engine":{"slots":16,"kv_capacity":315000,"kv_token_bytes":163840,
    "link_mbps":400000.0,"stride":51,"models":[{"name":"m"}],"step_ms":0.85,
    "per_seq_ms":0.00425,"context_per_k":0.00285,"read_per_s":177000.0,
    "pairs_per_m":0.184,"chunk":2048,"report_lag_ms":200.0,"loads_per_s":0.0,
    "loads_at_once":8,"delays":[],"usual":{"prompt":11112,"answer":1622},
    "hop_ms":0.05}},
  {"name":"app","health_path":"/healthz","max_connections":96,
   "protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"hule930","api_keys":["$key"]}]}
EOF
}

start_gateways() {
  local i ip
  for i in 0 1 2; do
    ip=$net.$((10 + i))
    gateways+=("$ip:8227")
    cat >"$work/edge-$i.json" <<EOF
{"node_id":"edge-${zones[$i]}-1","data_centre":"${zones[$i]}",
 "callers_address":"$ip:8227","readiness_address":"$ip:8220",
 "operations_address":"$ip:8229","peers_address":"$ip:7340",
 "directory_service":"$store",
 "seed_peers":["$net.10:8229","$net.11:8229","$net.12:8229"],
 "regions":{"valenzuela":"luzon","pasig":"luzon","cavite":"luzon"},
 "first_start":true,"repeat_ratio":0.2,"repeat_allowance":100,
 "repeat_window_s":10,"stop_limit_s":8,"leave_limit_ms":2000,"power":0.19,
 "memory_mb":260,"descriptors":4200}
EOF
    target/harecrank gateway --settings "$work/edge-$i.json" \
      >"$work/edge-$i.log" 2>&1 &
    pids+=($!)
  done
  for i in 0 1 2; do
    await is_ready "$net.$((10 + i))" || cannot_run "a gateway is not ready"
  done
}

is_ready() {
  local line
  exec 9<>"/dev/tcp/$1/8220" || return 1
  printf 'GET /harecrank/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' >&9
  read -r line <&9
  exec 9>&-
  [[ $line == *" 200 "* ]]
}

# count TEXT prints the number of lines of the record that hold TEXT.
count() { grep -c -- "$1" "$record"; }

# finish FILE NUMBER ends the case. The rule was broken if FILE, which has the
# lines that show it, is not empty. The case could not run if fewer answers than
# NUMBER were whole.
finish() {
  local whole
  whole=$(count "complete, body whole")
  echo "whole answers: $whole, broken: $(wc -l <"$1")"
  head -n 5 "$1"
  [ "$whole" -ge "$2" ] || cannot_run "only $whole answers were whole"
  [ -s "$1" ] && exit 1
  exit 0
}
