# shellcheck shell=bash
# Runs a fleet that the users' platform configures, as processes of this
# machine: a stand-in for the store, replicas of one model service, VMs and
# callers.  tools/hosted-tests sources this file after tools/fleet.sh, which
# keeps the working directory and the process ids and ends what was started.
#
#   hosted_start 3 8 --twice 0.2    three VMs, eight replicas; further options
#                                   go to each replica
#   hosted_ask 10 100               callers for 10 s, 100 requests a second
#   hosted_judge                    join what callers and replicas have seen
#
# Names: "store", "replica-N", "vm-N", "link-N".  VM N reaches the store through
# link-N if hosted_links is 1.  All chances follow HOSTED_SEED (1).
# HOSTED_VM_PROGRAM is the program of the VMs, if it is another build.

hosted_vm_program=${HOSTED_VM_PROGRAM:-$fleet_bin/rattanspindle}
hosted_seed=${HOSTED_SEED:-1}
hosted_links=0
hosted_events=28 # of an answer
hosted_zones=(north south)
hosted_versions=(v1) # of the replicas' software, two replicas each
hosted_vm_count=0
hosted_replica_count=0

# hosted_start_standin NAME COMMAND [OPTION...]: start a stand-in and wait until
# it listens.
hosted_start_standin ()
{
  local name=$1
  shift
  "$fleet_bin/standin" "$@" --port 0 >"$fleet_dir/$name.log" 2>&1 &
  fleet_pid[$name]=$!
  fleet_until grep -qs '^listening on ' "$fleet_dir/$name.log" || return 1
  fleet_address[$name]=$(sed -n 's/^listening on //p' "$fleet_dir/$name.log")
}

# hosted_port NAME: print the port of a process.
hosted_port ()
{
  echo "${fleet_address[$1]##*:}"
}

# hosted_zone N: set REPLY to the zone of VM or replica N.
hosted_zone ()
{
  REPLY=${hosted_zones[$1 % ${#hosted_zones[@]}]}
}

# hosted_store_call PATH [CURL-ARGUMENT...]: call the store.
hosted_store_call ()
{
  local path=$1
  shift
  curl -s -m 2 "$@" \
    "http://${fleet_address[store]}/rattanspindle/objects/$path"
}

# Write the operator's document into the store.
hosted_configure ()
{
  hosted_store_call config -o /dev/null --fail -d '{"metadata":{"name":"main"},
    "spec":{"version":1,
    "routes":[{"name":"fit","host":"desk.example","pathPrefix":"/fit/",
      "kind":"streaming","resumable":true,"timeoutMs":5000,"maxAttempts":3,
      "targetLatencyMs":300,"gapTargetMs":400,"service":"llm"}],
    "services":[{"name":"llm","engine":{"slots":8}}],
    "tenants":[{"name":"acme","apiKeys":["demo-key"]}]}}'
}

# hosted_start_replica N [OPTION...]: start replica N.
hosted_start_replica ()
{
  local n=$1 zone
  shift
  hosted_zone "$n"
  zone=$REPLY
  hosted_start_standin "replica-$n" replica --name "replica-$n" \
    --zone "$zone" --store "$(hosted_port store)" --events "$hosted_events" \
    --version "${hosted_versions[n / 2 % ${#hosted_versions[@]}]}" \
    --seed $((hosted_seed * 1000 + n)) --log "$fleet_dir/replica-$n.requests" \
    "$@"
}

# hosted_write_settings N PEER-ADDRESS: write the settings file of VM N.
hosted_write_settings ()
{
  local zone store=${fleet_address[store]}
  hosted_zone "$1"
  zone=$REPLY
  [ "$hosted_links" = 0 ] || store=${fleet_address[link-$1]}
  cat >"$fleet_dir/vm-$1.ini" <<END
[vm]
name = vm-$1
data_centre = $zone
data_centres = $(IFS=, && echo "${hosted_zones[*]}")
listen = ${fleet_address[vm-$1]}
peer_listen = $2
network = closed
seed = $((hosted_seed * 100 + $1 + 1))

[platform]
address = $store
configuration = hosted
history_s = 20

[log]
level = info
format = json
END
}

# hosted_start_vm N: start VM N.
hosted_start_vm ()
{
  local peer
  if [ "$hosted_links" = 1 ]; then
    hosted_start_standin "link-$1" relay --to "$(hosted_port store)" \
      || return 1
  fi
  fleet_pick_port
  fleet_address[vm-$1]=127.0.0.1:$REPLY
  fleet_pick_port
  peer=127.0.0.1:$REPLY
  hosted_write_settings "$1" "$peer"
  "$hosted_vm_program" serve --settings "$fleet_dir/vm-$1.ini" \
    >>"$fleet_dir/vm-$1.log" 2>&1 &
  fleet_pid[vm-$1]=$!
  fleet_vms+=("vm-$1")
}

# hosted_vm_serves N: VM N answers a request with a success.
hosted_vm_serves ()
{
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
    -H "Request-Id: first-$1-$RANDOM" -H 'Authorization: Bearer demo-key' \
    -H 'Deadline-Ms: 1500' -d '{"prompt":"p"}' \
    "http://${fleet_address[vm-$1]}/fit/first")" = 200 ]
}

# hosted_replicas_listed: the store has the entries of all replicas.
hosted_replicas_listed ()
{
  [ "$(hosted_store_call servers | grep -o '"state": *"ready"' | wc -l)" \
    = "$hosted_replica_count" ]
}

# hosted_start VMS REPLICAS [REPLICA-OPTION...]: start all and wait until every
# VM serves.
hosted_start ()
{
  local n
  hosted_vm_count=$1
  hosted_replica_count=$2
  shift 2
  hosted_start_standin store store || return 1
  hosted_configure || return 1
  for ((n = 0; n < hosted_replica_count; n++)); do
    hosted_start_replica "$n" "$@" || return 1
  done
  fleet_until hosted_replicas_listed || return 1
  for ((n = 0; n < hosted_vm_count; n++)); do
    hosted_start_vm "$n" || return 1
  done
  for ((n = 0; n < hosted_vm_count; n++)); do
    fleet_until hosted_vm_serves "$n" || return 1
  done
}

# hosted_stream N ID [HEADER...]: ask VM N for a stream as request ID; print the
# answer's status.
hosted_stream ()
{
  local vm=$1 id=$2 header
  local -a headers=()
  shift 2
  for header in "$@"; do
    headers+=(-H "$header")
  done
  curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
    -H "Request-Id: $id" -H 'Authorization: Bearer demo-key' \
    -H 'Deadline-Ms: 4000' "${headers[@]}" -d "{\"prompt\":\"$id\"}" \
    "http://${fleet_address[vm-$vm]}/fit/$id"
}

# hosted_version_of ID: print the version of the replica that has run request
# ID.
hosted_version_of ()
{
  local file n
  file=$(grep -lF "\"id\":\"$1\"" "$fleet_dir"/replica-*.requests | head -n 1)
  n=${file##*replica-}
  n=${n%.requests}
  [ -z "$file" ] || echo "${hosted_versions[n / 2 % ${#hosted_versions[@]}]}"
}

# hosted_ask SECONDS RATE [OPTION...]: ask in the background, as the process
# "ask".
hosted_ask ()
{
  local n seconds=$1 rate=$2
  local -a vms=()
  shift 2
  for ((n = 0; n < hosted_vm_count; n++)); do
    vms+=(--vm "$(hosted_port "vm-$n")")
  done
  "$fleet_bin/standin" ask "${vms[@]}" --seconds "$seconds" --rate "$rate" \
    --events "$hosted_events" --record "$fleet_dir/asked" "$@" \
    >"$fleet_dir/ask.log" 2>&1 &
  fleet_pid[ask]=$!
}

# hosted_ask_field FIELD: print a total of the callers, such as own or mixed.
hosted_ask_field ()
{
  tail -n 1 "$fleet_dir/ask.log" | sed -n "s/.*\\b$1 \\([0-9]*\\).*/\\1/p"
}

# Join the records into $fleet_dir/judge.log.
hosted_judge ()
{
  "$fleet_bin/standin" judge --show --record "$fleet_dir/asked" \
    "$fleet_dir"/replica-*.requests >"$fleet_dir/judge.log"
}

# hosted_judge_field FIELD: print a total of hosted_judge, such as after-word.
hosted_judge_field ()
{
  tail -n 1 "$fleet_dir/judge.log" | sed -n "s/.*\\b$1 \\([0-9]*\\).*/\\1/p"
}
