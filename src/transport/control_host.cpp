#include "peppertack/transport/control_host.hpp"

#include "peppertack/coordination/durable_voter.hpp"
#include "peppertack/protocol/codec.hpp"
#include "peppertack/state/routing_delta.hpp"

#include "peppertack/state/key_hash.hpp"
#include "peppertack/state/posix_storage.hpp"
#include "peppertack/transport/delay_meter.hpp"
#include "peppertack/transport/json_log.hpp"
#include "wall_clock.hpp"

#include <algorithm>
#include <asio.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace peppertack {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(10);
constexpr auto answer_limit = std::chrono::seconds(5);
constexpr auto slow_disk = std::chrono::milliseconds(250);
/// A third of a lease: renewals that wait for so long are at risk.
constexpr auto control_stall = std::chrono::milliseconds(250);

const char *phase_name(target_phase phase) {
    constexpr std::array<const char *, 3> names{"serving", "draining", "gone"};
    return names[static_cast<std::size_t>(phase)];
}

const char *role_name(replica::role role) {
    constexpr std::array<const char *, 4> names{"follower", "candidate", "leader", "failed"};
    return names[static_cast<std::size_t>(role)];
}

} // namespace

class control_host::impl {
public:
    impl(std::unique_ptr<posix_storage> files, audit_log audit, sender send)
        : m_files(std::move(files)), m_audit(std::move(audit)), m_told(m_audit.last_sequence()),
          m_send(std::move(send)), m_timer(m_io), m_work(asio::make_work_guard(m_io)),
          m_disk_work(asio::make_work_guard(m_disk)) {}

    bool prepare(control_options options, std::optional<stored_file> companion,
                 std::string &reason) {
        m_voter = durable_voter::make(
            {.control = std::move(options),
             .log = {.write_behind = true, .companion = std::move(companion)}},
            *m_files, [this](const audit_record &record) { return note(record); }, read_clocks(),
            reason);
        return m_voter != nullptr;
    }

    void start() {
        schedule_tick();
        m_thread = std::thread([this] { m_io.run(); });
        m_disk_thread = std::thread([this] { m_disk.run(); });
    }

    /// Waits for the call to the disk that is under way. What waits behind it was promised to
    /// nobody.
    void stop() {
        m_io.stop();
        m_disk.stop();
        for (std::thread *thread : {&m_thread, &m_disk_thread}) {
            if (thread->joinable()) {
                thread->join();
            }
        }
    }

    /// Runs `work` on the control thread, then sends what followed from it.
    template <class Work> void post(Work work) {
        asio::post(m_io, [this, work = std::move(work)]() mutable {
            work(part());
            carry_out();
        });
    }

    /// Runs `work` on the control thread and waits for its result.
    template <class Result>
    std::optional<Result> ask(std::function<Result(control_core &, impl &)> work) {
        auto promise = std::make_shared<std::promise<Result>>();
        std::future<Result> future = promise->get_future();
        asio::post(m_io, [this, promise, work = std::move(work)] {
            promise->set_value(work(part(), *this));
            carry_out();
        });
        if (future.wait_for(answer_limit) != std::future_status::ready) {
            return std::nullopt;
        }
        return future.get();
    }

    std::future<submit_answer> submit(command value) {
        auto promise = std::make_shared<std::promise<submit_answer>>();
        std::future<submit_answer> future = promise->get_future();
        post([this, promise, value = std::move(value)](control_core &core) mutable {
            const std::uint64_t ticket = core.submit(std::move(value), read_clocks());
            m_waiting[ticket] = [promise](submit_answer answer) {
                promise->set_value(std::move(answer));
            };
        });
        return future;
    }

    void change_routes(routes_change change, std::function<void(routes_answer)> done) {
        post(
            [this, change = std::move(change), done = std::move(done)](control_core &core) mutable {
                if (!core.enough_voters()) {
                    done({.error = error_kind::not_leader, .leader = core.replication().leader()});
                    return;
                }
                // Also a refusal must come from the leader: one that was replaced without noticing
                // would refuse what builds on changes it has not seen.
                const std::uint64_t ticket = core.confirm_leadership(read_clocks());
                m_waiting[ticket] = [this, change = std::move(change),
                                     done = std::move(done)](const submit_answer &proof) {
                    if (proof.error != error_kind::none) {
                        done({.error = proof.error, .leader = part().replication().leader()});
                    } else {
                        judge(change, done);
                    }
                };
            });
    }

    /// An order that changes nothing is logged too: one before it, which does, may not be committed
    /// yet.
    void change_evacuation(evacuation_order order, std::function<void(evacuation_answer)> done) {
        post([this, order = std::move(order), done = std::move(done)](control_core &core) mutable {
            if (!core.established() || !core.enough_voters()) {
                done({.error = error_kind::not_leader, .leader = core.replication().leader()});
                return;
            }
            if (!core.knows_domain(order.body.domain)) {
                done({.error = error_kind::not_found});
                return;
            }
            command value{.actor = order.actor,
                          .cause = order.body.withdrawn ? "evacuation withdrawn"
                                                        : "failure domain evacuated",
                          .body = std::move(order.body)};
            const std::uint64_t ticket = core.submit(std::move(value), read_clocks());
            m_waiting[ticket] = [this, done = std::move(done)](const submit_answer &answer) {
                const bool unchanged = answer.error == error_kind::cancelled;
                done({.error = unchanged ? error_kind::none : answer.error,
                      .leader = part().replication().leader()});
            };
        });
    }

    void read_routes(std::function<void(routes_answer)> done) {
        post([this, done = std::move(done)](control_core &core) mutable {
            const std::uint64_t ticket = core.confirm_leadership(read_clocks());
            m_waiting[ticket] = [this, done = std::move(done)](const submit_answer &proof) {
                routes_answer answer{.error = proof.error, .leader = part().replication().leader()};
                if (proof.error == error_kind::none) {
                    answer.routing = part().state().routes();
                }
                done(std::move(answer));
            };
        });
    }

    void announce_leaving() {
        post([](control_core &core) { core.announce_leaving(read_clocks()); });
    }

    std::string delays_text() const { return m_disk_time.text() + m_thread_delay.text(); }
    nlohmann::json delays_json() const {
        const auto ms = [](duration value) { return value / std::chrono::milliseconds(1); };
        return {{"longest_disk_write_ms", ms(m_disk_time.longest())},
                {"longest_control_thread_delay_ms", ms(m_thread_delay.longest())}};
    }

    /// Every record of the archive, read on the disk's thread.
    std::optional<std::vector<audit_record>> read_audit() {
        auto promise = std::make_shared<std::promise<std::vector<audit_record>>>();
        std::future<std::vector<audit_record>> future = promise->get_future();
        asio::post(m_disk, [this, promise] { promise->set_value(m_audit.read_all()); });
        if (future.wait_for(answer_limit) != std::future_status::ready) {
            return std::nullopt;
        }
        return future.get();
    }

private:
    /// Precondition: leadership was proved in this step.
    void judge(const routes_change &change, const std::function<void(routes_answer)> &done) {
        const control_state &state = part().state();
        if (const auto earlier = state.earlier_answer(change.change_id)) {
            done({.error = earlier->error, .version = earlier->version});
            return;
        }
        routes_answer refusal{.version = state.routes().version};
        if (change.base_version != state.routes().version) {
            refusal.error = error_kind::version_conflict;
            done(refusal);
            return;
        }
        const std::optional<routing_table> next = change.edit(state.routes(), refusal.problem);
        if (!next) {
            refusal.error = error_kind::bad_table;
            done(refusal);
            return;
        }
        if (const auto problem = check_routing_table(*next)) {
            refusal.error = error_kind::bad_table;
            refusal.problem = *problem;
            done(refusal);
            return;
        }
        command value{.actor = change.actor, .cause = change.cause};
        value.body = peppertack::change_routes{change.change_id, change.base_version,
                                               encode(difference(state.routes(), *next))};
        const std::uint64_t ticket = part().submit(std::move(value), read_clocks());
        m_waiting[ticket] = [this, done](const submit_answer &answer) {
            routes_answer told{.error = answer.error, .leader = part().replication().leader()};
            if (answer.change) {
                // The same change may have been taken from another process meanwhile.
                told.error = answer.change->error;
                told.version = answer.change->version;
            }
            done(std::move(told));
        };
    }

    bool note(const audit_record &record) {
        // A fresh part, or process, applies again what the log holds behind its snapshot.
        if (record.sequence > m_told) {
            m_told = record.sequence;
            log_event(log_level::info, "decision",
                      {{"kind", record.kind},
                       {"actor", record.actor},
                       {"cause", record.cause},
                       {"subject", record.subject},
                       {"sequence", record.sequence}});
        }
        m_new_records.push_back(record);
        return true;
    }

    void archive(const std::vector<audit_record> &records) {
        for (const audit_record &record : records) {
            if (!m_audit.append(record)) {
                log_event(log_level::error, "audit_write_failed",
                          {{"reason", m_files->last_reason()}});
            }
        }
    }

    void schedule_tick() {
        m_timer.expires_after(tick_interval);
        m_timer.async_wait([this, due = read_clocks().now + tick_interval](asio::error_code error) {
            if (error) {
                return;
            }
            const instant now = read_clocks().now;
            m_thread_delay.note(std::max(now - due, duration{}), now);
            part().tick(read_clocks());
            carry_out();
            tend_disk();
            note_role();
            schedule_tick();
        });
    }

    void carry_out() {
        for (const outgoing &item : part().take_outgoing()) {
            m_send(item);
        }
        // An answer may lead to another submission, whose answer is then here too.
        for (std::vector<submit_answer> answers = part().take_answers(); !answers.empty();
             answers = part().take_answers()) {
            for (submit_answer &answer : answers) {
                if (auto found = m_waiting.extract(answer.ticket)) {
                    found.mapped()(std::move(answer));
                }
            }
        }
        for (const outgoing &item : part().take_outgoing()) {
            m_send(item);
        }
        start_disk_task();
    }

    void start_disk_task() {
        if (!m_new_records.empty()) {
            asio::post(m_disk,
                       [this, records = std::exchange(m_new_records, {})] { archive(records); });
        }
        std::optional<durable_voter::disk_task> task = m_voter->take_disk_task();
        if (!task) {
            return;
        }
        const instant begun = read_clocks().now;
        asio::post(m_disk, [this, begun, task = std::move(*task)]() mutable {
            task.run();
            asio::post(m_io, [this, begun, finish = std::move(task.finish)] {
                const moment at = read_clocks();
                m_disk_time.note(at.now - begun, at.now);
                tell_disk_news(finish(at), at);
                carry_out();
            });
        });
    }

    void tend_disk() {
        const moment at = read_clocks();
        tell_disk_news(m_voter->check_disk(at), at);
        start_disk_task();
    }

    void tell_disk_news(durable_voter::disk_event news, moment at) {
        switch (news) {
        case durable_voter::disk_event::none: break;
        case durable_voter::disk_event::failed:
        case durable_voter::disk_event::damaged: tell_role(m_voter->last_reason()); break;
        case durable_voter::disk_event::recovered:
            give_up_waiting();
            tell_role("the disk takes writes again, after " +
                      std::to_string(m_voter->outage_duration(at) / std::chrono::milliseconds(1)) +
                      " ms and " + std::to_string(m_voter->reopen_attempts()) + " tries");
            break;
        }
    }

    /// The tickets of a fresh part begin anew: whoever still waited under an old one would be given
    /// the answer to another call.
    void give_up_waiting() {
        for (const auto &[ticket, done] : std::exchange(m_waiting, {})) {
            done({.ticket = ticket, .error = error_kind::not_leader, .certain = false});
        }
    }

    void note_role() {
        if (part().replication().current_role() != m_role) {
            tell_role(part().replication().last_reason());
        }
    }

    void tell_role(const std::string &reason) {
        m_role = part().replication().current_role();
        log_event(m_role == replica::role::failed ? log_level::error : log_level::info,
                  "voter_role",
                  {{"role", role_name(m_role)},
                   {"term", part().replication().term()},
                   {"reason", reason}});
    }

    control_core &part() { return m_voter->core(); }

    std::unique_ptr<posix_storage> m_files; ///< belongs to the disk's thread while that runs
    audit_log m_audit;                      ///< so does this
    /// Last decision that has a line in the log. Those in the archive have theirs: after a loss of
    /// power a new leader spent half a second on 3,700 lines told before.
    std::uint64_t m_told;
    std::vector<audit_record> m_new_records; ///< not yet passed to the archive
    sender m_send;
    asio::io_context m_io;
    asio::steady_timer m_timer;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::unique_ptr<durable_voter> m_voter;
    std::map<std::uint64_t, std::function<void(submit_answer)>> m_waiting;
    delay_meter m_disk_time{
        {.metric = "peppertack_voter_disk_ms", .event = "voter_disk_slow", .log_above = slow_disk}};
    delay_meter m_thread_delay{{.metric = "peppertack_control_thread_delay_ms",
                                .event = "control_thread_stalled",
                                .log_above = control_stall}};
    replica::role m_role = replica::role::follower;
    std::thread m_thread;
    /// Calls to the disk, in their order. On the control thread each would hold up heartbeats and
    /// renewals for as long as the disk takes.
    asio::io_context m_disk;
    asio::executor_work_guard<asio::io_context::executor_type> m_disk_work;
    std::thread m_disk_thread;
};

control_host::control_host(std::unique_ptr<impl> body) : m_impl(std::move(body)) {}

control_host::~control_host() {
    stop();
}

std::unique_ptr<control_host> control_host::make(const daemon_settings &settings,
                                                 const voter_identity &identity, sender send,
                                                 std::string &reason) {
    std::unique_ptr<posix_storage> files = posix_storage::make(settings.data_folder, reason);
    if (!files) {
        return nullptr;
    }
    std::optional<audit_log> audit =
        audit_log::open(*files, {.max_segments = settings.audit_segments}, reason);
    if (!audit) {
        return nullptr;
    }
    auto body = std::make_unique<impl>(std::move(files), std::move(*audit), std::move(send));
    control_options options = control_options_of(settings, random_number());
    options.replication.self = identity.name;
    options.encode_map = encode_map;
    if (!identity.founders.empty()) {
        options.replication.initial.voters = {identity.founders.begin(), identity.founders.end()};
    }
    if (!body->prepare(std::move(options), identity.unstored, reason)) {
        return nullptr;
    }
    return std::unique_ptr<control_host>(new control_host(std::move(body)));
}

void control_host::start() {
    m_impl->start();
}

void control_host::stop() {
    m_impl->stop();
}

void control_host::receive(const node_address &from, message body) {
    m_impl->post([from, body = std::move(body)](control_core &core) {
        core.receive(from, body, read_clocks());
    });
}

std::optional<submit_answer> control_host::submit(command value, duration patience) {
    std::future<submit_answer> answer = m_impl->submit(std::move(value));
    if (answer.wait_for(patience) != std::future_status::ready) {
        return std::nullopt;
    }
    return answer.get();
}

void control_host::change_routes(routes_change change, std::function<void(routes_answer)> done) {
    m_impl->change_routes(std::move(change), std::move(done));
}

void control_host::change_evacuation(evacuation_order order,
                                     std::function<void(evacuation_answer)> done) {
    m_impl->change_evacuation(std::move(order), std::move(done));
}

void control_host::read_routes(std::function<void(routes_answer)> done) {
    m_impl->read_routes(std::move(done));
}

namespace {

std::string metrics_text(const control_core &core) {
    const replica &log = core.replication();
    const auto &suspects = core.state().crashes().entries();
    const auto quarantined = std::count_if(
        suspects.begin(), suspects.end(), [](const auto &item) { return item.second.quarantined; });
    std::ostringstream out;
    out << "peppertack_voter_leads " << (core.established() ? 1 : 0) << "\n"
        << "peppertack_voter_failed " << (log.current_role() == replica::role::failed ? 1 : 0)
        << "\n"
        << "peppertack_voter_term " << log.term() << "\n"
        << "peppertack_voters " << log.members().voters.size() << "\n"
        << "peppertack_commit_index " << log.commit_index() << "\n"
        << "peppertack_state_version " << core.state().version() << "\n"
        << "peppertack_routes_version " << core.state().routes().version << "\n"
        << "peppertack_quarantined_requests " << quarantined << "\n"
        << "peppertack_evacuated_domains " << core.state().evacuated().size() << "\n"
        << "peppertack_nodes_known " << core.nodes().size() << "\n"
        << "peppertack_log_lines_dropped_total " << dropped_log_lines() << "\n";
    for (const auto &[service, ranges] : core.state().ranges()) {
        const auto count = [&ranges = ranges](auto holds) {
            return std::count_if(ranges.begin(), ranges.end(), holds);
        };
        const std::string label = "{service=\"" + service + "\"} ";
        out << "peppertack_ranges" << label << ranges.size() << "\n"
            << "peppertack_ranges_without_owner" << label
            << count([](const range_record &range) { return range.owner == no_target; }) << "\n"
            << "peppertack_ranges_moving" << label
            << count([](const range_record &range) { return range.next != no_target; }) << "\n"
            << "peppertack_owner_changes_total" << label << core.owner_changes(service) << "\n";
    }
    return out.str();
}

} // namespace

void control_host::read_metrics(std::function<void(std::string)> done) {
    m_impl->post([this, done = std::move(done)](control_core &core) {
        done(metrics_text(core) + m_impl->delays_text());
    });
}

void control_host::announce_leaving() {
    m_impl->announce_leaving();
}

bool control_host::replace_voter(const node_address &learner,
                                 const std::optional<node_address> &replaces) {
    const std::function<bool(control_core &, impl &)> work = [&](control_core &core, impl &) {
        return core.replace_voter(learner, replaces, read_clocks());
    };
    return m_impl->ask<bool>(work).value_or(false);
}

bool control_host::leads() const {
    const std::function<bool(control_core &, impl &)> work = [](control_core &core, impl &) {
        return core.established();
    };
    return m_impl->ask<bool>(work).value_or(false);
}

node_address control_host::leader() const {
    const std::function<node_address(control_core &, impl &)> work =
        [](control_core &core, impl &) { return core.replication().leader(); };
    return m_impl->ask<node_address>(work).value_or("");
}

namespace {

nlohmann::json targets_json(const control_core &core) {
    std::map<target_number, std::size_t> owned;
    for (const auto &[service, ranges] : core.state().ranges()) {
        for (const range_record &range : ranges) {
            ++owned[range.owner];
        }
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[number, record] : core.state().targets()) {
        if (record.phase == target_phase::gone) {
            continue;
        }
        const target_record *standby = core.state().find_target(record.standby);
        list.push_back({{"number", number},
                        {"name", record.name},
                        {"service", record.service},
                        {"failure_domain", record.failure_domain},
                        {"node", record.node_address},
                        {"phase", phase_name(record.phase)},
                        {"slots", record.slots},
                        {"checks_tokens", record.checks_tokens},
                        {"ranges", owned[number]},
                        {"standby", standby == nullptr ? "" : standby->name},
                        {"standby_ready", record.standby_ready}});
    }
    return list;
}

/// Evacuated failure domains, with what is left there.
nlohmann::json evacuations_json(const control_core &core) {
    nlohmann::json list = nlohmann::json::array();
    for (const std::string &domain : core.state().evacuated()) {
        std::set<target_number> targets;
        for (const auto &[number, record] : core.state().targets()) {
            if (record.phase != target_phase::gone && record.failure_domain == domain) {
                targets.insert(number);
            }
        }
        std::size_t left = 0;
        for (const auto &[service, ranges] : core.state().ranges()) {
            left += static_cast<std::size_t>(
                std::count_if(ranges.begin(), ranges.end(), [&](const range_record &range) {
                    return targets.count(range.owner) != 0;
                }));
        }
        list.push_back(
            {{"failure_domain", domain}, {"targets", targets.size()}, {"ranges_left", left}});
    }
    return list;
}

nlohmann::json table_status_json(const control_core &core) {
    const std::uint64_t version = core.state().table_version();
    nlohmann::json laggards = nlohmann::json::array();
    for (const auto &[address, node] : core.nodes()) {
        if (node.table_version != version) {
            laggards.push_back({{"node", address}, {"table_version", node.table_version}});
        }
    }
    return {{"version", version},
            {"nodes", core.nodes().size()},
            {"in_force_everywhere", laggards.empty()},
            {"laggards", laggards}};
}

} // namespace

nlohmann::json control_host::dump() const {
    const std::function<nlohmann::json(control_core &, impl &)> work = [](control_core &core,
                                                                          impl &body) {
        const replica &log = core.replication();
        nlohmann::json json{{"role", role_name(log.current_role())},
                            {"term", log.term()},
                            {"leader", log.leader()},
                            {"commit_index", log.commit_index()},
                            {"state_version", core.state().version()},
                            {"table", table_status_json(core)},
                            {"voters", log.members().voters},
                            {"audit_sequence", core.state().audit().sequence},
                            {"audit_hash", core.state().audit().hash},
                            {"evacuations", evacuations_json(core)},
                            {"delays", body.delays_json()},
                            {"targets", targets_json(core)}};
        nlohmann::json &services = json["services"];
        services = nlohmann::json::object();
        for (const auto &[service, ranges] : core.state().ranges()) {
            std::size_t unowned = 0;
            std::size_t moving = 0;
            std::size_t memory_lost = 0;
            for (const range_record &range : ranges) {
                unowned += range.owner == no_target ? 1 : 0;
                moving += range.next != no_target ? 1 : 0;
                memory_lost += range.memory == idempotency_state::lost ? 1 : 0;
            }
            services[service] = {{"ranges", ranges.size()},
                                 {"without_owner", unowned},
                                 {"moving", moving},
                                 {"memory_lost", memory_lost},
                                 {"owner_changes", core.owner_changes(service)},
                                 {"imbalance", core.imbalance_of(service)}};
        }
        return json;
    };
    return m_impl->ask<nlohmann::json>(work).value_or(nlohmann::json{{"busy", true}});
}

using view = std::optional<nlohmann::json>;

std::optional<nlohmann::json> control_host::table_view() const {
    const std::function<view(control_core &, impl &)> work = [](control_core &core,
                                                                impl &) -> view {
        if (!core.established()) {
            return std::nullopt;
        }
        return nlohmann::json{{"version", core.state().table_version()},
                              {"change_id", core.state().table_change_id()},
                              {"actor", core.state().table_actor()},
                              {"csv", core.state().current_table().to_csv()}};
    };
    return m_impl->ask<view>(work).value_or(std::nullopt);
}

std::optional<nlohmann::json> control_host::table_status() const {
    const std::function<view(control_core &, impl &)> work = [](control_core &core,
                                                                impl &) -> view {
        return core.established() ? view(table_status_json(core)) : std::nullopt;
    };
    return m_impl->ask<view>(work).value_or(std::nullopt);
}

std::optional<nlohmann::json> control_host::targets_view() const {
    const std::function<view(control_core &, impl &)> work = [](control_core &core,
                                                                impl &) -> view {
        return core.established() ? view(targets_json(core)) : std::nullopt;
    };
    return m_impl->ask<view>(work).value_or(std::nullopt);
}

std::optional<nlohmann::json> control_host::evacuations_view() const {
    const std::function<view(control_core &, impl &)> work = [](control_core &core,
                                                                impl &) -> view {
        return core.established() ? view(evacuations_json(core)) : std::nullopt;
    };
    return m_impl->ask<view>(work).value_or(std::nullopt);
}

std::optional<nlohmann::json> control_host::suspects_view() const {
    const std::function<view(control_core &, impl &)> work = [](control_core &core,
                                                                impl &) -> view {
        if (!core.established()) {
            return std::nullopt;
        }
        nlohmann::json list = nlohmann::json::array();
        for (const auto &[fingerprint, suspect] : core.state().crashes().entries()) {
            list.push_back({{"fingerprint", fingerprint_text(fingerprint)},
                            {"ends", suspect.crashed_incarnations.size()},
                            {"last_end_ms", suspect.seen_ms},
                            {"quarantined", suspect.quarantined}});
        }
        return list;
    };
    return m_impl->ask<view>(work).value_or(std::nullopt);
}

std::vector<audit_record> control_host::audit_records() const {
    return m_impl->read_audit().value_or(std::vector<audit_record>{});
}

} // namespace peppertack
