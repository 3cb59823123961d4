#include "peppertack/transport/node_host.hpp"

#include "peppertack/transport/target_client.hpp"
#include "peppertack/transport/worker_pool.hpp"
#include "wall_clock.hpp"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_map>

namespace peppertack {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(5);
constexpr auto watch_interval = std::chrono::milliseconds(100);
constexpr int failed_probes_until_lost = 2;

/// Where a thread waits for the answer to its caller's request.
struct waiting_caller {
    std::mutex mutex;
    std::condition_variable ready;
    bool done = false;
    caller_response response;
};

} // namespace

class node_host::impl {
public:
    impl(const daemon_settings &settings, sender send)
        : m_send(std::move(send)), m_core(node_options_of(settings, random_number())),
          m_target(steady_instant), m_workers(settings.most_call_threads) {}

    ~impl() { stop(); }

    void start() {
        m_ticker = std::thread([this] { tick(); });
        m_watcher = std::thread([this] { watch_target(); });
    }

    void stop() {
        {
            const std::lock_guard lock(m_stop_mutex);
            m_stopping = true;
        }
        m_stop_signal.notify_all();
        for (std::thread *thread : {&m_ticker, &m_watcher}) {
            if (thread->joinable()) {
                thread->join();
            }
        }
        m_workers.stop();
    }

    /// Runs `step` on the state machine and carries out what follows, outside the lock.
    template <class Step> void with_core(Step step) {
        node_effects effects;
        std::vector<std::shared_ptr<waiting_caller>> callers;
        {
            const std::lock_guard lock(m_mutex);
            step(m_core, read_clocks());
            effects = m_core.take_effects();
            callers = callers_of(effects);
        }
        carry_out(std::move(effects), callers);
    }

    caller_response run(caller_request request) {
        const auto waiting = std::make_shared<waiting_caller>();
        node_effects effects;
        std::vector<std::shared_ptr<waiting_caller>> callers;
        {
            const std::lock_guard lock(m_mutex);
            const std::uint64_t ticket = m_core.submit(std::move(request), read_clocks());
            m_callers[ticket] = waiting;
            effects = m_core.take_effects();
            callers = callers_of(effects);
        }
        // A call that starts at once is this caller's own: it saves a change of thread to run it
        // here.
        std::vector<target_call> calls = std::move(effects.calls);
        effects.calls.clear();
        carry_out(std::move(effects), callers);
        for (const target_call &call : calls) {
            run_call(call);
        }
        std::unique_lock lock(waiting->mutex);
        waiting->ready.wait(lock, [&] { return waiting->done; });
        return std::move(waiting->response);
    }

    template <class Read> auto read(Read reader) const {
        const std::lock_guard lock(m_mutex);
        return reader(m_core);
    }

    target_client &target() { return m_target; }

private:
    /// Who waits for each of the answers, in their order. Called under the lock.
    std::vector<std::shared_ptr<waiting_caller>> callers_of(const node_effects &effects) {
        std::vector<std::shared_ptr<waiting_caller>> callers;
        callers.reserve(effects.answers.size());
        for (const caller_answer &answer : effects.answers) {
            const auto found = m_callers.find(answer.ticket);
            callers.push_back(std::move(found->second));
            m_callers.erase(found);
        }
        return callers;
    }

    void carry_out(node_effects effects,
                   const std::vector<std::shared_ptr<waiting_caller>> &callers) {
        for (const outgoing &item : effects.messages) {
            m_send(item);
        }
        for (std::size_t i = 0; i < callers.size(); ++i) {
            deliver(*callers[i], std::move(effects.answers[i].response));
        }
        for (const std::uint64_t call : effects.cancelled_calls) {
            m_target.cancel(call);
        }
        for (target_call &call : effects.calls) {
            m_workers.run([this, call = std::move(call)] { run_call(call); });
        }
    }

    void run_call(const target_call &call) {
        call_result result = m_target.run(call);
        with_core([&](node_core &core, moment at) {
            core.call_finished(call.call, std::move(result), at);
        });
    }

    static void deliver(waiting_caller &waiting, caller_response response) {
        const std::lock_guard lock(waiting.mutex);
        waiting.response = std::move(response);
        waiting.done = true;
        waiting.ready.notify_one();
    }

    bool sleep(std::chrono::milliseconds time) {
        std::unique_lock lock(m_stop_mutex);
        return !m_stop_signal.wait_for(lock, time, [this] { return m_stopping; });
    }

    void tick() {
        while (sleep(tick_interval)) {
            with_core([](node_core &core, moment at) { core.tick(at); });
        }
    }

    /// A target whose port takes no connection is gone; its lease is given up at once, so that its
    /// keys need not wait for the lease to end.
    void watch_target() {
        int failures = 0;
        while (sleep(watch_interval)) {
            const bool registered =
                read([](const node_core &core) { return core.lease().number() != no_target; });
            if (!registered) {
                failures = 0;
                continue;
            }
            failures = m_target.reachable() ? 0 : failures + 1;
            if (failures >= failed_probes_until_lost) {
                with_core([](node_core &core, moment at) { core.target_down(at); });
            }
        }
    }

    sender m_send;
    mutable std::mutex m_mutex; ///< guards the state machine and the table of callers
    node_core m_core;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiting_caller>> m_callers;
    target_client m_target;
    worker_pool m_workers;
    std::mutex m_stop_mutex;
    std::condition_variable m_stop_signal;
    bool m_stopping = false;
    std::thread m_ticker;
    std::thread m_watcher;
};

node_host::node_host(const daemon_settings &settings, sender send)
    : m_impl(std::make_unique<impl>(settings, std::move(send))) {}

node_host::~node_host() = default;

void node_host::start() {
    m_impl->start();
}

void node_host::stop() {
    m_impl->stop();
}

void node_host::receive(const node_address &from, const message &body) {
    m_impl->with_core([&](node_core &core, moment at) { core.receive(from, body, at); });
}

void node_host::peer_down(const node_address &address) {
    m_impl->with_core([&](node_core &core, moment at) { core.peer_down(address, at); });
}

caller_response node_host::run(caller_request request) {
    return m_impl->run(std::move(request));
}

void node_host::announce(const target_announcement &announcement,
                         const std::string &target_address) {
    m_impl->target().set_address(target_address);
    m_impl->with_core([&](node_core &core, moment at) { core.announce(announcement, at); });
}

void node_host::begin_stop() {
    m_impl->with_core([](node_core &core, moment at) { core.begin_stop(at); });
}

bool node_host::stopped() const {
    return m_impl->read([](const node_core &core) { return core.stopped(); });
}

target_number node_host::registration() const {
    return m_impl->read([](const node_core &core) { return core.lease().number(); });
}

bool node_host::lease_valid() const {
    return m_impl->read(
        [](const node_core &core) { return core.lease().lease_valid(steady_instant()); });
}

node_counters node_host::counters() const {
    return m_impl->read([](const node_core &core) { return core.counters(); });
}

nlohmann::json node_host::dump() const {
    return m_impl->read([](const node_core &core) {
        const lease_client &lease = core.lease();
        const range_owner &owner = core.owner();
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            lease.lease_until() - steady_instant());
        const node_counters &counters = core.counters();
        nlohmann::json json{{"address", core.options().self},
                            {"failure_domain", core.options().failure_domain},
                            {"target", lease.announcement() ? lease.announcement()->name : ""},
                            {"service", lease.announcement() ? lease.announcement()->service : ""},
                            {"registration", lease.number()},
                            {"lease_valid", lease.lease_valid(steady_instant())},
                            {"lease_left_ms", left.count()},
                            {"leader", lease.leader()},
                            {"map_version", lease.map().version()},
                            {"table_version", lease.table_version()},
                            {"owned_ranges", owner.owned_ranges()},
                            {"in_flight", owner.admitted().in_flight()},
                            {"queued", owner.admitted().queued()},
                            {"limit_in_flight", owner.admitted().current_limits().in_flight},
                            {"limit_queue", owner.admitted().current_limits().queue},
                            {"remembered_keys", owner.memory().size()},
                            {"standby_copies", owner.standby_copies()},
                            {"draining", lease.draining()},
                            {"requests_open", core.router().unfinished()}};
        json["counters"] = {{"requests", counters.requests},
                            {"local", counters.local},
                            {"forwarded", counters.forwarded},
                            {"retries", counters.retries},
                            {"probes", counters.probes},
                            {"shed", counters.shed},
                            {"resends_answered", counters.resends_answered},
                            {"leases_renewed", counters.leases_renewed},
                            {"leases_lapsed", counters.leases_lapsed},
                            {"ranges_released", counters.ranges_released}};
        return json;
    });
}

} // namespace peppertack
