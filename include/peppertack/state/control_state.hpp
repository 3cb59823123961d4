#pragma once

#include "peppertack/state/audit_record.hpp"
#include "peppertack/state/command.hpp"
#include "peppertack/state/crash_history.hpp"
#include "peppertack/state/error_kind.hpp"
#include "peppertack/state/records.hpp"
#include "peppertack/state/routing_table.hpp"
#include "peppertack/state/table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// Response to an operator's change request; stored so that a resend gets the same response.
struct change_answer {
    error_kind error = error_kind::none;
    std::uint64_t version = 0;    ///< version in force after the change was evaluated
    std::string winner_change_id; ///< on a conflict: id of the change that set that version
    std::string winner_actor;

    friend bool operator==(const change_answer &, const change_answer &) = default;
};

/// Entry of the change feed: identifies a range or target that changed. Nodes are sent the entries
/// after the version that they hold.
struct change_feed_item {
    std::uint64_t version = 0;
    std::string service; ///< empty if a target changed
    std::uint64_t first = 0;
    target_number number = no_target;
};

/// The replicated state machine: table, targets, ranges and the head of the audit chain.
/// Deterministic: applying the same commands in the same order gives equal states, and there is no
/// other input. Not thread safe: used only on the control thread.
class control_state {
public:
    control_state() = default;

    struct applied {
        error_kind error = error_kind::none;
        std::optional<audit_record> audit; ///< nullopt if the command was void when applied
        std::optional<change_answer> answer;
    };

    /// Applies the command at log index `index`. Precondition: `index` is above `version()`.
    applied apply(std::uint64_t index, const command &value);
    /// Advances past a log entry that holds no command (an election or membership entry).
    void skip(std::uint64_t index);

    /// Index of the last log entry applied.
    std::uint64_t version() const { return m_version; }
    std::uint64_t table_version() const { return m_table_version; }
    const table &current_table() const { return m_table; }
    const std::string &table_change_id() const { return m_table_change_id; }
    const std::string &table_actor() const { return m_table_actor; }
    /// The operators' routing table; version 0 if none has been set.
    const routing_table &routes() const { return m_routes; }
    /// Whether the table or the routing table names the service, so that its targets may register.
    bool has_service(const std::string &service) const;
    /// Whether the service's keys are ordered numbers. Such ranges are split only between two keys.
    bool has_ordered_keys(const std::string &service) const;
    const std::map<target_number, target_record> &targets() const { return m_targets; }
    /// Targets of a service whose registration has not ended, ordered by number.
    const std::set<target_number> &live_targets(const std::string &service) const;
    const target_record *find_target(target_number number) const;
    const target_record *find_target(std::string_view name) const;
    const std::map<std::string, std::vector<range_record>> &ranges() const { return m_ranges; }
    /// Range that contains `hash`, or null if the service has no ranges.
    const range_record *find_range(const std::string &service, std::uint64_t hash) const;
    /// Requests that were running when targets crashed.
    const crash_history &crashes() const { return m_crash_history; }
    /// State version at which the list of suspect requests that nodes receive last changed; 0
    /// before the first change.
    std::uint64_t suspects_version() const { return m_suspects_version; }
    /// Failure domains whose targets get no requests and no ranges.
    const std::set<std::string> &evacuated() const { return m_evacuated; }
    /// State version at which `evacuated()` last changed; 0 before the first change.
    std::uint64_t evacuations_version() const { return m_evacuations_version; }
    const audit_head &audit() const { return m_audit; }
    /// Changes after `version`, or nullopt if the feed no longer reaches back that far and a full
    /// map is needed.
    std::optional<std::vector<change_feed_item>> changes_since(std::uint64_t version) const;
    /// Number of changes that `changes_since` returns.
    std::optional<std::size_t> count_changes_since(std::uint64_t version) const;
    /// Stored response to the change with this id, if it is still retained.
    std::optional<change_answer> earlier_answer(const std::string &change_id) const;

    /// Encodes the complete state as JSON for snapshots. The change feed is not included.
    std::string encode() const;
    /// Decodes the output of `encode`. Returns nullopt and sets `reason` for any other input.
    static std::optional<control_state> decode(std::string_view text, std::string &reason);

private:
    struct audit_detail {
        std::string before;
        std::string after;
        std::string subject;
    };
    using service_ranges = std::vector<range_record>;

    error_kind apply_body(const change_table &, const command &, audit_detail &, applied &);
    error_kind apply_body(const change_routes &, const command &, audit_detail &, applied &);
    error_kind apply_body(const register_target &, const command &, audit_detail &, applied &);
    error_kind apply_body(const expire_targets &, const command &, audit_detail &, applied &);
    error_kind apply_body(const drain_target &, const command &, audit_detail &, applied &);
    error_kind apply_body(const retire_target &, const command &, audit_detail &, applied &);
    error_kind apply_body(const grant_ranges &, const command &, audit_detail &, applied &);
    error_kind apply_body(const plan_moves &, const command &, audit_detail &, applied &);
    error_kind apply_body(const release_range &, const command &, audit_detail &, applied &);
    error_kind apply_body(const split_range &, const command &, audit_detail &, applied &);
    error_kind apply_body(const merge_range &, const command &, audit_detail &, applied &);
    error_kind apply_body(const set_standby &, const command &, audit_detail &, applied &);
    error_kind apply_body(const restore_memory &, const command &, audit_detail &, applied &);
    error_kind apply_body(const report_crash &, const command &, audit_detail &, applied &);
    error_kind apply_body(const clear_suspects &, const command &, audit_detail &, applied &);
    error_kind apply_body(const evacuate_domain &, const command &, audit_detail &, applied &);

    service_ranges &ranges_of(const target_record &record);
    void end_target(target_record &record);
    std::size_t expire(target_record &record, std::int64_t wall_ms);
    range_record *range_at(const std::string &service, std::uint64_t first);
    target_record *live_target(target_number number);
    void record_range_change(const std::string &service, std::uint64_t first);
    void record_target_change(target_number number);
    void clear_lost_owner(range_record &range, const target_record &owner, std::int64_t wall_ms);
    void cancel_moves_to(const target_record &record);
    void prune_targets();
    void drop_standby_of(const target_record &record);
    void add_services();
    void add_ranges(const std::string &service);
    void remember_answer(const std::string &change_id, const change_answer &answer);

    std::uint64_t m_version = 0;
    table m_table;
    std::uint64_t m_table_version = 0;
    std::string m_table_change_id;
    std::string m_table_actor;
    routing_table m_routes;
    std::map<target_number, target_record> m_targets;
    std::map<std::string, std::set<target_number>> m_live; ///< by service
    target_number m_last_number = 0;
    std::map<std::string, service_ranges> m_ranges;
    service_ranges m_no_ranges; ///< always empty; returned for services without ranges
    std::deque<std::pair<std::string, change_answer>> m_answers;
    crash_history m_crash_history;
    std::uint64_t m_suspects_version = 0;
    std::set<std::string> m_evacuated;
    std::uint64_t m_evacuations_version = 0;
    audit_head m_audit;
    std::deque<change_feed_item> m_change_feed;
    std::uint64_t m_feed_base_version = 0; ///< the feed is complete above this version
};

} // namespace peppertack
