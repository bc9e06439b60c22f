# shellcheck shell=bash
# Properties of the platform on which rattanspindle relies, checked on the
# stand-in for the platform.

# object METHOD NAME?QUERY [BODY]: send a request for an object.  Sets REPLY to
# "STATUS VERSION" and writes the response to $fleet_dir/object.
object ()
{
  REPLY=$(curl -s -m 5 -o "$fleet_dir/object" -X "$1" -d "${3-}" \
    -w '%{http_code} %header{x-version}' \
    "http://${fleet_address[platform]}/v1/objects/$2")
}

# The version of an object increases even if the object is deleted in between.
test_platform_versions_only_go_up ()
{
  local first last
  object PUT 't/x?if_version=0' one
  [[ $REPLY == 200\ * ]] || fail "create: $REPLY"
  first=${REPLY#* }
  object PUT 't/x?if_version=0' two
  [ "$REPLY" = "409 $first" ] || fail "create of an existing object: $REPLY"
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

# write_loses_response BODY: a write whose response is lost.  The call of a VM
# may be the one that loses its response, so the caller repeats this until it
# succeeds.
write_loses_response ()
{
  fleet_control platform '{"mode":"lose","count":1}'
  object PUT t/lost "$1"
  [[ $REPLY == 000* ]]
}

# A write whose response is lost has taken effect.
test_platform_lost_response_had_its_effect ()
{
  fleet_until write_loses_response effect || fail "no response was lost"
  fleet_control platform '{"mode":"ok"}'
  object GET t/lost
  [[ $REPLY == 200* ]] || fail "the write was lost: $REPLY"
  [ "$(cat "$fleet_dir/object")" = effect ] || fail "wrong value"
}
