#pragma once

#include "peppertack/coordination/control_core.hpp"
#include "peppertack/state/audit_log.hpp"
#include "peppertack/transport/daemon_settings.hpp"
#include "peppertack/transport/voter_identity.hpp"

#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

/// A change of the routing table by an operator.
struct routes_change {
    std::string change_id; ///< the same for a resend
    std::uint64_t base_version = 0;
    std::string actor;
    std::string cause;
    /// Makes the new routing table from the one in force; nothing, with the place and reason, if it
    /// can't be. Runs on the control thread.
    std::function<std::optional<routing_table>(const routing_table &, routing_problem &)> edit;
};

/// Answer to a change, or to a reading, of the routing table.
struct routes_answer {
    error_kind error = error_kind::none;
    std::uint64_t version = 0;
    routing_problem problem;              ///< for `bad_table`
    node_address leader;                  ///< for `not_leader`: who leads, if that is known
    std::optional<routing_table> routing; ///< for a reading
};

/// An operator's order to evacuate a failure domain, or to withdraw that.
struct evacuation_order {
    evacuate_domain body;
    std::string actor;
};

/// Answer to such an order. `none`: it is in the replicated state, whether or not it was before.
struct evacuation_answer {
    error_kind error = error_kind::none; ///< `not_found`: no such failure domain
    node_address leader;                 ///< for `not_leader`: who leads, if that is known
};

/// Runs the control part of a voter on a thread of its own, with its files. All public methods are
/// thread safe; they hand work to that thread.
class control_host {
public:
    using sender = std::function<void(const outgoing &)>;

    /// Opens the data folder. Yields nothing, with the reason, if it can't be used.
    static std::unique_ptr<control_host> make(const daemon_settings &settings,
                                              const voter_identity &identity, sender send,
                                              std::string &reason);
    ~control_host();

    void start();
    void stop();
    void receive(const node_address &from, message body);

    /// Proposes a command and waits for its answer; nothing if none came in time, when it may or
    /// may not take effect.
    std::optional<submit_answer> submit(command value, duration patience);
    /// Judges a change and puts it into force. The answer comes on the control thread.
    void change_routes(routes_change change, std::function<void(routes_answer)> done);
    /// Evacuates a failure domain, or takes it back into use. The answer comes on the control
    /// thread.
    void change_evacuation(evacuation_order order, std::function<void(evacuation_answer)> done);
    /// The routing table in force, read with proof that this voter leads. The answer comes as
    /// above.
    void read_routes(std::function<void(routes_answer)> done);
    /// Counters and states in the Prometheus exposition format. The text comes on the control
    /// thread.
    void read_metrics(std::function<void(std::string)> done);
    /// This process is about to end.
    void announce_leaving();
    /// False if this voter does not lead, or a change is under way.
    bool replace_voter(const node_address &learner, const std::optional<node_address> &replaces);

    bool leads() const;
    node_address leader() const;
    nlohmann::json dump() const;
    /// Table in force, for operators; nothing if this voter does not lead.
    std::optional<nlohmann::json> table_view() const;
    std::optional<nlohmann::json> table_status() const;
    std::optional<nlohmann::json> targets_view() const;
    /// Evacuated failure domains, with the targets and ranges left there; nothing if this voter
    /// does not lead.
    std::optional<nlohmann::json> evacuations_view() const;
    /// Requests under which targets have ended; nothing if this voter does not lead.
    std::optional<nlohmann::json> suspects_view() const;
    /// Records of the audit chain held by this voter, oldest first.
    std::vector<audit_record> audit_records() const;

private:
    class impl;
    explicit control_host(std::unique_ptr<impl> body);

    std::unique_ptr<impl> m_impl;
};

} // namespace peppertack
