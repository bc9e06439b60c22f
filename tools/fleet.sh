# shellcheck shell=bash
# Runs a fleet as processes of this machine: the VMs of the data centres in a
# configuration document, a stand-in for the platform and one for each
# upstream.  tools/demo and tools/process-tests source this file; it needs bash
# and curl.
#
#   fleet_setup                             create the working directory
#   fleet_start examples/kvistgaard.ini 2   two VMs in each data centre
#   fleet_apply                             apply the document to every VM
#   fleet_signal VM KILL                    send SIGKILL to a VM's process
#   fleet_teardown                          kill all processes, remove the
#                                           directory; also runs on exit
#
# Each process has a name (a VM's, an upstream's, "platform", or one that the
# caller chooses), which is its key in fleet_pid.  Processes are killed by
# their ids, and only those in fleet_pid.
#
# FLEET_KEEP=1 keeps the working directory.  FLEET_WAIT_S is the time-out of
# fleet_until and fleet_curl in seconds (30).

fleet_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
fleet_bin=$fleet_root/build
fleet_timeout_s=${FLEET_WAIT_S:-30}
fleet_retry_interval_s=0.05 # pause between the attempts of fleet_until
# By name: process id, HOST:PORT, and a VM's data centre.
declare -A fleet_pid fleet_address fleet_data_centre
fleet_vms=()       # names, in the order of the document
fleet_upstreams=() # names
fleet_dir=         # working directory: settings, logs, responses

# Create the working directory and have fleet_teardown run on exit.  Ports are
# tried from one that depends on the process id, so that fleets in parallel
# seldom compete for a port.
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

# fleet_signal NAME SIGNAL.  The id stays in fleet_pid until fleet_wait_exit.
fleet_signal ()
{
  kill -s "$2" "${fleet_pid[$1]}"
}

# fleet_wait_exit NAME: wait for the process to end; return its exit status.
fleet_wait_exit ()
{
  local status=0
  wait "${fleet_pid[$1]}" 2>/dev/null || status=$?
  unset "fleet_pid[$1]"
  return "$status"
}

# Kill all processes of the fleet and remove the working directory.
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

# fleet_until COMMAND [ARGUMENT...]: repeat COMMAND until it succeeds; false
# after fleet_timeout_s.
fleet_until ()
{
  local end=$((SECONDS + fleet_timeout_s))
  while ! "$@"; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep "$fleet_retry_interval_s"
  done
}

# Set REPLY to a port of 127.0.0.1 on which no process listens.
fleet_pick_port ()
{
  while :; do
    fleet_port=$((fleet_port + 1))
    (exec 3<>"/dev/tcp/127.0.0.1/$fleet_port") 2>/dev/null || break
  done
  REPLY=$fleet_port
}

# fleet_start_standin NAME KIND [OPTION...]: start a stand-in and wait until it
# listens.  $fleet_dir/NAME.received records the requests that it receives.
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

# fleet_ini_value FILE SECTION KEY: print the value of KEY.  An empty line must
# end the section.
fleet_ini_value ()
{
  sed -n "/^\\[$2\\]\$/,/^\$/s/^$3 *= *//p" "$1"
}

# fleet_ini_sections FILE TYPE: print the NAME of every section [TYPE NAME].
fleet_ini_sections ()
{
  sed -n "s/^\\[$2 \\(.*\\)\\]\$/\\1/p" "$1"
}

# Start a stand-in for each upstream of DOC.  $fleet_dir/document.ini becomes a
# copy of DOC with the addresses on which the stand-ins listen.
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

# fleet_write_settings VM PEER-ADDRESS: write the settings file of VM.
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

# fleet_start_vm VM: start a VM whose settings file exists, and wait until it
# responds.
fleet_start_vm ()
{
  "$fleet_bin/rattanspindle" serve --settings "$fleet_dir/$1.ini" \
    >>"$fleet_dir/$1.log" 2>&1 &
  fleet_pid[$1]=$!
  fleet_until fleet_vm_responds "$1"
}

# VM serves /metrics.  Also true if its process has ended, so that
# fleet_start_vm does not wait for the time-out.
fleet_vm_responds ()
{
  kill -0 "${fleet_pid[$1]}" || return 0
  curl -s -m 2 -o "$fleet_dir/$1.metrics" \
    "http://${fleet_address[$1]}/metrics"
}

# fleet_start DOC NUMBER: start the platform, the upstreams of DOC, and NUMBER
# VMs in each data centre of DOC.  VMs are named DATA-CENTRE-1 and up.
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

# fleet_curl VM PATH [CURL-ARGUMENT...]: send a request to VM.
fleet_curl ()
{
  local vm=$1 path=$2
  shift 2
  curl -s -m "$fleet_timeout_s" "$@" "http://${fleet_address[$vm]}$path"
}

# fleet_control NAME JSON: set the fault mode of a stand-in.  standin/srv.h
# lists the modes.
fleet_control ()
{
  curl -s -m 5 -o /dev/null -d "$2" "http://${fleet_address[$1]}/control"
}

# fleet_counts UPSTREAM: print the counters of a stand-in as JSON.
fleet_counts ()
{
  curl -s -m 5 "http://${fleet_address[$1]}/counts"
}

# VM reports that it is ready, which it does once a document is in force there.
fleet_vm_is_ready ()
{
  [ "$(fleet_curl "$1" /readyz -m 3 -o /dev/null -w '%{http_code}')" \
    = 200 ]
}

# Apply $fleet_dir/document.ini and wait until every VM is ready.
fleet_apply ()
{
  local vm
  fleet_until fleet_apply_once || return 1
  for vm in "${fleet_vms[@]}"; do
    fleet_until fleet_vm_is_ready "$vm" || return 1
  done
}

# Print the addresses of the running VMs as a list for the option --vm.
fleet_vm_addresses ()
{
  local vm
  local -a addresses=()
  for vm in "${fleet_vms[@]}"; do
    [ -z "${fleet_pid[$vm]:-}" ] || addresses+=("${fleet_address[$vm]}")
  done
  (IFS=, && echo "${addresses[*]}")
}

# Run a command of the operator, for instance fleet_command config apply FILE.
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

# fleet_vm_admits VM CUSTOMER: VM responds to a request of CUSTOMER with 200.
fleet_vm_admits ()
{
  [ "$(fleet_curl "$1" /v1/completions -o "$fleet_dir/admit.response" \
    -H "Authorization: Bearer demo-key-$2" -w '%{http_code}' \
    -d '{"prompt":"first","max_tokens":1}')" = 200 ]
}

# fleet_wait_admitted CUSTOMER...: wait until every VM admits requests of each
# customer.  A VM may refuse them until it holds rights to mint tokens of the
# customer's limit (src/core/lim.h).
fleet_wait_admitted ()
{
  local vm customer
  for customer in "$@"; do
    for vm in "${fleet_vms[@]}"; do
      fleet_until fleet_vm_admits "$vm" "$customer" || return 1
    done
  done
}

# Print the first 16 hexadecimal digits of the SHA-256 of PROMPT.  The stand-in
# for an engine repeats them in its response, which shows whose response it is.
fleet_prompt_digest ()
{
  local digest
  digest=$(printf '%s' "$1" | sha256sum)
  echo "${digest:0:16}"
}

# Print how often the stand-ins for plain services have executed a call with
# Idempotency-Key KEY.
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
