# shellcheck shell=bash
# The stand-in for the platform keeps what the product relies on.

# object METHOD NAME?QUERY [BODY]: "STATUS VERSION" goes to REPLY.
object ()
{
  REPLY=$(curl -s -m 5 -o "$fleet_dir/object" -X "$1" -d "${3-}" \
    -w '%{http_code} %header{x-version}' \
    "http://${fleet_address[platform]}/v1/objects/$2")
}

test_platform_versions_only_go_up ()
{
  local first last
  object PUT 't/x?if_version=0' one
  [[ $REPLY == 200\ * ]] || fail "create: $REPLY"
  first=${REPLY#* }
  object PUT 't/x?if_version=0' two
  [ "$REPLY" = "409 $first" ] || fail "create over it: $REPLY"
  object DELETE "t/x?if_version=$first"
  [[ $REPLY == 200* ]] || fail "delete: $REPLY"
  object GET t/x
  [[ $REPLY == 404* ]] || fail "read after delete: $REPLY"
  object PUT 't/x?if_version=0' three
  last=${REPLY#* }
  [ "$last" -gt "$first" ] || fail "version went from $first to $last"
  object GET t%2Fx
  [ "$REPLY" = "200 $last" ] || fail "read: $REPLY"
  [ "$(cat "$fleet_dir/object")" = three ] || fail "wrong value"
}

# Other calls may use the order to lose an answer up: try until one is lost.
write_loses_answer ()
{
  fleet_control platform '{"mode":"lose","count":1}'
  object PUT t/lost "$1"
  [[ $REPLY == 000* ]]
}

test_platform_lost_answer_had_its_effect ()
{
  fleet_until write_loses_answer effect || fail "no answer was lost"
  fleet_control platform '{"mode":"ok"}'
  object GET t/lost
  [[ $REPLY == 200* ]] || fail "the write was lost: $REPLY"
  [ "$(cat "$fleet_dir/object")" = effect ] || fail "wrong value"
}
