#include "app_server.hpp"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds watch_interval(10);
constexpr milliseconds longest_double_hold(500);
constexpr milliseconds idle_close(10'000);
constexpr milliseconds beat_patience(1000);
constexpr milliseconds short_wait(5);
/// Work of a request whose path doesn't tell it.
constexpr milliseconds usual_work(20);

int first_place(int from) {
    return (from + key_step - 1) / key_step;
}

int last_place(int to) {
    return std::min(to / key_step, followed_keys - 1);
}

/// Work in milliseconds is the last part of a path.
milliseconds work_of(const http_message &message) {
    const std::string path = message.word(1);
    const std::string last = path.substr(path.rfind('/') + 1);
    const bool number = !last.empty() && last.find_first_not_of("0123456789") == std::string::npos;
    return number ? milliseconds(std::stoi(last)) : usual_work;
}

} // namespace

// ---- the judge ----

owner_judge::owner_judge(std::size_t servers, record &out) : m_record(out), m_servers(servers) {
    m_watch = std::thread([this] { watch(); });
}

owner_judge::~owner_judge() {
    m_over = true;
    m_watch.join();
}

bool owner_judge::grant(std::size_t server, int from, int to, std::uint64_t fence, instant until) {
    const std::lock_guard lock(m_mutex);
    const instant now = clock_type::now();
    const int first = first_place(from);
    const int last = last_place(to);
    for (int place = first; place <= last; ++place) {
        if (m_servers[server][place].fence > fence) {
            return false;
        }
    }
    int at_work = 0;
    for (int place = first; place <= last; ++place) {
        key_state &key = m_servers[server][place];
        for (std::size_t other = 0; other < m_servers.size(); ++other) {
            const key_state &theirs = m_servers[other][place];
            const bool at_risk = theirs.working > 0 && now < theirs.work_until;
            // A renewal gives nothing anew.
            if (other == server || !at_risk || key.fence == fence) {
                continue;
            }
            ++at_work;
            m_record.note(
                "BROKEN key " + std::to_string(place * key_step) + " given to server " +
                std::to_string(server) + " with fence " + std::to_string(fence) + " while server " +
                std::to_string(other) + " works on it; its hold has " +
                std::to_string(
                    std::chrono::duration_cast<milliseconds>(theirs.work_until - now).count()) +
                " ms left");
        }
        key.fence = fence;
        key.until = until;
        key.released = false;
    }
    m_given_at_work += at_work;
    return true;
}

void owner_judge::release(std::size_t server, int from, int to,
                          const std::function<bool()> &alive) {
    std::unique_lock lock(m_mutex);
    keys &own = m_servers[server];
    for (int place = first_place(from); place <= last_place(to); ++place) {
        own[place].released = true;
    }
    const auto idle = [&] {
        for (int place = first_place(from); place <= last_place(to); ++place) {
            if (own[place].working > 0) {
                return false;
            }
        }
        return true;
    };
    while (!idle() && alive()) {
        m_work_ended.wait_for(lock, watch_interval);
    }
}

bool owner_judge::begin_work(std::size_t server, int key) {
    const std::lock_guard lock(m_mutex);
    key_state &own = m_servers[server][key / key_step];
    if (!holds(own, clock_type::now())) {
        return false;
    }
    ++own.working;
    own.work_until = own.until;
    return true;
}

bool owner_judge::end_work(std::size_t server, int key) {
    const std::lock_guard lock(m_mutex);
    key_state &own = m_servers[server][key / key_step];
    own.working = std::max(own.working - 1, 0);
    m_work_ended.notify_all();
    return clock_type::now() < own.until;
}

void owner_judge::forget(std::size_t server) {
    const std::lock_guard lock(m_mutex);
    m_servers[server] = keys{};
}

nlohmann::json owner_judge::rows(std::size_t server) const {
    const std::lock_guard lock(m_mutex);
    const instant now = clock_type::now();
    nlohmann::json rows = nlohmann::json::array();
    for (int place = 0; place < followed_keys; ++place) {
        const key_state &key = m_servers[server][place];
        if (!holds(key, now) && key.working == 0) {
            continue;
        }
        const int from = place * key_step;
        const bool joins =
            !rows.empty() && rows.back()[1] == from - 1 && rows.back()[2] == key.fence;
        if (joins) {
            rows.back()[1] = from + key_step - 1;
        } else {
            rows.push_back({from, from + key_step - 1, key.fence});
        }
    }
    return rows;
}

void owner_judge::watch() {
    while (!m_over) {
        {
            const std::lock_guard lock(m_mutex);
            const instant now = clock_type::now();
            for (int place = 0; place < followed_keys; ++place) {
                watch_key(place, now);
            }
        }
        std::this_thread::sleep_for(watch_interval);
    }
}

void owner_judge::watch_key(int place, instant now) {
    std::string holders;
    int count = 0;
    for (std::size_t server = 0; server < m_servers.size(); ++server) {
        const key_state &key = m_servers[server][place];
        if (holds(key, now)) {
            ++count;
            holders += " " + std::to_string(server) + " (fence " + std::to_string(key.fence) + ")";
        }
    }
    if (count < 2) {
        m_twice_since[place] = {};
        m_twice_told[place] = false;
        return;
    }
    if (m_twice_since[place] == instant{}) {
        m_twice_since[place] = now;
    }
    if (!m_twice_told[place] && now - m_twice_since[place] > longest_double_hold) {
        m_twice_told[place] = true;
        ++m_held_twice;
        m_record.note("BROKEN key " + std::to_string(place * key_step) +
                      " held for over half a second by servers" + holders);
    }
}

// ---- the server ----

app_server::app_server(deployment &system, owner_judge &judge, record &out, options settings)
    : m_system(system), m_judge(judge), m_record(out), m_options(settings) {}

app_server::~app_server() {
    crash();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    while (m_connection_threads > 0) {
        std::this_thread::sleep_for(short_wait);
    }
}

bool app_server::start(bool again) {
    ++m_lives;
    if (m_id.empty() || !m_options.keeps_id) {
        m_id = "i-" + std::to_string(m_options.machine) + "-" + std::to_string(m_lives);
    }
    m_born = std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_sequence = 0;
    m_draining = false;
    m_drain_acknowledged = false;
    m_life = std::make_shared<life>();
    m_life->listener = listen_on(m_system.app(m_options.machine));
    if (m_life->listener < 0) {
        return false;
    }
    m_record.note("server " + std::to_string(m_options.machine) + " starts as " + m_id);
    m_threads.emplace_back([this, own = m_life] { accept(own); });
    const milliseconds delay = again ? m_options.late_first_beat : milliseconds(0);
    m_threads.emplace_back([this, own = m_life, delay] { beat(own, delay); });
    return true;
}

void app_server::crash() {
    const life_ptr own = std::exchange(m_life, nullptr);
    if (!own) {
        return;
    }
    own->over = true;
    ::shutdown(own->listener, SHUT_RDWR);
    ::close(own->listener);
    const std::lock_guard lock(own->mutex);
    for (const int handle : own->connections) {
        ::shutdown(handle, SHUT_RDWR);
    }
    m_judge.forget(m_options.machine);
    m_record.note("server " + std::to_string(m_options.machine) + " (" + m_id + ") ends");
}

void app_server::leave(milliseconds serve) {
    m_record.note("server " + m_id + " begins to drain");
    m_draining = true;
    const instant limit = clock_type::now() + serve * 2;
    while (!m_drain_acknowledged && clock_type::now() < limit) {
        std::this_thread::sleep_for(short_wait);
    }
    std::this_thread::sleep_for(serve);
    call(m_system.control(m_options.machine), "DELETE /peppertack/instances/" + m_id + " HTTP/1.1",
         {{"Host", "node"}}, nlohmann::json{{"born", m_born}}.dump(), beat_patience);
    crash();
}

bool app_server::answered(const std::string &request) const {
    const std::lock_guard lock(m_mutex);
    return m_requests_answered.count(request) != 0;
}

bool app_server::has_run(const std::string &request) const {
    const std::lock_guard lock(m_mutex);
    return m_requests_run.count(request) != 0;
}

bool app_server::wait(const life_ptr &own, milliseconds time) const {
    const instant end = clock_type::now() + time;
    while (!own->over && clock_type::now() < end) {
        std::this_thread::sleep_for(short_wait);
    }
    return !own->over;
}

void app_server::accept(const life_ptr &own) {
    while (!own->over) {
        const int handle = ::accept4(own->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
            return;
        }
        {
            const std::lock_guard lock(own->mutex);
            own->connections.insert(handle);
            if (own->over) {
                ::shutdown(handle, SHUT_RDWR);
            }
        }
        ++m_connection_threads;
        std::thread([this, own, handle] {
            serve(own, handle);
            --m_connection_threads;
        }).detach();
    }
}

void app_server::serve(const life_ptr &own, int handle_number) {
    tcp_stream stream(handle_number);
    std::string extra;
    while (!own->over) {
        const auto message = stream.read(idle_close);
        if (!message || own->over || !handle(own, stream, *message, extra)) {
            break;
        }
    }
    const std::lock_guard lock(own->mutex);
    own->connections.erase(handle_number);
    stream.close();
}

bool app_server::handle(const life_ptr &own, const tcp_stream &stream, const http_message &message,
                        std::string &extra) {
    const std::string path = message.word(1);
    const bool behind_extra = !extra.empty();
    if (behind_extra) {
        ++m_extra;
        if (!stream.write(std::exchange(extra, {}))) {
            return false;
        }
    }
    if (path == "/healthz") {
        return stream.write(http_bytes(m_draining ? "HTTP/1.1 503 Leaving" : "HTTP/1.1 200 OK",
                                       {{"X-Instance-Id", m_id}, {"Keep-Alive", "timeout=10"}},
                                       ""));
    }
    if (path == "/peppertack/grant" || path == "/peppertack/release") {
        return handle_hold_call(own, stream, message, behind_extra);
    }
    return handle_request(stream, message, extra) && !own->over;
}

bool app_server::handle_hold_call(const life_ptr &own, const tcp_stream &stream,
                                  const http_message &message, bool behind_extra) {
    const instant arrived = clock_type::now();
    const nlohmann::json in = nlohmann::json::parse(message.body);
    const int from = in.at("from");
    const int to = in.at("target_version");
    const std::uint64_t fence = in.at("fence");
    const std::string what =
        std::to_string(from) + ".." + std::to_string(to) + " fence " + std::to_string(fence);
    const std::string self = "server " + std::to_string(m_options.machine);
    if (message.word(1) == "/peppertack/grant") {
        ++m_grants;
        const auto hold = std::chrono::duration_cast<clock_type::duration>(
            std::chrono::duration<double>(in.at("hold_s").get<double>()));
        const bool taken = m_judge.grant(m_options.machine, from, to, fence, arrived + hold);
        m_record.note(self + (taken ? " takes " : " refuses ") + what + " for " +
                      in.at("hold_s").dump() + " s");
        return stream.write(http_bytes(taken ? "HTTP/1.1 200 OK" : "HTTP/1.1 409 Conflict",
                                       {{"Keep-Alive", "timeout=10"}}, ""));
    }
    ++m_releases;
    m_releases_behind_extra += behind_extra ? 1 : 0;
    m_record.note(self + " is asked to release " + what +
                  (behind_extra ? " behind a second answer to an earlier request" : ""));
    m_judge.release(m_options.machine, from, to, [&own] { return !own->over; });
    m_record.note(self + " has released " + what);
    return stream.write(
        http_bytes("HTTP/1.1 200 OK",
                   {{"X-Handover", std::to_string(fence) + "-" + std::to_string(from)},
                    {"Keep-Alive", "timeout=10"}},
                   ""));
}

bool app_server::handle_request(const tcp_stream &stream, const http_message &message,
                                std::string &extra) {
    const std::string *id = message.find("x-request-id");
    const std::string *expected = message.find("x-expected-instance");
    const std::string *key_text = message.find("x-shard-key");
    std::map<std::string, std::string> headers{{"X-Request-Id", id == nullptr ? "" : *id},
                                               {"Keep-Alive", "timeout=10"}};
    const int key = key_text == nullptr ? 0 : std::stoi(*key_text);
    const bool meant = id != nullptr && (expected == nullptr || *expected == m_id);
    const bool may_run =
        meant && (!m_options.sharded || m_judge.begin_work(m_options.machine, key));
    if (!may_run) {
        headers["X-Not-Executed"] = "1";
        return stream.write(http_bytes(
            id == nullptr ? "HTTP/1.1 400 Bad Request" : "HTTP/1.1 421 Misdirected", headers, ""));
    }
    ++m_run;
    ++m_running;
    {
        const std::lock_guard lock(m_mutex);
        m_requests_run.insert(*id);
    }
    std::this_thread::sleep_for(work_of(message));
    const bool in_time = !m_options.sharded || m_judge.end_work(m_options.machine, key);
    --m_running;
    headers["X-Server-Load"] = std::to_string(m_running) + ",0," + std::to_string(m_options.slots);
    headers["X-Response-Signature"] = m_id + "." + *id;
    const std::string bytes = http_bytes(in_time ? "HTTP/1.1 200 OK" : "HTTP/1.1 500 Lease Over",
                                         headers, std::string(m_options.answer_bytes, 'a'));
    const std::uint64_t number = ++m_answers;
    const int every = m_options.extra_answer_every;
    if (m_faulty && every > 0 && number % static_cast<std::uint64_t>(every) == 0) {
        extra = bytes;
    }
    if (!stream.write(bytes)) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    m_requests_answered.insert(*id);
    return true;
}

nlohmann::json app_server::heartbeat_body() {
    return {{"address", m_system.app(m_options.machine).text()},
            {"born", m_born},
            {"info",
             {{"service", m_system.service(m_options.machine)},
              {"version", "v1"},
              {"zone", m_system.zone(m_options.machine)},
              {"slots", m_options.slots}}},
            {"status",
             {{"state", m_draining ? "draining" : "ready"},
              {"sequence", ++m_sequence},
              {"cold_remaining_s", 0}}},
            {"holds", m_judge.rows(m_options.machine)},
            {"freed", nlohmann::json::array()}};
}

void app_server::beat(const life_ptr &own, milliseconds delay) {
    bool told_draining = false;
    if (!wait(own, delay)) {
        return;
    }
    const auto interval = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(m_system.settings().heartbeat_s));
    while (!own->over) {
        const bool draining = m_draining;
        const auto answer = call(m_system.control(m_options.machine),
                                 "PUT /peppertack/instances/" + m_id + " HTTP/1.1",
                                 {{"Host", "node"}, {"Content-Type", "application/json"}},
                                 heartbeat_body().dump(), beat_patience);
        if (own->over) {
            return;
        }
        if (draining && answer && answer->status() / 100 == 2) {
            m_drain_acknowledged = true;
        }
        if (draining && !told_draining) {
            told_draining = true;
            m_record.note("server " + m_id + " has said that it drains, answer " +
                          (answer ? std::to_string(answer->status()) : std::string("none")));
        }
        const instant next = clock_type::now() + interval;
        // That it leaves is said at once.
        while (!own->over && clock_type::now() < next && (!m_draining || told_draining)) {
            std::this_thread::sleep_for(short_wait);
        }
    }
}

} // namespace review
