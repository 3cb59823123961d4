#pragma once

#include "peppertack/state/command.hpp"
#include "peppertack/state/records.hpp"

#include <nlohmann/json.hpp>

namespace peppertack {

NLOHMANN_JSON_SERIALIZE_ENUM(target_phase, {{target_phase::serving, "serving"},
                                            {target_phase::draining, "draining"},
                                            {target_phase::gone, "gone"}})
NLOHMANN_JSON_SERIALIZE_ENUM(idempotency_state, {{idempotency_state::complete, "complete"},
                                                 {idempotency_state::fetch, "fetch"},
                                                 {idempotency_state::lost, "lost"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_record, number, name, service, failure_domain,
                                   node_address, incarnation, slots, connections, checks_tokens,
                                   phase, standby, standby_ready, standby_epoch)
// Records of earlier versions have no `handover`.
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(range_record, first, owner, token, next, memory,
                                                recover_from, recover_of, lost_at_ms, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_table, change_id, base_version, csv)

/// The durable log stores the delta in the field "sheet".
inline void to_json(nlohmann::json &json, const change_routes &item) {
    json = {
        {"change_id", item.change_id}, {"base_version", item.base_version}, {"sheet", item.delta}};
}

inline void from_json(const nlohmann::json &json, change_routes &item) {
    json.at("change_id").get_to(item.change_id);
    json.at("base_version").get_to(item.base_version);
    json.at("sheet").get_to(item.delta);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_target, record)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(expire_targets, numbers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(drain_target, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(retire_target, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(range_choice, first, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_ranges, service, choices)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(plan_moves, service, choices)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(release_range, service, first, token, to, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(split_range, service, at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(merge_range, service, first)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(set_standby, number, standby, ready, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(restore_memory, service, first, token, owner, was)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(report_crash, target, life, running)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(clear_suspects, fingerprints, probation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(evacuate_domain, domain, withdrawn)

} // namespace peppertack
