#!/usr/bin/env bash
# Writes deploy/days/: days of our own, each named for what it holds. One kind of trouble alone in each, every
# variant that the users' pages list; then roll-outs beside what a fleet does at that moment. Figures are their
# usual ones; whoever plays a day varies them. `@s0` is an installation's first service, `@c0` its first kind of
# request, `@z0` its first failure domain. A day whose kind a deployment does not know is left out there.
set -euo pipefail
cd "$(dirname "$0")/days"
rm -f -- *.toml

# day NAME PLAN FAULTS [CLOSING]: entries are separated by ';'.
day() {
    local entries
    entries() { tr ';' '\n' <<< "$1" | sed -E '/^ *$/d; s/^ *(.*[^ ]) *$/  { \1 },/'; }
    {
        printf '[[day]]\nname = "%s"\nslot = "trouble"\nseed = 7\n' "$1"
        [ -z "${4:-}" ] || printf 'closing = { %s }\n' "$4"
        printf 'plan = [\n%s\n]\nfaults = [\n%s\n]\n' "$(entries "$2")" "$(entries "$3")"
    } | sed '/^$/d' > "$1.toml"
}

# Roll-outs, of the first service and of the second one.
for service in 0 1; do
    order="at = 2.0, service = \"@s$service\", for_s = 22.0"
    day "rollout-good-$service" "kind = \"rollout_good\", $order" ""
    for how in errors slow late under_load one_class; do
        for share in 0.25 0.5; do
            day "rollout-bad-$how-$share-$service" \
                "kind = \"rollout_bad\", how = \"$how\", share = $share, x = 8.0, gap_s = 3.0, $order" ""
        done
    done
done
day rollout-bad-errors-few "kind = \"rollout_bad\", how = \"errors\", share = 0.12, at = 2.0, service = \"@s0\", for_s = 22.0" ""
day rollout-bad-slow-a-little "kind = \"rollout_bad\", how = \"slow\", share = 0.25, x = 4.0, at = 2.0, service = \"@s0\", for_s = 22.0" ""

# Roll-outs beside what else happens then.
good='kind = "rollout_good", at = 2.0, service = "@s0", for_s = 22.0'
slow='kind = "rollout_bad", how = "slow", share = 0.5, x = 8.0, at = 2.0, service = "@s0", for_s = 22.0'
errors='kind = "rollout_bad", how = "errors", share = 0.5, at = 2.0, service = "@s0", for_s = 22.0'
load='kind = "rollout_bad", how = "under_load", share = 0.5, at = 2.0, service = "@s0", for_s = 22.0'
for order in good slow errors load; do
    name="rollout-$order-beside"
    day "$name-slow-endpoints" "${!order}" 'kind = "srv_slow", at = 5.0, for_s = 12.0, service = "@s0", share = 0.2, x = 4.0'
    day "$name-failing-endpoints" "${!order}" 'kind = "srv_grey", how = "errors", at = 5.0, for_s = 12.0, service = "@s0", share = 0.15, x = 0.4'
    day "$name-bursts" "${!order}" 'kind = "burst", x = 1.6, at = 6.0, for_s = 5.0; kind = "burst", x = 1.5, at = 20.0, for_s = 5.0'
    day "$name-hosts-restarting" "${!order}; kind = \"roll_term\", at = 4.0, share = 1.0, x = 1.0, gap_s = 1.6" ""
    day "$name-hosts-restarting-in-an-outage" "${!order}; kind = \"roll_term\", at = 6.0, share = 0.6, x = 1.0, gap_s = 1.5" 'kind = "platform_down", how = "reset", at = 8.0, for_s = 3.0'
    day "$name-hosts-killed" "${!order}" 'kind = "herd_kill", at = 10.0, share = 0.6, for_s = 1.5'
    day "$name-store-down" "${!order}" 'kind = "platform_down", how = "silent", at = 1.0, for_s = 6.0'
    day "$name-hosts-cut" "${!order}" 'kind = "core_cut", at = 1.5, count = 1, for_s = 8.0'
    day "$name-history-gone" "${!order}" 'kind = "platform_compact", at = 1.5, for_s = 10.0, x = 5.0, how = "drain"'
done

# plan NAME ENTRY and fault NAME ENTRY: one kind of planned work, or of trouble, alone and twice: the second time meets
# what the first one left.
plan() { day "$1" "$2, at = 4.0; $2, at = 17.0" ""; }
fault() { day "$1" "" "$2, at = 4.0; $2, at = 17.0"; }

# Callers.
fault callers-burst 'kind = "burst", x = 1.8, for_s = 5.0'
fault callers-burst-one-kind 'kind = "burst", class = "@c0", x = 2.5, for_s = 6.0'
fault callers-move 'kind = "shift", share = 0.5, for_s = 6.0'
fault callers-one-subject 'kind = "hot_key", class = "@c0", share = 0.3, for_s = 5.0'
fault callers-one-workspace 'kind = "hot_tenant", x = 7.0, for_s = 6.0'
fault callers-repeat 'kind = "retry_abuse", share = 0.3, x = 3.0, for_s = 5.0'
fault callers-leave 'kind = "give_up", share = 0.25, for_s = 5.0'
fault callers-leave-once 'kind = "give_up", how = "once", share = 0.25, for_s = 5.0'

# Endpoints, of the first service and of the second one.
for service in 0 1; do
    of="service = \"@s$service\""
    for how in "" dark gone domain; do
        fault "endpoints-crash${how:+-$how}-$service" "kind = \"srv_crash\", how = \"$how\", $of, share = 0.2, for_s = 4.0"
    done
    for how in errors shed busy hang reset mute one_zone; do
        fault "endpoints-fail-$how-$service" "kind = \"srv_grey\", how = \"$how\", $of, share = 0.2, x = 0.45, for_s = 6.0"
    done
    fault "endpoints-fail-slow-$service" "kind = \"srv_grey\", how = \"slow\", $of, share = 0.2, x = 8.0, for_s = 6.0"
    for how in errors hang reset bad; do
        fault "endpoints-false-health-$how-$service" "kind = \"srv_lying_health\", how = \"$how\", $of, share = 0.15, for_s = 6.0"
    done
    for how in "" reset; do
        fault "endpoints-answer-lost${how:+-$how}-$service" "kind = \"answer_lost\", how = \"$how\", $of, share = 0.5, x = 0.05, for_s = 5.0"
    done
    for how in "" extra unframed early rot; do
        fault "endpoints-wrong-bytes${how:+-$how}-$service" "kind = \"garble\", how = \"$how\", $of, share = 0.5, x = 0.03, for_s = 5.0"
    done
    for how in "" fronts some one_way reset reborn; do
        fault "endpoints-cut${how:+-$how}-$service" "kind = \"srv_cut\", how = \"$how\", $of, share = 0.2, for_s = 5.0"
    done
    for how in "" drain dark; do
        fault "endpoints-address-reused${how:+-$how}-$service" "kind = \"replace_with_reuse\", how = \"$how\", $of, share = 0.15"
    done
    for how in "" spot reclaim; do
        plan "endpoints-fewer${how:+-$how}-$service" "kind = \"scale_in\", how = \"$how\", $of, share = 0.15, for_s = 6.0"
    done
    fault "endpoints-slow-$service" "kind = \"srv_slow\", $of, share = 0.15, x = 4.0, for_s = 6.0"
    fault "endpoints-flap-$service" "kind = \"srv_flap\", $of, share = 0.15, gap_s = 1.0, for_s = 6.0"
    fault "endpoints-forget-connections-$service" "kind = \"idle_race\", $of, share = 0.5, x = 300, for_s = 6.0"
    plan "endpoints-replaced-$service" "kind = \"release\", $of, share = 0.5, x = 3.0, gap_s = 1.0"
    plan "endpoints-more-$service" "kind = \"scale_out\", $of, share = 0.3, gap_s = 1.0"
done

# Hosts.
for how in "" power leader seed; do
    fault "hosts-killed${how:+-$how}" "kind = \"node_kill\", how = \"$how\", on = \"core\", count = 1, for_s = 3.0"
done
fault hosts-killed-some 'kind = "node_kill", share = 0.2, for_s = 3.0'
fault hosts-killed-as-they-write 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race drain"'
fault hosts-killed-and-met-by-a-change 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "meet drain"'
for how in "" power; do
    fault "hosts-killed-together${how:+-$how}" "kind = \"herd_kill\", how = \"$how\", share = 0.6, for_s = 1.5"
done
for how in power off taken; do
    fault "hosts-killed-all-$how" "kind = \"herd_kill\", how = \"$how\", on = \"core\", for_s = 1.2"
done
for how in "" busy leader; do
    plan "hosts-restart${how:+-$how}" "kind = \"roll_term\", how = \"$how\", share = 0.5, x = 1.0, gap_s = 1.2"
done
plan hosts-leave 'kind = "roll_term", how = "remove", share = 0.2, x = 1.0, gap_s = 1.5'
plan hosts-more 'kind = "add_nodes", count = 1'
plan hosts-read-settings 'kind = "hup", share = 0.6, gap_s = 2.0'
fault hosts-slow 'kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0'
fault hosts-stand-still 'kind = "node_freeze", share = 0.2, for_s = 3.0'
for how in ahead back; do
    fault "hosts-clock-$how" "kind = \"clock_step\", how = \"$how\", share = 0.4, x = 3000, for_s = 5.0"
done
fault hosts-connections-reset 'kind = "reset_conns", share = 0.3, x = 0.5'
for how in "" kill timed taken; do
    plan "hosts-lost-after-a-change${how:+-$how}" "kind = \"after_ack_kill\", how = \"$how\", count = 1, for_s = 2.0"
done

# Ways between hosts, to endpoints and to the store.
for how in "" all near one_way seeds both lure relieve split oldest "leader refuse" "leader race" giver; do
    fault "ways-store-cut${how:+-${how// /-}}" "kind = \"core_cut\", how = \"$how\", count = 1, for_s = 5.0"
done
for how in "" all servers reborn "reset revoke"; do
    fault "ways-hosts-cut${how:+-${how// /-}}" "kind = \"node_cut\", how = \"$how\", share = 0.2, for_s = 5.0"
done
fault ways-lossy 'kind = "lossy", zone = "@z0", x = 0.03, for_s = 6.0'

# The store.
for how in silent busy reset lapse nodes "nodes busy" "nodes many" "nodes reset" "nodes leader" "nodes many revoke meet"; do
    fault "store-down-${how// /-}" "kind = \"platform_down\", how = \"$how\", share = 0.35, for_s = 5.0"
done
fault store-slow 'kind = "platform_slow", x = 60.0, for_s = 5.0'
for how in "" late; do
    fault "store-answers-lost${how:+-$how}" "kind = \"platform_lost\", how = \"$how\", x = 0.35, for_s = 5.0"
done
for how in "" drain; do
    fault "store-history-gone${how:+-$how}" "kind = \"platform_compact\", how = \"$how\", x = 5.0, for_s = 8.0"
done

# The configuration.
for how in route weights timeout tenant quota idle; do
    plan "config-$how" "kind = \"config_change\", how = \"$how\""
done
plan config-grows 'kind = "big_config", count = 700'
plan config-storm 'kind = "config_storm", count = 6, gap_s = 0.4'
for how in "" last; do
    plan "config-key-taken-away${how:+-$how}" "kind = \"revoke\", how = \"$how\", count = 2, gap_s = 1.0"
done

# What ends a day.
for how in "" timed taken all; do
    day "end-power-off${how:+-$how}" "" "" "kind = \"power_off_all\", down_s = 1.2, how = \"$how\""
done
day end-all-killed "" "" 'kind = "kill_all", down_s = 0.7'

# What a fleet does, beside what takes away what it does that with.
grown='kind = "big_config", count = 700, at = 3.0'
day start-of-all-with-a-large-configuration "$grown" 'kind = "herd_kill", on = "core", at = 8.0, for_s = 0.7'
day start-of-all-and-history-gone "$grown" 'kind = "herd_kill", on = "core", at = 8.0, for_s = 0.7; kind = "platform_compact", how = "drain", at = 7.5, x = 5.0, for_s = 8.0'
day start-of-all-and-store-slow "$grown" 'kind = "herd_kill", on = "core", at = 8.0, for_s = 0.7; kind = "platform_slow", x = 60.0, at = 7.5, for_s = 5.0'
day start-of-some-and-store-down "$grown" 'kind = "herd_kill", share = 0.5, at = 8.0, for_s = 0.7; kind = "platform_down", how = "silent", at = 7.5, for_s = 4.0'
day start-of-some-and-hosts-cut "$grown" 'kind = "herd_kill", share = 0.5, at = 8.0, for_s = 0.7; kind = "node_cut", how = "all", share = 0.3, at = 7.5, for_s = 4.0'
day start-in-turn-and-endpoints-leave 'kind = "roll_term", at = 4.0, share = 1.0, x = 1.0, gap_s = 1.2; kind = "release", service = "@s0", share = 0.5, x = 3.0, at = 5.0, gap_s = 1.0' ''
day drain-and-history-gone 'kind = "release", service = "@s0", share = 0.5, x = 3.0, at = 5.0, gap_s = 1.0' 'kind = "platform_compact", how = "drain", at = 4.0, x = 5.0, for_s = 10.0'
day drain-and-store-down 'kind = "scale_in", service = "@s0", share = 0.2, at = 6.0' 'kind = "platform_down", how = "silent", at = 5.5, for_s = 4.0'
day drain-and-hosts-that-write-cut 'kind = "scale_in", service = "@s0", share = 0.2, at = 6.0' 'kind = "core_cut", how = "leader", count = 1, at = 5.0, for_s = 6.0'
day key-taken-away-and-hosts-cut 'kind = "revoke", count = 2, gap_s = 1.0, at = 6.0' 'kind = "core_cut", how = "near", count = 1, at = 5.0, for_s = 8.0'
day key-taken-away-and-hosts-stand-still 'kind = "revoke", count = 2, gap_s = 1.0, at = 6.0' 'kind = "node_freeze", share = 0.3, at = 5.5, for_s = 6.0'
day key-taken-away-and-store-slow 'kind = "revoke", count = 2, gap_s = 1.0, at = 6.0' 'kind = "platform_slow", x = 60.0, at = 5.0, for_s = 6.0'
day change-and-restart 'kind = "config_change", how = "route", at = 6.0; kind = "roll_term", at = 4.0, share = 1.0, x = 1.0, gap_s = 1.2' ''
day change-and-links-lossy "$grown" 'kind = "lossy", zone = "@z0", x = 0.05, at = 2.5, for_s = 6.0'
day change-and-burst "$grown" 'kind = "burst", x = 1.8, at = 2.5, for_s = 5.0'
day verdict-and-all-killed 'kind = "rollout_bad", how = "errors", share = 0.5, at = 2.0, service = "@s0", for_s = 22.0' 'kind = "herd_kill", on = "core", at = 4.5, for_s = 0.7'
day move-and-all-killed 'kind = "rollout_good", at = 2.0, service = "@s0", for_s = 22.0' 'kind = "herd_kill", on = "core", at = 22.3, for_s = 0.7'
day move-and-store-down 'kind = "rollout_good", at = 2.0, service = "@s0", for_s = 22.0' 'kind = "platform_down", how = "reset", at = 21.0, for_s = 4.0'

# Failure domains that are evacuated and taken back, and endpoints that return cold, alone and beside what makes a
# fleet late, small or loaded.
for how in "" warm; do
    evacuation="kind = \"evacuate\", zone = \"@z0\", how = \"$how\", for_s = 9.0, at = 5.0"
    name="evacuation${how:+-$how}"
    day "$name" "$evacuation" ""
    day "$name-and-burst" "$evacuation" 'kind = "burst", x = 2.0, at = 13.0, for_s = 3.0'
    day "$name-and-hosts-cut" "$evacuation" 'kind = "node_cut", how = "all", share = 0.2, at = 4.0, for_s = 6.0'
    day "$name-and-store-down-nodes" "$evacuation" 'kind = "platform_down", how = "nodes", share = 0.35, at = 4.0, for_s = 7.0'
    day "$name-and-hosts-killed" "$evacuation" 'kind = "herd_kill", share = 0.6, at = 7.0, for_s = 1.5'
    day "$name-and-hosts-restarting" "$evacuation; kind = \"roll_term\", at = 6.0, share = 1.0, x = 4.0, gap_s = 0.6" ""
done
day evacuation-of-two "kind = \"evacuate\", zone = \"@z0\", how = \"\", for_s = 9.0, at = 5.0; kind = \"evacuate\", zone = \"@z1\", how = \"\", for_s = 6.0, at = 7.0" ""
for how in "" dark; do
    cold_return="kind = \"cold_return\", zone = \"@z0\", how = \"$how\", for_s = 4.0, at = 5.0"
    name="cold-return${how:+-$how}"
    day "$name" "" "$cold_return"
    day "$name-and-burst" "" "$cold_return; kind = \"burst\", x = 2.0, at = 9.0, for_s = 3.0"
    day "$name-and-hosts-cut" "" "$cold_return; kind = \"node_cut\", how = \"all\", share = 0.2, at = 8.0, for_s = 5.0"
    day "$name-and-hosts-killed" "" "$cold_return; kind = \"herd_kill\", share = 0.6, at = 7.5, for_s = 1.5"
done
# The users' day of a request that crashes its endpoints.
day deadly "" 'kind = "poison", how = "deadly", class = "@c0", share = 0.03, for_s = 20.0, at = 5.0'
