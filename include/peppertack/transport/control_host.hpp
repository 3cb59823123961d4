#pragma once

#include "peppertack/coordination/control_core.hpp"
#include "peppertack/state/audit_log.hpp"
#include "peppertack/transport/daemon_settings.hpp"

#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace peppertack {

/// Runs the control part of a voter on a thread of its own, with its files. All public methods are
/// thread safe; they hand work to that thread.
class control_host {
public:
    using sender = std::function<void(const outgoing &)>;

    /// Opens the data folder. Yields nothing, with the reason, if it can't be used.
    static std::unique_ptr<control_host> make(const daemon_settings &settings, sender send,
                                              std::string &reason);
    ~control_host();

    void start();
    void stop();
    void receive(const node_address &from, message body);

    /// Proposes a command and waits for its answer; nothing if none came in time, when it may or
    /// may not take effect.
    std::optional<submit_answer> submit(command value, duration patience);
    /// False if this voter does not lead, or a change is under way.
    bool replace_voter(const node_address &learner, const std::optional<node_address> &replaces);

    bool leads() const;
    node_address leader() const;
    nlohmann::json dump() const;
    /// Table in force, for operators; nothing if this voter does not lead.
    std::optional<nlohmann::json> table_view() const;
    std::optional<nlohmann::json> table_status() const;
    std::optional<nlohmann::json> targets_view() const;
    /// Records of the audit chain held by this voter, oldest first.
    std::vector<audit_record> audit_records() const;

private:
    class impl;
    explicit control_host(std::unique_ptr<impl> body);

    std::unique_ptr<impl> m_impl;
};

} // namespace peppertack
