#!/usr/bin/env bash
# Starts stand-ins and three routers as separate processes, sends chats and
# orders, kills one router, stops another gracefully in the middle of a stream,
# and checks what callers and workers saw. Ends every process that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly key=smoke-key
readonly wait_seconds=20
dir=$(mktemp -d)
pids=()

cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

fail() {
  printf 'smoke: %s\n' "$1" >&2
  local file
  for file in "$dir"/*.log; do printf -- '--- %s\n' "$file" >&2; tail -n 15 "$file" >&2; done
  exit 1
}

# poll WHAT COMMAND... repeats a command until it succeeds.
poll() {
  local what=$1 end=$((SECONDS + wait_seconds))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "$what did not happen within $wait_seconds s"
    sleep 0.05
  done
}

# start NAME COMMAND... runs a program in the background; its ID is in $started.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  started=$!
  pids+=("$started")
}

ask() { curl --silent --show-error --max-time "$wait_seconds" -H "Authorization: Bearer $key" "$@"; }

chat() { # chat URL ID [curl options]
  local url=$1 id=$2
  shift 2
  ask "$@" -N -H "X-Chat-Id: $id" -d '{"model":"copydesk","stream":true,"messages":[{"role":"user","content":"Hello"}]}' "$url/v1/chat/completions"
}

order() { # order URL KEY
  ask -X POST -H "Idempotency-Key: $2" -d "{\"order\":\"$2\"}" "$1/v1/services/print/orders"
}

go build -o "$dir/bin/" ./cmd/zf-router ./cmd/zf-standin

# Loopback addresses of this run's own, so that ports are free.
readonly net=127.$((64 + RANDOM % 64)).$((RANDOM % 256))
at() { printf 'http://%s.1:%d' "$net" "$((7100 + $1))"; }
readonly log_url=$(at 0) vms=$(at 1) engine1=$(at 10) engine2=$(at 11) worker=$(at 50)

hash=$(printf '%s' "$key" | sha256sum | cut -d' ' -f1)
cat >"$dir/config.toml" <<CONFIG
site = "trinidad"
[[members]]
name = "trinidad"
weight = 1.0
[[sites]]
name = "trinidad"
member = "trinidad"
[[data_centres]]
name = "pos-1"
region = "pos"
[[models]]
name = "copydesk"
[[services]]
name = "print"
order_methods = ["POST"]
[[accounts]]
name = "stores"
member = "trinidad"
weight = 1.0
key_hashes = ["$hash"]
[[targets]]
name = "engine-1"
data_centre = "pos-1"
url = "$engine1"
models = ["copydesk"]
slots = 8
cold_slots = 2
[[targets]]
name = "engine-2"
data_centre = "pos-1"
url = "$engine2"
models = ["copydesk"]
slots = 8
cold_slots = 2
[[targets]]
name = "print-1"
data_centre = "pos-1"
url = "$worker"
service = "print"
slots = 4
cold_slots = 4
CONFIG
start platform "$dir/bin/zf-standin" all --host "$net.1" --port 7100 --engines 2 --workers 1 \
  --engine-tokens 40 --engine-per-token 25ms --log-config "$dir/config.toml"
poll "the start of the platform" test -s "$dir/platform.out"

declare -A url id
for n in 1 2 3; do
  vm=vm$n caller=$net.1$n:7001 peer=$net.1$n:7002 admin=$net.1$n:7003
  cat >"$dir/$vm.toml" <<SETTINGS
[vm]
name = "$vm"
data_centre = "pos-1"
site = "trinidad"
[platform]
log_url = "$log_url"
vm_list_url = "$vms"
[caller]
listen = "$caller"
entry_lifetime = "1s"
[peer]
listen = "$peer"
[admin]
listen = "$admin"
[traces]
exporter = "stdout"
[process]
drain_limit = "20s"
SETTINGS
  "$dir/bin/zf-router" --check "$dir/$vm.toml" >/dev/null || fail "the settings of $vm are refused"
  curl --silent --fail -X PUT -d "{\"data_centre\":\"pos-1\",\"site\":\"trinidad\",\"peer_addr\":\"$peer\",\"caller_addr\":\"$caller\",\"admin_addr\":\"$admin\"}" "$vms/admin/vms/$vm"
  start "$vm" "$dir/bin/zf-router" "$dir/$vm.toml"
  id[$vm]=$started
  url[$vm]="http://$caller"
done
for vm in vm1 vm2 vm3; do poll "the readiness of $vm" curl --silent --fail "${url[$vm]}/readyz"; done

names() { ask "${url[$1]}/v1/entry?chat=c1&model=copydesk" | grep -o '"vm":"vm[0-9]"' | sort | tr -d '\n'; }
all_named() { [ "$(names vm1)" = '"vm":"vm1""vm":"vm2""vm":"vm3"' ]; }
poll "an entry lookup that names all routers" all_named

whole_chat() { chat "${url[$1]}" "$2" | tail -n 2 | grep -q '^data: \[DONE\]'; }
for vm in vm1 vm2 vm3; do poll "a whole chat by way of $vm" whole_chat "$vm" "chat-$vm"; done
printf 'chats: whole by way of each router\n'

[ "$(curl --silent -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer wrong' "${url[vm1]}/v1/models")" = 401 ] || fail "a wrong key was let in"

# A version 7 UUID is an idempotency key that carries its time.
new_key() {
  local ms rest
  ms=$(printf '%012x' "$(date +%s%3N)")
  rest=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
  printf '%s-%s-7%s-a%s-%s' "${ms:0:8}" "${ms:8:4}" "${rest:0:3}" "${rest:3:3}" "${rest:6:12}"
}
ran() { # how often the order of a key ran
  curl --silent --fail "$worker/admin/records" | grep -o "\"key\":\"$1\"" | wc -l
}
answered() { order "${url[$1]}" "$2" | grep -q '"echo"'; }
k=$(new_key)
poll "an answer to an order" answered vm1 "$k"
poll "the recorded answer by way of another router" answered vm2 "$k"
[ "$(ran "$k")" = 1 ] || fail "the order ran $(ran "$k") times"
printf 'orders: ran once\n'

kill -KILL "${id[vm3]}"
wait "${id[vm3]}" 2>/dev/null || true
poll "a whole chat after the loss of a router" whole_chat vm1 chat-lost
k=$(new_key)
poll "an answer to an order after the loss of a router" answered vm1 "$k"
[ "$(ran "$k")" = 1 ] || fail "the order after the loss ran $(ran "$k") times"
printf 'loss of a router: chats and orders go on\n'

chat "${url[vm2]}" chat-stop >"$dir/stop.sse" &
stream=$!
pids+=("$stream")
poll "the start of a stream" grep -q content "$dir/stop.sse"
kill -TERM "${id[vm2]}"
gone() { ! names vm1 | grep -q vm2; }
poll "lookups that do not name the leaving router" gone
wait "$stream" || fail "the stream through the leaving router broke off"
tail -n 2 "$dir/stop.sse" | grep -q '^data: \[DONE\]' || fail "the stream through the leaving router is not whole"
wait "${id[vm2]}" || fail "the leaving router ended with code $?"
printf 'graceful stop: stream whole, exit 0\n'

kill -TERM "${id[vm1]}"
wait "${id[vm1]}" || fail "the last router ended with code $?"
# The routers' spans, one a line as trace and name.
spans() {
  cat "$dir"/vm[12].out | sed 's/^{"Name":"\([^"]*\)","SpanContext":{"TraceID":"\([^"]*\)".*/\2 \1/'
}
whole_traces() { # traces that hold a span for each hop
  spans | sort -u | awk '$2 ~ /^(caller|entry|owner|target)$/ { n[$1]++ } END { for (t in n) if (n[t] == 4) c++; print c + 0 }'
}
[ "$(whole_traces)" -gt 0 ] || fail "no trace has a span for each hop"
printf 'traces: a span for each hop\n'
printf 'smoke test passed\n'
