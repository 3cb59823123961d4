#pragma once

#include "deployment.hpp"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <set>
#include <thread>

namespace review {

constexpr int all_keys = 65536;
/// The judge follows every key that is a multiple of it; clients use only these.
constexpr int key_step = 64;
constexpr int followed_keys = all_keys / key_step;

/// What all servers hold and work on, and whether the rule OWNER holds for it. Thread safe.
class owner_judge {
public:
    owner_judge(std::size_t servers, record &out);
    ~owner_judge();
    owner_judge(const owner_judge &) = delete;
    owner_judge &operator=(const owner_judge &) = delete;

    /// Carries out a grant. False if a key has been seen here with a higher fencing token.
    bool grant(std::size_t server, int from, int to, std::uint64_t fence, instant until);
    /// Ends new work on the keys and waits until the work that runs on them has ended, or the life
    /// of the server has.
    void release(std::size_t server, int from, int to, const std::function<bool()> &alive);
    /// Begins work on a key, if the server holds it.
    bool begin_work(std::size_t server, int key);
    /// Ends it. False if the hold ran out meanwhile.
    bool end_work(std::size_t server, int key);
    /// The server's process has ended: it holds and works on nothing.
    void forget(std::size_t server);
    /// Rows of [from, to, fence] that a server holds, joined.
    nlohmann::json rows(std::size_t server) const;

    /// Keys that were given to a server while another was at work on them within its hold.
    int given_at_work() const { return m_given_at_work; }
    /// Keys that two servers held for more than half a second.
    int held_twice() const { return m_held_twice; }

private:
    struct key_state {
        std::uint64_t fence = 0; ///< highest seen
        instant until{};         ///< of the last grant
        bool released = true;
        int working = 0;
        instant work_until{}; ///< when the hold would have run out under which work last began
    };
    using keys = std::array<key_state, followed_keys>;

    static bool holds(const key_state &key, instant now) {
        return !key.released && now < key.until;
    }
    void watch();
    void watch_key(int place, instant now);

    record &m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_work_ended;
    std::vector<keys> m_servers;
    std::array<instant, followed_keys> m_twice_since{};
    std::array<bool, followed_keys> m_twice_told{};
    std::atomic<int> m_given_at_work = 0;
    std::atomic<int> m_held_twice = 0;
    std::atomic<bool> m_over = false;
    std::thread m_watch;
};

/// One server beside a node, as PROTOCOL.md describes it: heartbeats, health, requests and, if its
/// service is divided by key, grants by calls.
class app_server {
public:
    struct options {
        std::size_t machine = 0;
        bool sharded = false;
        int slots = 64;
        /// Every so many answers one is sent a second time, when the next message has come over its
        /// connection; 0: none.
        int extra_answer_every = 0;
        /// From a restart to the arrival of the first heartbeat of the new life.
        milliseconds late_first_beat{0};
        std::size_t answer_bytes = 100;
        /// A restarted server has the id that it had.
        bool keeps_id = false;
    };

    app_server(deployment &system, owner_judge &judge, record &out, options settings);
    ~app_server();
    app_server(const app_server &) = delete;
    app_server &operator=(const app_server &) = delete;

    /// Whether answers are sent twice now, if the options have it.
    void set_faulty(bool faulty) { m_faulty = faulty; }
    /// Begins a life. `again`: one behind another, whose first heartbeat may be late.
    bool start(bool again = false);
    /// The process ends without a word.
    void crash();
    /// Says that it leaves, serves on for `serve` after the acknowledgement, and ends.
    void leave(milliseconds serve);

    std::uint64_t requests_run() const { return m_run; }
    std::uint64_t answers() const { return m_answers; }
    std::uint64_t extra_answers() const { return m_extra; }
    std::uint64_t releases() const { return m_releases; }
    /// Releases before whose answer a second answer to an earlier request was sent.
    std::uint64_t releases_behind_extra() const { return m_releases_behind_extra; }
    std::uint64_t grants() const { return m_grants; }
    const std::string &id() const { return m_id; }
    /// Whether the server has run a request, and whether it wrote the whole answer.
    bool answered(const std::string &request) const;
    bool has_run(const std::string &request) const;

private:
    struct life {
        std::atomic<bool> over = false;
        int listener = -1;
        std::mutex mutex;
        std::set<int> connections;
    };
    using life_ptr = std::shared_ptr<life>;

    void accept(const life_ptr &own);
    void serve(const life_ptr &own, int handle);
    /// Answers one message. False if the connection ends.
    bool handle(const life_ptr &own, const tcp_stream &stream, const http_message &message,
                std::string &extra);
    bool handle_request(const tcp_stream &stream, const http_message &message, std::string &extra);
    bool handle_hold_call(const life_ptr &own, const tcp_stream &stream,
                          const http_message &message, bool behind_extra);
    void beat(const life_ptr &own, milliseconds delay);
    nlohmann::json heartbeat_body();
    bool wait(const life_ptr &own, milliseconds time) const;

    deployment &m_system;
    owner_judge &m_judge;
    record &m_record;
    options m_options;
    std::string m_id;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    int m_lives = 0;
    std::atomic<bool> m_faulty = true;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_drain_acknowledged = false;
    std::atomic<int> m_running = 0;
    std::atomic<std::uint64_t> m_run = 0;
    std::atomic<std::uint64_t> m_answers = 0;
    std::atomic<std::uint64_t> m_extra = 0;
    std::atomic<std::uint64_t> m_grants = 0;
    std::atomic<std::uint64_t> m_releases = 0;
    std::atomic<std::uint64_t> m_releases_behind_extra = 0;
    mutable std::mutex m_mutex;
    std::set<std::string> m_requests_run;
    std::set<std::string> m_requests_answered;
    life_ptr m_life;
    std::vector<std::thread> m_threads; ///< accepting and heartbeats of each life
    std::atomic<int> m_connection_threads = 0;
};

} // namespace review
