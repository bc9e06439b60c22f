# shellcheck shell=bash
# Functions that run a fleet on this machine: the stand-ins that a document
# names and the VMs of its data centres.  Sourced by tools/demo and
# tools/process-tests; needs bash.
#
#   fleet_setup                        a folder, and the end of all on exit
#   fleet_start examples/kvistgaard.ini 2
#   fleet_apply                        the document in force on every VM
#   fleet_signal VM KILL                 a signal, by process id
#   fleet_teardown
#
# Every process is known by its name in fleet_pid and ended by its id.
# FLEET_KEEP=1 keeps the folder.

fleet_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
fleet_bin=$fleet_root/build
fleet_timeout_s=${FLEET_WAIT_S:-30}
fleet_retry_interval_s=0.05
declare -A fleet_pid fleet_address fleet_data_centre
fleet_vms=()
fleet_upstreams=()
fleet_dir=

fleet_setup ()
{
  [ -z "$fleet_dir" ] || fleet_teardown
  fleet_dir=$(mktemp -d "${TMPDIR:-/tmp}/rattanspindle.XXXXXX")
  fleet_port=$((20000 + BASHPID * 37 % 10000))
  fleet_vms=() fleet_upstreams=()
  fleet_pid=() fleet_address=() fleet_data_centre=()
  trap fleet_teardown EXIT
  trap 'exit 130' INT TERM
}

# Signal NAME's process; the id is kept until fleet_wait_exit.
fleet_signal ()
{
  kill -s "$2" "${fleet_pid[$1]}"
}

# Wait for NAME's process to end; its exit status is the result.
fleet_wait_exit ()
{
  local status=0
  wait "${fleet_pid[$1]}" 2>/dev/null || status=$?
  unset "fleet_pid[$1]"
  return "$status"
}

fleet_teardown ()
{
  local name
  for name in "${!fleet_pid[@]}"; do
    kill -s CONT "${fleet_pid[$name]}" 2>/dev/null
    kill -s KILL "${fleet_pid[$name]}" 2>/dev/null
  done
  for name in "${!fleet_pid[@]}"; do
    fleet_wait_exit "$name"
  done
  if [ -n "$fleet_dir" ] && [ "${FLEET_KEEP:-0}" = 0 ]; then
    rm -rf "$fleet_dir"
  fi
  fleet_dir=
}

# Run COMMAND until it succeeds; false after fleet_timeout_s seconds.
fleet_until ()
{
  local end=$((SECONDS + fleet_timeout_s))
  while ! "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep "$fleet_retry_interval_s"
  done
}

# Set REPLY to a port that nothing listens on.
fleet_pick_port ()
{
  while :; do
    fleet_port=$((fleet_port + 1))
    (exec 3<>"/dev/tcp/127.0.0.1/$fleet_port") 2>/dev/null || break
  done
  REPLY=$fleet_port
}

# Start stand-in NAME with its ARGUMENTS; its address goes to fleet_address.
fleet_start_standin ()
{
  local name=$1
  shift
  "$fleet_bin/standin" "$@" --port 0 --record "$fleet_dir/$name.received" \
    >"$fleet_dir/$name.log" 2>&1 &
  fleet_pid[$name]=$!
  fleet_until grep -qs '^listening on ' "$fleet_dir/$name.log" || return 1
  fleet_address[$name]=$(sed -n 's/^listening on //p' "$fleet_dir/$name.log")
}

# Value of KEY in SECTION of the document FILE.
fleet_ini_value ()
{
  sed -n "/^\\[$2\\]\$/,/^\$/s/^$3 *= *//p" "$1"
}

fleet_ini_sections ()
{
  sed -n "s/^\\[$2 \\(.*\\)\\]\$/\\1/p" "$1"
}

# The document with the addresses of this run: $fleet_dir/document.ini.
fleet_start_upstreams ()
{
  local doc=$1 name document_address kind
  cp "$doc" "$fleet_dir/document.ini"
  for name in $(fleet_ini_sections "$doc" upstream); do
    document_address=$(fleet_ini_value "$doc" "upstream $name" address)
    kind=$(fleet_ini_value "$doc" \
      "deployment $(fleet_ini_value "$doc" "upstream $name" deployment)" kind)
    if [ "$kind" = engine ]; then
      fleet_start_standin "$name" engine --name "$name" --slots 8 \
        --token-ms 5 --report-lag-ms 100 || return 1
    else
      fleet_start_standin "$name" plain --name "$name" || return 1
    fi
    fleet_upstreams+=("$name")
    sed -i \
      "s/^address = $document_address\$/address = ${fleet_address[$name]}/" \
      "$fleet_dir/document.ini"
  done
}

# Write VM NAME's settings.
fleet_write_settings ()
{
  cat >"$fleet_dir/$1.ini" <<END
[vm]
name = $1
data_centre = ${fleet_data_centre[$1]}
listen = ${fleet_address[$1]}
peer_listen = $2
secret_file = $fleet_dir/secret
operator_token_file = $fleet_dir/token

[platform]
address = ${fleet_address[platform]}

[log]
level = info
format = text
END
}

# Start VM NAME, which has settings, and wait until it answers.
fleet_start_vm ()
{
  "$fleet_bin/rattanspindle" serve --settings "$fleet_dir/$1.ini" \
    >>"$fleet_dir/$1.log" 2>&1 &
  fleet_pid[$1]=$!
  fleet_until fleet_vm_responds "$1"
}

fleet_vm_responds ()
{
  kill -0 "${fleet_pid[$1]}" || return 0
  curl -s -m 2 -o "$fleet_dir/$1.metrics" \
    "http://${fleet_address[$1]}/metrics"
}

# Start the platform, the upstreams of DOC and PER_CENTRE VMs in each of its
# data centres.
fleet_start ()
{
  local doc=$1 vms_per_data_centre=$2 data_centre i vm
  local -a vm_arguments=()
  local -A peer
  printf 'secret-of-this-run-%s\n' "$RANDOM$RANDOM$RANDOM" >"$fleet_dir/secret"
  printf 'operator-token-of-this-run-%s\n' "$RANDOM$RANDOM" >"$fleet_dir/token"
  for data_centre in $(fleet_ini_sections "$doc" data-centre); do
    for ((i = 1; i <= vms_per_data_centre; i++)); do
      vm=$data_centre-$i
      fleet_vms+=("$vm")
      fleet_data_centre[$vm]=$data_centre
      fleet_pick_port
      fleet_address[$vm]=127.0.0.1:$REPLY
      fleet_pick_port
      peer[$vm]=127.0.0.1:$REPLY
      vm_arguments+=(--vm "$vm,$data_centre,${peer[$vm]}")
    done
  done
  fleet_start_standin platform platform "${vm_arguments[@]}" || return 1
  fleet_start_upstreams "$doc" || return 1
  for vm in "${fleet_vms[@]}"; do
    fleet_write_settings "$vm" "${peer[$vm]}"
    fleet_start_vm "$vm" || return 1
  done
}

# Call VM: fleet_curl VM PATH [CURL-ARGUMENT...].
fleet_curl ()
{
  local vm=$1 path=$2
  shift 2
  curl -s -m "$fleet_timeout_s" "$@" "http://${fleet_address[$vm]}$path"
}

# Order a stand-in to misbehave: fleet_control NAME JSON.
fleet_control ()
{
  curl -s -m 5 -o /dev/null -d "$2" "http://${fleet_address[$1]}/control"
}

fleet_counts ()
{
  curl -s -m 5 "http://${fleet_address[$1]}/counts"
}

fleet_vm_is_ready ()
{
  [ "$(fleet_curl "$1" /readyz -m 3 -o /dev/null -w '%{http_code}')" \
    = 200 ]
}

# Put the document in force and wait until every VM serves by it.
fleet_apply ()
{
  local vm
  fleet_until fleet_apply_once || return 1
  for vm in "${fleet_vms[@]}"; do
    fleet_until fleet_vm_is_ready "$vm" || return 1
  done
}

# Addresses of the VMs that run, for --vm.
fleet_vm_addresses ()
{
  local vm
  local -a addresses=()
  for vm in "${fleet_vms[@]}"; do
    [ -z "${fleet_pid[$vm]:-}" ] || addresses+=("${fleet_address[$vm]}")
  done
  (IFS=, && echo "${addresses[*]}")
}

# An operator's command: fleet_command config apply FILE.
fleet_command ()
{
  "$fleet_bin/rattanspindle" "$@" --vm "$(fleet_vm_addresses)" \
    --token-file "$fleet_dir/token"
}

fleet_apply_once ()
{
  fleet_command config apply "$fleet_dir/document.ini" \
    >"$fleet_dir/apply.output" 2>&1
}

fleet_vm_admits ()
{
  [ "$(fleet_curl "$1" /v1/completions -o "$fleet_dir/admit.response" \
    -H "Authorization: Bearer demo-key-$2" -w '%{http_code}' \
    -d '{"prompt":"first","max_tokens":1}')" = 200 ]
}

# Wait until every VM has got rights to admit these customers' requests.
fleet_wait_admitted ()
{
  local vm customer
  for customer in "$@"; do
    for vm in "${fleet_vms[@]}"; do
      fleet_until fleet_vm_admits "$vm" "$customer" || return 1
    done
  done
}

# First 16 digits of TEXT's SHA-256, as an engine's answer quotes it.
fleet_prompt_digest ()
{
  local digest
  digest=$(printf '%s' "$1" | sha256sum)
  echo "${digest:0:16}"
}

# How often stand-ins of kind plain have run calls with Idempotency-Key KEY.
fleet_execution_count ()
{
  local name n total=0
  for name in "${fleet_upstreams[@]}"; do
    n=$(fleet_counts "$name" | grep -o "\"$1\": *[0-9]*" | head -n 1)
    n=${n##*[: ]}
    total=$((total + ${n:-0}))
  done
  echo "$total"
}
