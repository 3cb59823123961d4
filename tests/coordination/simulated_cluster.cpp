#include "simulated_cluster.hpp"

#include "peppertack/coordination/planted_defects.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>

namespace peppertack::testing {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration announce_interval = std::chrono::milliseconds(300);
constexpr duration answer_slack = std::chrono::milliseconds(100);
constexpr duration in_force_limit = std::chrono::seconds(8);
constexpr std::size_t max_violations = 5;
constexpr const char *first_service = "avisos";
constexpr const char *second_service = "emision";

std::string key_name(unsigned int key) {
    return "key-" + std::to_string(key);
}

} // namespace

simulated_cluster::simulated_cluster(options settings)
    : m_options(settings), m_random(settings.seed), m_disk_random(settings.seed) {
    const std::size_t count = settings.nodes + settings.spares;
    for (std::size_t i = 0; i < count; ++i) {
        auto item = std::make_unique<host>();
        item->address = "host-" + std::to_string(i) + ":1";
        item->voter = i < settings.voters;
        item->disk = std::make_unique<fake_storage>();
        item->clock_base = static_cast<std::int64_t>(m_random() % 1'000'000'000);
        item->rate_since = m_now;
        m_hosts.push_back(std::move(item));
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (i < settings.nodes) {
            start_processes(i);
        } else {
            m_hosts[i]->alive = false;
        }
    }
}

simulated_cluster::~simulated_cluster() = default;

std::string simulated_cluster::service_of(std::size_t node) const {
    return m_options.second_service && node % 5 >= 3 ? second_service : first_service;
}

moment simulated_cluster::clock_of(const host &which) const {
    const auto passed = static_cast<double>((m_now - which.rate_since).count()) * which.rate;
    const instant local(duration(which.clock_base + static_cast<std::int64_t>(passed)));
    const std::int64_t wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
    return {local, wall};
}

void simulated_cluster::set_clock_rate(std::size_t index, double rate) {
    host &item = *m_hosts[index];
    item.clock_base = clock_of(item).now.time_since_epoch().count();
    item.rate_since = m_now;
    item.rate = rate;
}

void simulated_cluster::start_processes(std::size_t index) {
    host &item = *m_hosts[index];
    ++item.generation;
    item.alive = true;
    item.paused = false;
    item.stopping = false;
    item.table_seen = 0;
    item.tickets.clear();
    item.changes.clear();
    item.evacuations.clear();
    item.deferred.clear();
    item.cancelled.clear();
    std::vector<node_address> voters;
    for (std::size_t i = 0; i < m_options.voters; ++i) {
        voters.push_back(m_hosts[i]->address);
    }
    if (item.voter) {
        std::string reason;
        durable_voter::options settings;
        settings.log.sync_writes = !g_defects.skip_sync;
        settings.log.write_behind = m_options.write_behind;
        control_options &options = settings.control;
        options.replication.self = item.address;
        options.replication.initial.voters = {voters.begin(), voters.end()};
        options.replication.seed = m_random();
        options.entries_per_snapshot = 60;
        options.max_items_per_update = 24; // small, so that updates are split into parts
        item.voting = durable_voter::make(
            settings, *item.disk,
            [this](const audit_record &record) {
                record_decision(record);
                return true;
            },
            clock_of(item), reason);
        if (!item.voting) {
            // Only a failing disk is a valid reason not to start; otherwise acknowledged data is
            // lost.
            const bool refused = item.disk->current_fault() != fake_storage::fault::none &&
                                 reason.find(item.disk->last_reason()) != std::string::npos;
            if (!refused) {
                report_violation("a voter can't open its log: " + reason);
            }
            item.alive = false;
            return;
        }
    }
    if (index < m_options.nodes) {
        node_options options;
        options.self = item.address;
        options.failure_domain = "zone-" + std::to_string(index % 3);
        options.incarnation = index * 1'000'000 + item.generation * 1000;
        options.voters = voters;
        options.seed = m_random();
        item.node = std::make_unique<node_core>(options);
        schedule(duration(1), index, [this, index] { announce(index); });
    }
    schedule(duration(m_random() % 10'000), index, [this, index] { tick(index); });
}

void simulated_cluster::record_decision(const audit_record &record) {
    const auto [place, added] = m_audit.try_emplace(record.sequence, record.hash);
    if (place->second != record.hash) {
        report_violation("two voters hold different decisions with sequence " +
                         std::to_string(record.sequence));
    }
}

/// Lets the voter reopen a disk that has recovered: its contents must be usable again.
void simulated_cluster::check_disk(std::size_t index) {
    host &item = *m_hosts[index];
    handle_disk_event(index, item.voting->check_disk(clock_of(item)));
    start_disk_task(index);
}

/// A write takes effect either at the start or at the end of its duration, so that a crash in
/// between leaves all of it or nothing.
void simulated_cluster::start_disk_task(std::size_t index) {
    host &item = *m_hosts[index];
    std::optional<durable_voter::disk_task> task =
        item.voting ? item.voting->take_disk_task() : std::nullopt;
    if (!task) {
        return;
    }
    const bool at_once = m_disk_random() % 2 == 0;
    if (at_once) {
        task->run();
    }
    schedule(item.sync_time, index, [this, index, at_once, task = std::move(*task)] {
        host &here = *m_hosts[index];
        if (!at_once) {
            task.run();
        }
        handle_disk_event(index, task.finish(clock_of(here)));
        process_effects(index);
    });
}

void simulated_cluster::handle_disk_event(std::size_t index, durable_voter::disk_event news) {
    host &item = *m_hosts[index];
    switch (news) {
    case durable_voter::disk_event::none:
    case durable_voter::disk_event::failed: break;
    case durable_voter::disk_event::recovered:
        item.changes.clear();
        item.evacuations.clear();
        break;
    case durable_voter::disk_event::damaged:
        report_violation("a voter reports its disk as damaged: " + item.voting->last_reason());
        break;
    }
}

void simulated_cluster::schedule(duration delay, std::size_t index, std::function<void()> action) {
    m_events.push_back(
        {m_now + delay, m_order++, index, m_hosts[index]->generation, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end(), std::greater<>());
}

void simulated_cluster::run(duration time) {
    const instant until = m_now + time;
    while (!m_events.empty() && m_events.front().at <= until) {
        std::pop_heap(m_events.begin(), m_events.end(), std::greater<>());
        event next = std::move(m_events.back());
        m_events.pop_back();
        m_now = next.at;
        host &item = *m_hosts[next.host];
        if (!item.alive || item.generation != next.generation) {
            continue;
        }
        if (item.paused) {
            item.deferred.push_back(std::move(next.action));
            continue;
        }
        ++m_steps;
        next.action();
    }
    m_now = until;
    check_owners();
    check_tables();
    check_replicated_state();
    check_unanswered();
}

void simulated_cluster::tick(std::size_t index) {
    host &item = *m_hosts[index];
    if (item.voting) {
        item.voting->core().tick(clock_of(item));
    }
    if (item.node) {
        item.node->tick(clock_of(item));
    }
    process_effects(index);
    if (item.voting) {
        check_disk(index);
    }
    schedule(tick_interval, index, [this, index] { tick(index); });
}

void simulated_cluster::announce(std::size_t index) {
    host &item = *m_hosts[index];
    if (item.target.up && !item.target.frozen) {
        const target_announcement announcement{.name = "target-" + std::to_string(index),
                                               .service = service_of(index),
                                               .slots = 4,
                                               .connections = 8,
                                               .checks_tokens = m_options.checks_tokens};
        item.node->announce(announcement, clock_of(item));
    } else if (!item.target.up && item.node->lease().number() != no_target) {
        item.node->target_down(clock_of(item));
    }
    process_effects(index);
    schedule(announce_interval, index, [this, index] { announce(index); });
}

/// A term has at most one leader; otherwise two conflicting logs could both be acknowledged.
void simulated_cluster::check_leader(std::size_t index) {
    const replica &log = m_hosts[index]->voting->core().replication();
    if (log.leads() && m_term_leaders.try_emplace(log.term(), index).first->second != index) {
        report_violation("two voters lead in one term");
    }
}

void simulated_cluster::process_effects(std::size_t index) {
    host &item = *m_hosts[index];
    if (item.voting) {
        check_leader(index);
        for (const outgoing &out : item.voting->core().take_outgoing()) {
            send(index, out);
        }
        for (const submit_answer &answer : item.voting->core().take_answers()) {
            note_evacuation_answer(item, answer);
            const auto found = item.changes.find(answer.ticket);
            if (found == item.changes.end() || !answer.change) {
                continue;
            }
            const auto &[change_id, base] = found->second;
            const change_answer &result = *answer.change;
            const auto [place, first] = m_change_answers.try_emplace(change_id, result);
            if (!first && place->second != result) {
                report_violation("a resent table change got a different result than the first");
            }
            if (result.error == error_kind::none) {
                const auto [held, added] = m_accepted.try_emplace(result.version, change_id);
                m_accepted_at.try_emplace(result.version, m_now);
                m_accepted_term.try_emplace(result.version,
                                            item.voting->core().replication().term());
                if (held->second != change_id) {
                    report_violation("two table changes were accepted under the same version");
                }
            }
        }
        start_disk_task(index);
    }
    if (!item.node) {
        return;
    }
    node_effects effects = item.node->take_effects();
    for (const outgoing &out : effects.messages) {
        send(index, out);
    }
    for (const std::uint64_t call : effects.cancelled_calls) {
        item.cancelled.insert(call);
        schedule(duration(200), index, [this, index, call] {
            end_call(index, call, {.result = call_result::kind::lost});
        });
    }
    for (const target_call &call : effects.calls) {
        start_call(index, call);
    }
    for (const caller_answer &answer : effects.answers) {
        handle_answer(answer, item);
    }
}

std::size_t simulated_cluster::index_of(const node_address &address) const {
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (m_hosts[i]->address == address) {
            return i;
        }
    }
    return m_hosts.size();
}

void simulated_cluster::send(std::size_t from, const outgoing &item) {
    const std::size_t to = index_of(item.to);
    if (to >= m_hosts.size() || !m_hosts[to]->alive || m_blocked_links.count({from, to}) != 0) {
        return;
    }
    if (item.fresh_connection) {
        m_silent_links.erase({from, to});
        m_silent_links.erase({to, from});
    }
    if (m_silent_links.count({from, to}) != 0 || m_random() % 100 < m_drop_percent) {
        return;
    }
    const int copies = m_random() % 100 < m_duplicate_percent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const bool late = m_random() % 50 == 0;
        duration delay(200 + m_random() % (late ? 60'000 : 1500));
        if (m_max_extra_delay > duration{} && m_random() % 5 == 0) {
            delay += duration(m_random() % static_cast<std::uint64_t>(m_max_extra_delay.count()));
        }
        const node_address sender = m_hosts[from]->address;
        schedule(delay, to, [this, to, sender, body = item.body] { deliver(to, sender, body); });
    }
}

void simulated_cluster::deliver(std::size_t to, const node_address &from, const message &body) {
    host &item = *m_hosts[to];
    const bool for_control = is_for_control(body);
    if (for_control && item.voting) {
        item.voting->core().receive(from, body, clock_of(item));
    } else if (!for_control && item.node) {
        item.node->receive(from, body, clock_of(item));
        if (std::holds_alternative<renew_reply>(body) || std::holds_alternative<map_update>(body)) {
            check_owners();
        }
    }
    process_effects(to);
}

// ---- targets ----

void simulated_cluster::start_call(std::size_t index, const target_call &call) {
    // Delay between the decision and the write, during which the process may be paused.
    schedule(duration(m_random() % 2000), index, [this, index, call] { write_call(index, call); });
}

void simulated_cluster::write_call(std::size_t index, const target_call &call) {
    host &item = *m_hosts[index];
    const instant now = clock_of(item).now;
    if (item.cancelled.count(call.call) != 0 || now >= call.not_after || !item.target.up) {
        end_call(index, call.call, {.result = call_result::kind::not_sent});
        return;
    }
    const std::uint64_t hash = key_hash(call.request.key);
    for (std::size_t other = 0; other < m_options.nodes; ++other) {
        host &rival = *m_hosts[other];
        if (other != index && rival.alive && rival.node &&
            service_of(other) == call.request.service &&
            rival.node->owner().serves(hash, clock_of(rival).now)) {
            report_violation("a request was written by host " + std::to_string(index) +
                             " while host " + std::to_string(other) + " owned its key");
        }
    }
    const std::uint64_t target_generation = item.target.generation;
    schedule(duration(500 + m_random() % 20'000), index, [this, index, call, target_generation] {
        run_at_target(index, call, target_generation);
    });
}

void simulated_cluster::run_at_target(std::size_t index, const target_call &call,
                                      std::uint64_t target_generation) {
    host &item = *m_hosts[index];
    if (!item.target.up || item.target.generation != target_generation) {
        end_call(index, call.call, {.result = call_result::kind::lost});
        return;
    }
    if (item.target.frozen) {
        // The target has received the request and runs it when it thaws, whatever happened
        // meanwhile.
        schedule(duration(20'000), index, [this, index, call, target_generation] {
            run_at_target(index, call, target_generation);
        });
        return;
    }
    call_result result{.result = call_result::kind::answered, .status = 200};
    fencing_token &highest = item.target.highest[key_hash(call.request.key)];
    if (m_options.checks_tokens && call.token < highest) {
        result.status = 409;
        result.body = std::make_shared<const std::string>("older token");
        end_call(index, call.call, result);
        return;
    }
    highest = std::max(highest, call.token);
    const std::string name = call.request.body ? *call.request.body : "";
    if (name == crashing_content) {
        m_crashes.push_back(m_now);
        crash_target(index);
        end_call(index, call.call, {.result = call_result::kind::lost});
        return;
    }
    ++m_runs_by_submission[name];
    const auto found = m_by_name.find(name);
    if (found != m_by_name.end() && m_submissions[found->second].kind != request_kind::read) {
        const std::string &key = m_submissions[found->second].idempotency_key;
        const std::string identity = key.empty() ? name : key;
        if (++m_runs_by_key[identity] > 1) {
            report_violation("a request that may run only once ran twice: " + identity);
        }
    }
    // A resend under the same key gets the answer of the first attempt.
    result.body = std::make_shared<const std::string>("answer to " + name);
    result.headers.push_back({"Echo-Key", call.request.idempotency_key});
    end_call(index, call.call, result);
}

void simulated_cluster::end_call(std::size_t index, std::uint64_t call, call_result result) {
    host &item = *m_hosts[index];
    item.node->call_finished(call, std::move(result), clock_of(item));
    process_effects(index);
}

// ---- callers ----

std::size_t simulated_cluster::submit(std::size_t index, unsigned int key, request_kind kind,
                                      duration deadline) {
    return submit({.node = index, .key = key, .kind = kind}, deadline);
}

std::size_t simulated_cluster::submit_content(std::size_t index, unsigned int key,
                                              const std::string &content, duration deadline) {
    return submit({.node = index, .key = key, .content = content}, deadline);
}

std::size_t simulated_cluster::submit(submission item, duration deadline) {
    const std::size_t index = item.node;
    const unsigned int key = item.key;
    const request_kind kind = item.kind;
    item.name = "r" + std::to_string(m_submissions.size());
    if (kind == request_kind::once) {
        item.idempotency_key = "once-" + std::to_string(m_submissions.size());
    }
    const std::size_t number = m_submissions.size();
    m_by_name[item.name] = number;
    host &at = *m_hosts[index];
    item.node_generation = at.generation;
    item.deadline = m_now + deadline;
    m_submissions.push_back(item);
    if (!at.alive || at.paused || !at.node) {
        m_submissions.back().node_generation = 0; // not accepted by any node, so no answer is due
        return number;
    }
    caller_request request;
    request.service = m_options.second_service && key % 3 == 2 ? second_service : first_service;
    request.key = key_name(key);
    request.method = kind == request_kind::read ? "GET" : "POST";
    request.path = "/";
    request.body = std::make_shared<const std::string>(item.body());
    request.repeatable = kind == request_kind::read;
    request.idempotency_key = item.idempotency_key;
    request.time_left = deadline;
    const std::uint64_t ticket = at.node->submit(std::move(request), clock_of(at));
    at.tickets[ticket] = number;
    process_effects(index);
    return number;
}

void simulated_cluster::resend(std::size_t number, std::size_t index) {
    if (m_submissions.empty()) {
        return;
    }
    const submission first = m_submissions[number % m_submissions.size()];
    host &at = *m_hosts[index];
    if (first.kind != request_kind::once || !at.alive || at.paused || !at.node) {
        return;
    }
    submission again = first;
    again.node = index;
    again.node_generation = at.generation;
    again.answer.reset();
    again.deadline = m_now + std::chrono::milliseconds(2000);
    const std::size_t new_number = m_submissions.size();
    m_submissions.push_back(again);
    caller_request request;
    request.service =
        m_options.second_service && first.key % 3 == 2 ? second_service : first_service;
    request.key = key_name(first.key);
    request.method = "POST";
    request.path = "/";
    request.body = std::make_shared<const std::string>(first.name);
    request.idempotency_key = first.idempotency_key;
    request.time_left = std::chrono::milliseconds(2000);
    const std::uint64_t ticket = at.node->submit(std::move(request), clock_of(at));
    at.tickets[ticket] = new_number;
    process_effects(index);
}

void simulated_cluster::handle_answer(const caller_answer &answer, host &at) {
    const auto found = at.tickets.find(answer.ticket);
    if (found == at.tickets.end()) {
        report_violation("an answer for a request that is not pending");
        return;
    }
    submission &item = m_submissions[found->second];
    at.tickets.erase(found);
    item.answer = answer.response;
    check_answer(item);
}

void simulated_cluster::check_answer(const submission &item) {
    const caller_response &response = *item.answer;
    const std::size_t runs = m_runs_by_submission[item.body()];
    if (response.result == outcome::ran && response.status == 200) {
        const std::string wanted = "answer to " + item.body();
        if (!response.body || *response.body != wanted) {
            report_violation("request " + item.name + " got the answer of another request");
        }
        if (runs == 0) {
            report_violation("request " + item.name + " was reported as run but did not run");
        }
    }
    const bool first_try = item.idempotency_key.empty() || m_by_name[item.name] + 1 > 0;
    if (response.result == outcome::not_run && first_try && item.kind != request_kind::read &&
        &m_submissions[m_by_name[item.name]] == &item && runs != 0) {
        // Only the first submission under a name: a refused resend says nothing about the first.
        const bool resent =
            std::count_if(m_submissions.begin(), m_submissions.end(),
                          [&](const submission &other) { return other.name == item.name; }) > 1;
        if (!resent) {
            report_violation("request " + item.name + " was reported as not run but ran");
        }
    }
}

// ---- operators ----

std::string simulated_cluster::table_csv(double weight) const {
    std::string csv = "service,failure_domain,weight,max_in_flight,max_connections,max_queue\n";
    for (const char *service : {first_service, second_service}) {
        for (int zone = 0; zone < 3; ++zone) {
            csv += std::string(service) + ",zone-" + std::to_string(zone) + "," +
                   std::to_string(zone == 0 ? weight : 1.0) + ",4,8,50\n";
        }
    }
    return csv;
}

void simulated_cluster::change_table(std::size_t voter, std::uint64_t base_version,
                                     const std::string &change_id, double weight) {
    host &item = *m_hosts[voter];
    if (!item.alive || item.paused || !item.voting) {
        return;
    }
    weight = m_change_weights.try_emplace(change_id, weight).first->second;
    command value{0, "operator", "edited",
                  peppertack::change_table{change_id, base_version, table_csv(weight)}};
    const std::uint64_t ticket = item.voting->core().submit(std::move(value), clock_of(item));
    item.changes[ticket] = {change_id, base_version};
    process_effects(voter);
}

void simulated_cluster::evacuate(std::size_t voter, std::size_t zone, bool withdrawn) {
    host &item = *m_hosts[voter];
    if (!item.alive || item.paused || !item.voting) {
        return;
    }
    const std::string domain = "zone-" + std::to_string(zone % 3);
    m_orders.push_back({.domain = domain, .withdrawn = withdrawn});
    const std::uint64_t ticket = item.voting->core().submit(
        {0, "operator", "ordered", evacuate_domain{.domain = domain, .withdrawn = withdrawn}},
        clock_of(item));
    item.evacuations[ticket] = m_orders.size() - 1;
    process_effects(voter);
}

void simulated_cluster::note_evacuation_answer(host &at, const submit_answer &answer) {
    const auto found = at.evacuations.find(answer.ticket);
    if (found == at.evacuations.end()) {
        return;
    }
    const bool taken = answer.error == error_kind::none || answer.error == error_kind::cancelled;
    m_orders[found->second].acknowledged_at = taken ? answer.version : 0;
    at.evacuations.erase(found);
}

/// The last order for a failure domain holds if it was acknowledged; one before it that was not may
/// have been applied, but not after it.
void simulated_cluster::check_evacuations() {
    const control_state &state = control(*leader()).state();
    std::map<std::string, evacuation_order> last;
    for (const evacuation_order &order : m_orders) {
        last[order.domain] = order;
    }
    for (const auto &[domain, order] : last) {
        const bool evacuated = state.evacuated().count(domain) != 0;
        if (order.acknowledged_at != 0 && evacuated == order.withdrawn) {
            report_violation("an acknowledged evacuation, or its withdrawal, is lost");
        }
    }
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        if (m_hosts[i]->node && m_hosts[i]->node->lease().evacuated() != state.evacuated()) {
            report_violation("an evacuation, or its withdrawal, is not known to a node");
        }
    }
    for (const auto &[service, ranges] : state.ranges()) {
        const auto evacuated = [&](target_number number) {
            const target_record *record = state.find_target(number);
            return record != nullptr && state.evacuated().count(record->failure_domain) != 0;
        };
        const auto &live = state.live_targets(service);
        const bool elsewhere = std::any_of(live.begin(), live.end(), [&](target_number number) {
            return !evacuated(number) && state.find_target(number)->phase == target_phase::serving;
        });
        const bool left = std::any_of(ranges.begin(), ranges.end(), [&](const range_record &range) {
            return evacuated(range.owner);
        });
        if (elsewhere && left) {
            report_violation("a target in an evacuated failure domain keeps ranges");
        }
    }
}

void simulated_cluster::announce_stop(std::size_t node) {
    const std::optional<std::size_t> leading = leader();
    const target_number number =
        m_hosts[node]->node ? m_hosts[node]->node->lease().number() : no_target;
    if (!leading || number == no_target) {
        return;
    }
    host &item = *m_hosts[*leading];
    item.voting->core().submit({0, "operator", "planned stop", drain_target{number}},
                               clock_of(item));
    process_effects(*leading);
}

void simulated_cluster::begin_stop(std::size_t node) {
    host &item = *m_hosts[node];
    if (item.alive && !item.paused && item.node) {
        item.stopping = true;
        item.node->begin_stop(clock_of(item));
        process_effects(node);
    }
}

std::optional<std::size_t> simulated_cluster::leader() const {
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        const host &item = *m_hosts[i];
        if (item.alive && !item.paused && item.voting && item.voting->core().established()) {
            return i;
        }
    }
    return std::nullopt;
}

// ---- faults ----

void simulated_cluster::crash(std::size_t index) {
    host &item = *m_hosts[index];
    if (!item.alive) {
        return;
    }
    item.alive = false;
    item.voting.reset();
    item.node.reset();
    item.disk->crash(m_random);
    item.target.generation++; // its node is gone: running requests end without an answer
}

void simulated_cluster::restart(std::size_t index) {
    host &item = *m_hosts[index];
    if (!item.alive && !item.gone && (index < m_options.nodes || item.voter)) {
        start_processes(index);
    }
}

void simulated_cluster::pause(std::size_t index) {
    m_hosts[index]->paused = true;
}

void simulated_cluster::resume(std::size_t index) {
    host &item = *m_hosts[index];
    if (!item.paused) {
        return;
    }
    item.paused = false;
    std::vector<std::function<void()>> events = std::move(item.deferred);
    item.deferred.clear();
    for (std::function<void()> &action : events) {
        schedule(duration(1), index, std::move(action));
    }
}

void simulated_cluster::block_link(std::size_t from, std::size_t to) {
    m_blocked_links.insert({from, to});
}

void simulated_cluster::heal_network() {
    m_blocked_links.clear();
    m_silent_links.clear();
    m_max_extra_delay = {};
    m_drop_percent = 0;
    m_duplicate_percent = 0;
}

void simulated_cluster::silence_connection(std::size_t a, std::size_t b) {
    m_silent_links.insert({a, b});
    m_silent_links.insert({b, a});
}

void simulated_cluster::set_message_faults(unsigned int drop_percent,
                                           unsigned int duplicate_percent) {
    m_drop_percent = drop_percent;
    m_duplicate_percent = duplicate_percent;
}

void simulated_cluster::break_disk(std::size_t voter, fake_storage::fault fault) {
    m_hosts[voter]->disk->set_fault(fault);
}

void simulated_cluster::crash_target(std::size_t node) {
    host &item = *m_hosts[node];
    item.target.up = false;
    item.target.frozen = false;
    ++item.target.generation;
    item.target.highest.clear();
}

void simulated_cluster::start_target(std::size_t node) {
    m_hosts[node]->target.up = true;
}

void simulated_cluster::freeze_target(std::size_t node) {
    m_hosts[node]->target.frozen = true;
}

void simulated_cluster::thaw_target(std::size_t node) {
    m_hosts[node]->target.frozen = false;
}

void simulated_cluster::replace_voter(std::size_t voter) {
    const std::size_t spare = m_options.nodes;
    const std::optional<std::size_t> leading = leader();
    if (spare >= m_hosts.size() || m_hosts[spare]->voter || !leading || *leading == voter ||
        voter >= m_options.voters) {
        return;
    }
    crash(voter);
    host &lost = *m_hosts[voter];
    lost.disk = std::make_unique<fake_storage>();
    lost.voter = false;
    m_hosts[spare]->voter = true;
    start_processes(spare);
    host &item = *m_hosts[*leading];
    item.voting->core().replace_voter(m_hosts[spare]->address, lost.address, clock_of(item));
    process_effects(*leading);
}

// ---- the oracle ----

void simulated_cluster::report_violation(const std::string &what) {
    if (m_violations.size() < max_violations) {
        m_violations.push_back("at " + std::to_string(m_now.time_since_epoch().count() / 1000) +
                               " ms: " + what);
    }
}

std::optional<std::size_t> simulated_cluster::owner_of(unsigned int key) const {
    const std::uint64_t hash = key_hash(key_name(key));
    const std::string service =
        m_options.second_service && key % 3 == 2 ? second_service : first_service;
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        const host &item = *m_hosts[i];
        if (item.alive && item.node && service_of(i) == service &&
            item.node->owner().serves(hash, clock_of(item).now)) {
            return i;
        }
    }
    return std::nullopt;
}

/// A key has at most one owner. Paused and unreachable nodes count too: they check their lease
/// against the clock when they resume.
void simulated_cluster::check_owners() {
    constexpr std::uint64_t samples = 32;
    for (std::uint64_t i = 0; i < samples; ++i) {
        const std::uint64_t hash = i * (~0ULL / samples) + m_random() % (~0ULL / samples);
        for (const char *service : {first_service, second_service}) {
            std::size_t owners = 0;
            for (std::size_t at = 0; at < m_options.nodes; ++at) {
                const host &item = *m_hosts[at];
                const bool owns = item.alive && item.node && service_of(at) == service &&
                                  item.node->owner().serves(hash, clock_of(item).now);
                owners += owns ? 1 : 0;
            }
            if (owners > 1) {
                report_violation("a key has two owners");
                return;
            }
        }
    }
}

void simulated_cluster::check_tables() {
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        host &item = *m_hosts[i];
        if (!item.alive || !item.node) {
            continue;
        }
        const lease_client &lease = item.node->lease();
        if (lease.table_version() < item.table_seen) {
            report_violation("a node replaced its table by an earlier one");
        }
        item.table_seen = lease.table_version();
        for (const auto &[version, at] : m_accepted_at) {
            if (at + in_force_limit < m_now && lease.table_version() < version &&
                lease.lease_valid(clock_of(item).now)) {
                report_violation(
                    "a node serves without a table that was accepted more than 8 s ago");
            }
        }
    }
}

void simulated_cluster::check_replicated_state() {
    for (const std::unique_ptr<host> &item : m_hosts) {
        if (!item->alive || !item->voting) {
            continue;
        }
        const control_state &state = item->voting->core().state();
        const auto known = m_accepted.find(state.table_version());
        if (known != m_accepted.end() && known->second != state.table_change_id()) {
            report_violation("a voter holds a different table under an accepted version");
        }
        const auto hash = m_audit.find(state.audit().sequence);
        if (hash != m_audit.end() && hash->second != state.audit().hash) {
            report_violation("a voter's decisions differ from another voter's");
        }
        for (const auto &[version, term] : m_accepted_term) {
            // A deposed leader of an earlier term may lack the table.
            const bool later = item->voting->core().replication().term() >= term;
            if (item->voting->core().established() && later && state.table_version() < version) {
                report_violation("a leader lacks an accepted table");
            }
        }
    }
}

void simulated_cluster::check_unanswered() {
    for (const submission &item : m_submissions) {
        const host &at = *m_hosts[item.node];
        const bool answer_due = item.node_generation == at.generation && at.alive && !at.paused;
        // A paused process answers late: its deferred events run after the pause.
        if (answer_due && !item.answer &&
            item.deadline + answer_slack + std::chrono::seconds(1) < m_now && at.deferred.empty()) {
            report_violation("request " + item.name + " got no answer long after its deadline");
        }
    }
}

void simulated_cluster::check_final() {
    for (const submission &item : m_submissions) {
        if (item.answer) {
            check_answer(item);
        }
    }
}

void simulated_cluster::heal_and_check_progress() {
    heal_network();
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        host &item = *m_hosts[i];
        item.disk->set_fault(fake_storage::fault::none);
        item.sync_time = default_sync_time;
        resume(i);
        if (!item.alive || item.stopping) {
            crash(i);
            restart(i);
        }
        set_clock_rate(i, 1);
        item.target.frozen = false;
        item.target.up = true;
    }
    run(std::chrono::seconds(4));
    // Hosts whose targets have finished a planned stop are restarted, as by an operator.
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        if (m_hosts[i]->node && m_hosts[i]->node->lease().number() == no_target) {
            crash(i);
            restart(i);
        }
    }
    run(std::chrono::seconds(6));
    if (!leader()) {
        report_violation("no leader after healing");
        return;
    }
    if (!m_orders.empty()) {
        check_evacuations();
        for (std::size_t zone = 0; zone < 3; ++zone) {
            evacuate(*leader(), zone, true);
        }
        run(std::chrono::seconds(3));
    }
    if (m_accepted.empty()) {
        return;
    }
    std::vector<std::size_t> reads;
    for (unsigned int key = 0; key < 12; ++key) {
        reads.push_back(submit(key % m_options.nodes, key, request_kind::read));
    }
    run(std::chrono::seconds(3));
    for (const std::size_t number : reads) {
        const submission &item = m_submissions[number];
        if (item.node_generation != 0 && (!item.answer || item.answer->result != outcome::ran)) {
            report_violation("a key is not served after healing: error " +
                             (item.answer ? std::to_string(static_cast<int>(item.answer->error))
                                          : std::string("none")));
        }
    }
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        if (m_hosts[i]->node && m_hosts[i]->node->lease().table_version() < accepted_version()) {
            report_violation("an accepted table is not in force after healing");
        }
    }
    check_final();
}

// ---- state for assertions ----

const std::optional<caller_response> &simulated_cluster::answer(std::size_t number) const {
    return m_submissions[number].answer;
}

std::size_t simulated_cluster::runs_of(std::size_t number) const {
    const auto found = m_runs_by_submission.find(m_submissions[number].body());
    return found == m_runs_by_submission.end() ? 0 : found->second;
}

std::size_t simulated_cluster::answered(outcome result) const {
    return static_cast<std::size_t>(
        std::count_if(m_submissions.begin(), m_submissions.end(), [&](const submission &item) {
            return item.answer && item.answer->result == result;
        }));
}

double simulated_cluster::served_fraction() const {
    constexpr unsigned int keys = 60;
    unsigned int served = 0;
    for (unsigned int key = 0; key < keys; ++key) {
        served += owner_of(key) ? 1 : 0;
    }
    return static_cast<double>(served) / keys;
}

} // namespace peppertack::testing
