#include "peppertack/state/control_state.hpp"

#include "peppertack/state/key_hash.hpp"
#include "peppertack/state/routing_delta.hpp"

#include "json_fields.hpp"

#include <algorithm>
#include <cassert>
#include <set>

namespace peppertack {

NLOHMANN_JSON_SERIALIZE_ENUM(error_kind, {{error_kind::none, "none"},
                                          {error_kind::version_conflict, "version_conflict"},
                                          {error_kind::bad_table, "bad_table"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_answer, error, version, winner_change_id, winner_actor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(audit_head, sequence, hash)

inline void to_json(nlohmann::json &json, const suspect_record &item) {
    json = {{"lives", item.crashed_incarnations},
            {"seen_ms", item.seen_ms},
            {"quarantined", item.quarantined}};
}

inline void from_json(const nlohmann::json &json, suspect_record &item) {
    json.at("lives").get_to(item.crashed_incarnations);
    json.at("seen_ms").get_to(item.seen_ms);
    json.at("quarantined").get_to(item.quarantined);
}

namespace {

constexpr int state_version = 1;
/// About three days at 17,000 changes per day.
constexpr std::size_t max_remembered_answers = 50'000;
constexpr std::size_t max_change_feed_items = 250'000;
constexpr std::size_t max_ended_targets = 1'000;
constexpr unsigned initial_range_bits = 6; ///< 64 ranges: about 16 per target for small services

std::string dump(const nlohmann::json &json) {
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string range_subject(const std::string &service, std::uint64_t first) {
    return service + "/" + std::to_string(first);
}

std::string choices_text(const std::vector<range_choice> &choices) {
    return dump(nlohmann::json(choices));
}

std::string fingerprints_text(const std::vector<std::uint64_t> &fingerprints) {
    std::string text;
    for (const std::uint64_t fingerprint : fingerprints) {
        text += (text.empty() ? "" : " ") + fingerprint_text(fingerprint);
    }
    return text;
}

auto position_of(std::vector<range_record> &ranges, std::uint64_t hash) {
    auto after = std::upper_bound(
        ranges.begin(), ranges.end(), hash,
        [](std::uint64_t value, const range_record &range) { return value < range.first; });
    return std::prev(after);
}

} // namespace

const target_record *control_state::find_target(target_number number) const {
    const auto found = m_targets.find(number);
    return found == m_targets.end() ? nullptr : &found->second;
}

const target_record *control_state::find_target(std::string_view name) const {
    const target_record *latest = nullptr;
    for (const auto &[number, record] : m_targets) {
        if (record.name == name) {
            latest = &record;
        }
    }
    return latest;
}

const std::set<target_number> &control_state::live_targets(const std::string &service) const {
    static const std::set<target_number> none;
    const auto found = m_live.find(service);
    return found == m_live.end() ? none : found->second;
}

const range_record *control_state::find_range(const std::string &service,
                                              std::uint64_t hash) const {
    const auto found = m_ranges.find(service);
    if (found == m_ranges.end()) {
        return nullptr;
    }
    return &*position_of(const_cast<service_ranges &>(found->second), hash);
}

std::optional<std::size_t> control_state::count_changes_since(std::uint64_t version) const {
    if (version < m_feed_base_version) {
        return std::nullopt;
    }
    const auto from = std::upper_bound(
        m_change_feed.begin(), m_change_feed.end(), version,
        [](std::uint64_t value, const change_feed_item &item) { return value < item.version; });
    return static_cast<std::size_t>(std::distance(from, m_change_feed.end()));
}

std::optional<std::vector<change_feed_item>>
control_state::changes_since(std::uint64_t version) const {
    const auto count = count_changes_since(version);
    if (!count) {
        return std::nullopt;
    }
    return std::vector<change_feed_item>(m_change_feed.end() - static_cast<std::ptrdiff_t>(*count),
                                         m_change_feed.end());
}

std::optional<change_answer> control_state::earlier_answer(const std::string &change_id) const {
    for (const auto &[id, answer] : m_answers) {
        if (id == change_id) {
            return answer;
        }
    }
    return std::nullopt;
}

control_state::applied control_state::apply(std::uint64_t index, const command &value) {
    assert(index > m_version);
    m_version = index;
    applied result;
    audit_detail detail;
    result.error = std::visit(
        [&](const auto &body) { return apply_body(body, value, detail, result); }, value.body);
    if (result.error != error_kind::none && result.error != error_kind::version_conflict) {
        return result;
    }
    audit_record record{.sequence = m_audit.sequence + 1,
                        .log_index = index,
                        .wall_ms = value.wall_ms,
                        .kind = kind_name(value.body),
                        .actor = value.actor,
                        .cause = value.cause,
                        .subject = detail.subject,
                        .before = detail.before,
                        .after = detail.after,
                        .previous_hash = m_audit.hash,
                        .hash = {}};
    record.hash = audit_hash(record);
    m_audit = {record.sequence, record.hash};
    result.audit = std::move(record);
    return result;
}

void control_state::skip(std::uint64_t index) {
    assert(index > m_version);
    m_version = index;
}

range_record *control_state::range_at(const std::string &service, std::uint64_t first) {
    const auto found = m_ranges.find(service);
    if (found == m_ranges.end()) {
        return nullptr;
    }
    range_record &range = *position_of(found->second, first);
    return range.first == first ? &range : nullptr;
}

target_record *control_state::live_target(target_number number) {
    const auto found = m_targets.find(number);
    if (found == m_targets.end() || found->second.phase == target_phase::gone) {
        return nullptr;
    }
    return &found->second;
}

void control_state::record_range_change(const std::string &service, std::uint64_t first) {
    m_change_feed.push_back({m_version, service, first, no_target});
    while (m_change_feed.size() > max_change_feed_items) {
        m_feed_base_version = m_change_feed.front().version;
        m_change_feed.pop_front();
    }
}

void control_state::record_target_change(target_number number) {
    record_range_change({}, 0);
    m_change_feed.back().number = number;
}

error_kind control_state::apply_body(const change_table &body, const command &value,
                                     audit_detail &detail, applied &result) {
    if (const auto earlier = earlier_answer(body.change_id)) {
        // Resend after a lost response: returns the stored response and adds no audit record.
        result.answer = earlier;
        return error_kind::cancelled;
    }
    change_answer answer{.version = m_table_version,
                         .winner_change_id = m_table_change_id,
                         .winner_actor = m_table_actor};
    std::vector<table_problem> problems;
    const std::optional<table> next = make_table(body.csv, problems);
    detail.subject = "table";
    detail.before = "version " + std::to_string(m_table_version);
    if (!next) {
        answer.error = error_kind::bad_table;
    } else if (body.base_version != m_table_version) {
        answer.error = error_kind::version_conflict;
        detail.after = "refused: based on version " + std::to_string(body.base_version);
    } else {
        detail.before += "\n" + m_table.to_csv();
        m_table = *next;
        ++m_table_version;
        m_table_change_id = body.change_id;
        m_table_actor = value.actor;
        answer.version = m_table_version;
        answer.winner_change_id = body.change_id;
        answer.winner_actor = value.actor;
        detail.after = "version " + std::to_string(m_table_version) + "\n" + m_table.to_csv();
        add_services();
    }
    remember_answer(body.change_id, answer);
    result.answer = answer;
    return answer.error;
}

void control_state::remember_answer(const std::string &change_id, const change_answer &answer) {
    m_answers.emplace_back(change_id, answer);
    if (m_answers.size() > max_remembered_answers) {
        m_answers.pop_front();
    }
}

/// Services removed from the table keep their ranges: a mistake in the table must not remove the
/// owners, and their targets continue until they stop.
void control_state::add_services() {
    for (const std::string &service : m_table.services()) {
        add_ranges(service);
    }
    for (const auto &[name, service] : m_routes.services) {
        if (service.keyed) {
            add_ranges(name);
        }
    }
}

void control_state::add_ranges(const std::string &service) {
    constexpr std::uint64_t count = 1ULL << initial_range_bits;
    service_ranges &ranges = m_ranges[service];
    if (!ranges.empty()) {
        return;
    }
    for (std::uint64_t i = 0; i < count; ++i) {
        ranges.push_back({.first = i << (64U - initial_range_bits)});
        record_range_change(service, ranges.back().first);
    }
}

bool control_state::has_service(const std::string &service) const {
    return m_table.has_service(service) || m_routes.services.count(service) != 0;
}

bool control_state::has_ordered_keys(const std::string &service) const {
    const auto found = m_routes.services.find(service);
    return found != m_routes.services.end() && found->second.keyed;
}

error_kind control_state::apply_body(const change_routes &body, const command &value,
                                     audit_detail &detail, applied &result) {
    if (const auto earlier = earlier_answer(body.change_id)) {
        result.answer = earlier;
        return error_kind::cancelled;
    }
    change_answer answer{.version = m_routes.version, .winner_actor = value.actor};
    std::string reason;
    const std::optional<routing_delta> delta = decode_delta(body.delta, reason);
    std::optional<routing_table> next = delta ? peppertack::apply(m_routes, *delta) : std::nullopt;
    detail.subject = "routes";
    detail.before = "version " + std::to_string(m_routes.version);
    const bool conflict = delta && (!next || body.base_version != m_routes.version ||
                                    next->version <= m_routes.version);
    if (conflict) {
        answer.error = error_kind::version_conflict;
        detail.after = "refused: version " + std::to_string(delta->version) + " based on " +
                       std::to_string(body.base_version);
    } else if (!next || check_routing_table(*next)) {
        answer.error = error_kind::bad_table;
    } else {
        m_routes = std::move(*next);
        answer.version = m_routes.version;
        answer.winner_change_id = body.change_id;
        detail.after = "version " + std::to_string(m_routes.version) + "\n" + body.delta;
        add_services();
        // Only accepted changes are stored: a change rejected by a conflict may be resent on a new
        // base version.
        remember_answer(body.change_id, answer);
    }
    result.answer = answer;
    return answer.error;
}

error_kind control_state::apply_body(const register_target &body, const command &,
                                     audit_detail &detail, applied &) {
    if (!has_service(body.record.service)) {
        return error_kind::unknown_service;
    }
    for (const target_number number : live_targets(body.record.service)) {
        const target_record &known = m_targets.at(number);
        if (known.name == body.record.name && known.incarnation == body.record.incarnation) {
            return error_kind::cancelled; // duplicate registration
        }
    }
    target_record record = body.record;
    record.number = ++m_last_number;
    record.phase = target_phase::serving;
    record.standby = no_target;
    record.standby_ready = false;
    record.standby_epoch = 0;
    detail.subject = record.name;
    detail.after = dump(nlohmann::json(record));
    m_targets[record.number] = record;
    m_live[record.service].insert(record.number);
    record_target_change(record.number);
    return error_kind::none;
}

void control_state::clear_lost_owner(range_record &range, const target_record &owner,
                                     std::int64_t wall_ms) {
    range.owner = no_target;
    range.next = no_target;
    range.handover.clear();
    // Requests to services with ordered keys have no idempotency keys, so there are no records to
    // restore.
    if (range.memory == idempotency_state::lost || has_ordered_keys(owner.service)) {
        return;
    }
    const target_record *standby = find_target(owner.standby);
    const bool kept =
        owner.standby_ready && standby != nullptr && standby->phase != target_phase::gone;
    if (range.memory == idempotency_state::complete && kept) {
        range.memory = idempotency_state::fetch;
        range.recover_from = owner.standby;
        range.recover_of = owner.number;
        return;
    }
    // Second loss before the first was recovered: resends can no longer be distinguished from first
    // attempts.
    range.memory = idempotency_state::lost;
    range.recover_from = no_target;
    range.recover_of = no_target;
    range.lost_at_ms = wall_ms;
}

/// Ranges that the end of a target can affect: ranges, moves and standbys never cross services.
control_state::service_ranges &control_state::ranges_of(const target_record &record) {
    // Services without keys have no ranges. An empty entry created here would be read from a
    // snapshot as lost ranges.
    const auto found = m_ranges.find(record.service);
    return found == m_ranges.end() ? m_no_ranges : found->second;
}

void control_state::cancel_moves_to(const target_record &record) {
    for (range_record &range : ranges_of(record)) {
        if (range.next == record.number) {
            range.next = no_target;
            record_range_change(record.service, range.first);
        }
    }
}

void control_state::drop_standby_of(const target_record &record) {
    for (const target_number number : live_targets(record.service)) {
        target_record &other = m_targets.at(number);
        if (other.standby == record.number) {
            other.standby = no_target;
            other.standby_ready = false;
            other.standby_epoch = m_version;
            record_target_change(number);
        }
    }
}

void control_state::end_target(target_record &record) {
    record.phase = target_phase::gone;
    m_live[record.service].erase(record.number);
    drop_standby_of(record);
    record_target_change(record.number);
}

/// Ends a registration and clears the owner of its ranges. Returns the number of these ranges.
std::size_t control_state::expire(target_record &record, std::int64_t wall_ms) {
    std::size_t lost = 0;
    for (range_record &range : ranges_of(record)) {
        if (range.recover_from == record.number && range.owner != record.number) {
            // The standby copy from which this range was to be restored is lost.
            range.memory = idempotency_state::lost;
            range.recover_from = no_target;
            range.recover_of = no_target;
            range.lost_at_ms = wall_ms;
            record_range_change(record.service, range.first);
        }
        if (range.owner == record.number) {
            clear_lost_owner(range, record, wall_ms);
            record_range_change(record.service, range.first);
            ++lost;
        }
    }
    cancel_moves_to(record);
    end_target(record);
    return lost;
}

error_kind control_state::apply_body(const expire_targets &body, const command &value,
                                     audit_detail &detail, applied &) {
    nlohmann::json ended = nlohmann::json::array();
    std::size_t lost = 0;
    for (const target_number number : body.numbers) {
        target_record *record = live_target(number);
        if (record == nullptr) {
            continue;
        }
        ended.push_back({{"number", number},
                         {"name", record->name},
                         {"service", record->service},
                         {"failure_domain", record->failure_domain},
                         {"standby", record->standby},
                         {"standby_ready", record->standby_ready}});
        lost += expire(*record, value.wall_ms);
    }
    if (ended.empty()) {
        return error_kind::not_found;
    }
    prune_targets();
    detail.subject = ended.size() == 1 ? ended[0]["name"].get<std::string>()
                                       : std::to_string(ended.size()) + " targets";
    detail.before = dump(ended);
    detail.after = std::to_string(lost) + " ranges without an owner";
    return error_kind::none;
}

/// Removes registrations that ended long ago and to which no range refers. Each restart creates
/// one, so the state would otherwise grow by 390 records a day.
void control_state::prune_targets() {
    std::size_t live = 0;
    for (const auto &[service, numbers] : m_live) {
        live += numbers.size();
    }
    std::size_t ended = m_targets.size() - live;
    if (ended <= max_ended_targets) {
        return;
    }
    std::set<target_number> used;
    for (const auto &[service, ranges] : m_ranges) {
        for (const range_record &range : ranges) {
            used.insert({range.owner, range.next, range.recover_from, range.recover_of});
        }
    }
    for (auto at = m_targets.begin(); at != m_targets.end() && ended > max_ended_targets / 2;) {
        const bool removable = at->second.phase == target_phase::gone && used.count(at->first) == 0;
        at = removable ? m_targets.erase(at) : std::next(at);
        ended -= removable ? 1 : 0;
    }
}

error_kind control_state::apply_body(const drain_target &body, const command &,
                                     audit_detail &detail, applied &) {
    target_record *record = live_target(body.number);
    if (record == nullptr) {
        return error_kind::not_found;
    }
    if (record->phase == target_phase::draining) {
        return error_kind::cancelled;
    }
    record->phase = target_phase::draining;
    cancel_moves_to(*record);
    record_target_change(body.number);
    detail.subject = record->name;
    detail.before = "serving";
    detail.after = "draining";
    return error_kind::none;
}

error_kind control_state::apply_body(const retire_target &body, const command &,
                                     audit_detail &detail, applied &) {
    target_record *record = live_target(body.number);
    if (record == nullptr) {
        return error_kind::not_found;
    }
    for (const range_record &range : ranges_of(*record)) {
        if (range.owner == body.number || range.recover_from == body.number) {
            return error_kind::cancelled;
        }
    }
    detail.subject = record->name;
    detail.before = "draining";
    detail.after = "gone";
    end_target(*record);
    return error_kind::none;
}

error_kind control_state::apply_body(const grant_ranges &body, const command &,
                                     audit_detail &detail, applied &) {
    std::vector<range_choice> done;
    for (const range_choice &choice : body.choices) {
        range_record *range = range_at(body.service, choice.first);
        const target_record *target = live_target(choice.to);
        if (range == nullptr || target == nullptr || range->owner != no_target ||
            target->phase != target_phase::serving || target->service != body.service) {
            continue;
        }
        range->owner = choice.to;
        range->token = m_version;
        record_range_change(body.service, range->first);
        done.push_back(choice);
    }
    detail.subject = body.service;
    detail.before = "no owner";
    detail.after = choices_text(done);
    return done.empty() ? error_kind::cancelled : error_kind::none;
}

error_kind control_state::apply_body(const plan_moves &body, const command &, audit_detail &detail,
                                     applied &) {
    std::vector<range_choice> before;
    std::vector<range_choice> done;
    for (const range_choice &choice : body.choices) {
        range_record *range = range_at(body.service, choice.first);
        const target_record *target = live_target(choice.to);
        const bool movable = range != nullptr && range->owner != no_target &&
                             range->owner != choice.to && range->next == no_target;
        if (!movable || target == nullptr || target->phase != target_phase::serving ||
            target->service != body.service) {
            continue;
        }
        before.push_back({range->first, range->owner});
        range->next = choice.to;
        record_range_change(body.service, range->first);
        done.push_back(choice);
    }
    detail.subject = body.service;
    detail.before = choices_text(before);
    detail.after = choices_text(done);
    return done.empty() ? error_kind::cancelled : error_kind::none;
}

error_kind control_state::apply_body(const release_range &body, const command &,
                                     audit_detail &detail, applied &) {
    range_record *range = range_at(body.service, body.first);
    if (range == nullptr || range->token != body.token || range->owner == no_target ||
        body.to == no_target || range->next != body.to) {
        return error_kind::cancelled;
    }
    detail.subject = range_subject(body.service, body.first);
    detail.before = dump(nlohmann::json(*range));
    range->owner = range->next;
    range->next = no_target;
    range->token = m_version;
    range->handover = body.handover;
    if (range->memory == idempotency_state::fetch) {
        range->memory = idempotency_state::complete;
        range->recover_from = no_target;
        range->recover_of = no_target;
    }
    record_range_change(body.service, range->first);
    detail.after = dump(nlohmann::json(*range));
    return error_kind::none;
}

error_kind control_state::apply_body(const split_range &body, const command &, audit_detail &detail,
                                     applied &) {
    const auto found = m_ranges.find(body.service);
    if (found == m_ranges.end()) {
        return error_kind::not_found;
    }
    const auto place = position_of(found->second, body.at);
    if (place->first == body.at || place->next != no_target) {
        return error_kind::cancelled;
    }
    range_record upper = *place;
    upper.first = body.at;
    detail.subject = range_subject(body.service, place->first);
    detail.after = "cut at " + std::to_string(body.at);
    record_range_change(body.service, place->first);
    record_range_change(body.service, body.at);
    found->second.insert(std::next(place), upper);
    return error_kind::none;
}

error_kind control_state::apply_body(const merge_range &body, const command &, audit_detail &detail,
                                     applied &) {
    const auto found = m_ranges.find(body.service);
    if (found == m_ranges.end() || body.first == 0) {
        return error_kind::not_found;
    }
    const auto place = position_of(found->second, body.first);
    if (place->first != body.first) {
        return error_kind::cancelled;
    }
    range_record &lower = *std::prev(place);
    const bool settled = lower.next == no_target && place->next == no_target &&
                         lower.memory == idempotency_state::complete &&
                         place->memory == idempotency_state::complete;
    if (lower.owner != place->owner || !settled) {
        return error_kind::cancelled;
    }
    lower.token = std::max(lower.token, place->token);
    detail.subject = range_subject(body.service, body.first);
    detail.after = "joined to " + std::to_string(std::prev(place)->first);
    record_range_change(body.service, body.first);
    record_range_change(body.service, std::prev(place)->first);
    found->second.erase(place);
    return error_kind::none;
}

error_kind control_state::apply_body(const set_standby &body, const command &, audit_detail &detail,
                                     applied &) {
    target_record *record = live_target(body.number);
    if (record == nullptr || body.standby == body.number) {
        return error_kind::not_found;
    }
    const target_record *standby = live_target(body.standby);
    if (body.standby != no_target && standby == nullptr) {
        return error_kind::cancelled;
    }
    // Only the copy of the current standby can be marked complete.
    if (body.ready && (record->standby != body.standby || record->standby_epoch != body.epoch)) {
        return error_kind::cancelled;
    }
    if (record->standby == body.standby && record->standby_ready == body.ready) {
        return error_kind::cancelled;
    }
    detail.subject = record->name;
    detail.before = std::to_string(record->standby) + (record->standby_ready ? " ready" : "");
    record->standby = body.standby;
    record->standby_ready = body.ready;
    record->standby_epoch = body.ready ? body.epoch : m_version;
    detail.after = std::to_string(record->standby) + (record->standby_ready ? " ready" : "");
    record_target_change(body.number);
    return error_kind::none;
}

error_kind control_state::apply_body(const restore_memory &body, const command &,
                                     audit_detail &detail, applied &) {
    range_record *range = range_at(body.service, body.first);
    const bool still_current = range != nullptr && range->token == body.token &&
                               range->owner == body.owner && range->memory == body.was;
    if (!still_current || range->memory == idempotency_state::complete) {
        return error_kind::cancelled;
    }
    detail.subject = range_subject(body.service, body.first);
    detail.before = dump(nlohmann::json(range->memory));
    detail.after = "complete";
    range->memory = idempotency_state::complete;
    range->recover_from = no_target;
    range->recover_of = no_target;
    range->lost_at_ms = 0;
    record_range_change(body.service, range->first);
    return error_kind::none;
}

error_kind control_state::apply_body(const report_crash &body, const command &value,
                                     audit_detail &detail, applied &) {
    if (m_crash_history.has_recorded(body.life)) {
        return error_kind::cancelled; // duplicate report
    }
    const std::vector<suspect_request> listed = m_crash_history.listed();
    const std::vector<std::uint64_t> quarantined =
        m_crash_history.record_crash(body.life, body.running, value.wall_ms);
    if (m_crash_history.listed() != listed) {
        m_suspects_version = m_version;
    }
    detail.subject = body.target;
    detail.before = "running: " + fingerprints_text(body.running);
    detail.after =
        quarantined.empty() ? "none quarantined" : "quarantined: " + fingerprints_text(quarantined);
    return error_kind::none;
}

error_kind control_state::apply_body(const clear_suspects &body, const command &,
                                     audit_detail &detail, applied &) {
    const std::vector<suspect_request> listed = m_crash_history.listed();
    std::vector<std::uint64_t> cleared;
    for (const std::uint64_t fingerprint : body.fingerprints) {
        const bool known = body.probation ? m_crash_history.put_on_probation(fingerprint)
                                          : m_crash_history.remove_suspect(fingerprint);
        if (known) {
            cleared.push_back(fingerprint);
        }
    }
    if (m_crash_history.listed() != listed) {
        m_suspects_version = m_version;
    }
    detail.subject = "suspect requests";
    detail.before = fingerprints_text(cleared);
    detail.after = body.probation ? "on probation" : "cleared";
    return cleared.empty() ? error_kind::cancelled : error_kind::none;
}

error_kind control_state::apply_body(const evacuate_domain &body, const command &,
                                     audit_detail &detail, applied &) {
    const bool changed = body.withdrawn ? m_evacuated.erase(body.domain) != 0
                                        : m_evacuated.insert(body.domain).second;
    if (!changed) {
        return error_kind::cancelled;
    }
    m_evacuations_version = m_version;
    detail.subject = body.domain;
    detail.before = body.withdrawn ? "evacuated" : "in use";
    detail.after = body.withdrawn ? "in use" : "evacuated";
    return error_kind::none;
}

std::string control_state::encode() const {
    nlohmann::json targets = nlohmann::json::array();
    for (const auto &[number, record] : m_targets) {
        targets.push_back(record);
    }
    const nlohmann::json json{{"v", state_version},
                              {"version", m_version},
                              {"table_csv", m_table.rows().empty() ? "" : m_table.to_csv()},
                              {"table_version", m_table_version},
                              {"table_change_id", m_table_change_id},
                              {"table_actor", m_table_actor},
                              {"routes", m_routes.version == 0 ? "" : peppertack::encode(m_routes)},
                              {"targets", targets},
                              {"last_number", m_last_number},
                              {"ranges", m_ranges},
                              {"answers", m_answers},
                              {"crashes", m_crash_history.entries()},
                              {"crashed_lives", m_crash_history.recorded_incarnations()},
                              {"suspects_version", m_suspects_version},
                              {"evacuated", m_evacuated},
                              {"evacuations_version", m_evacuations_version},
                              {"audit", m_audit}};
    return dump(json);
}

std::optional<control_state> control_state::decode(std::string_view text, std::string &reason) {
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        if (json.at("v").get<int>() != state_version) {
            reason = "state version " + json.at("v").dump() + " is not supported";
            return std::nullopt;
        }
        control_state state;
        json.at("version").get_to(state.m_version);
        const auto csv = json.at("table_csv").get<std::string>();
        std::vector<table_problem> problems;
        if (!csv.empty()) {
            const std::optional<table> read = make_table(csv, problems);
            if (!read) {
                reason = "table in the snapshot: " + describe(problems.front());
                return std::nullopt;
            }
            state.m_table = *read;
        }
        json.at("table_version").get_to(state.m_table_version);
        json.at("table_change_id").get_to(state.m_table_change_id);
        json.at("table_actor").get_to(state.m_table_actor);
        // Snapshots of earlier versions contain no routing table.
        if (const std::string routing = json.value("routes", ""); !routing.empty()) {
            std::optional<routing_table> read = decode_routing_table(routing, reason);
            if (!read) {
                reason = "routing table in the snapshot: " + reason;
                return std::nullopt;
            }
            state.m_routes = std::move(*read);
        }
        for (const auto &item : json.at("targets")) {
            const auto record = item.get<target_record>();
            state.m_targets[record.number] = record;
            if (record.phase != target_phase::gone) {
                state.m_live[record.service].insert(record.number);
            }
        }
        json.at("last_number").get_to(state.m_last_number);
        json.at("ranges").get_to(state.m_ranges);
        json.at("answers").get_to(state.m_answers);
        json.at("audit").get_to(state.m_audit);
        // Snapshots of earlier versions contain no crash history.
        if (json.contains("crashes")) {
            state.m_crash_history = crash_history::restored(
                json.at("crashes").get<std::map<std::uint64_t, suspect_record>>(),
                json.at("crashed_lives").get<std::deque<std::uint64_t>>());
            json.at("suspects_version").get_to(state.m_suspects_version);
        }
        // Nor evacuations.
        state.m_evacuated = json.value("evacuated", state.m_evacuated);
        state.m_evacuations_version = json.value("evacuations_version", std::uint64_t{0});
        state.m_feed_base_version = state.m_version;
        for (const auto &[service, ranges] : state.m_ranges) {
            const bool sorted = std::is_sorted(
                ranges.begin(), ranges.end(),
                [](const range_record &a, const range_record &b) { return a.first < b.first; });
            if (ranges.empty() || ranges.front().first != 0 || !sorted) {
                reason = "ranges of " + service + " do not cover the key space in order";
                return std::nullopt;
            }
        }
        return state;
    } catch (const nlohmann::json::exception &error) {
        reason = error.what();
        return std::nullopt;
    }
}

} // namespace peppertack
