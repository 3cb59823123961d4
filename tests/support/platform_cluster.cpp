#include "platform_cluster.hpp"

#include "child_process.hpp"
#include "failure_report.hpp"
#include "local_cluster.hpp"
#include "peppertack/transport/http/whole_request.hpp"
#include "power_loss.hpp"
#include "wall_clock.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace peppertack::testing {

namespace {

constexpr std::uint32_t sampled_keys = 64; ///< the oracle looks at every 1024th key
constexpr std::uint32_t sample_distance = 1024;
constexpr duration hold_slack = std::chrono::milliseconds(40); ///< late timers of this process
constexpr auto beat_again = std::chrono::milliseconds(40);
constexpr auto piece_pause = std::chrono::milliseconds(5);
constexpr std::size_t unsent_pieces = 64U << 10U;     ///< bytes beyond which a target sends no more
constexpr const char *crashing_path = "/a/crash";     ///< ends each target that runs it
constexpr std::string_view working_path = "/a/busy/"; ///< milliseconds follow

/// The number behind a prefix of a path, if the path begins with it.
std::optional<std::int64_t> number_behind(std::string_view prefix, const std::string &path) {
    if (path.rfind(prefix, 0) != 0) {
        return std::nullopt;
    }
    return std::stoll(path.substr(prefix.size()));
}

/// How long a target works on a request for that path, if the path says so.
std::optional<duration> work_on(const std::string &path) {
    const auto number = number_behind(working_path, path);
    return number ? std::optional<duration>(std::chrono::milliseconds(*number)) : std::nullopt;
}

std::string answer_to(const std::string &path, const std::string &id) {
    if (const auto length = number_behind(exact_path, path)) {
        return exact_answer(id, static_cast<std::size_t>(*length));
    }
    return long_answer(id, static_cast<std::size_t>(number_behind(long_path, path).value_or(0)));
}

/// Whether the connections of this process that were accepted at `address` are reset when they are
/// closed. The product's server, which stand-in targets use, never resets any.
void reset_on_close(const std::string &address, bool reset) {
    const asio::ip::tcp::endpoint own = endpoint_from(address);
    const linger how{.l_onoff = reset ? 1 : 0, .l_linger = 0};
    std::error_code ignored;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd", ignored)) {
        const int descriptor = std::stoi(entry.path().filename());
        asio::ip::tcp::endpoint local;
        auto size = static_cast<socklen_t>(local.capacity());
        if (::getsockname(descriptor, local.data(), &size) == 0 && local == own) {
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &how, sizeof how);
        }
    }
}

/// Collects an answer and hands it on.
class whole_answer final : public http_response_handler {
public:
    /// `status`: -1 if there was no whole answer, `no_connection` if nothing was sent; `head` has
    /// no headers then.
    using function =
        std::function<void(int status, const std::string &body, const http_head &head)>;
    static constexpr int no_connection = -2;
    explicit whole_answer(function done) : m_done(std::move(done)) {}
    void on_response_head(http_head head) override { m_head = std::move(head); }
    void on_response_body(std::string_view piece) override { m_body.append(piece); }
    void on_response_end() override { m_done(m_head.status, m_body, m_head); }
    void on_call_failed(call_failure why, const std::string &) override {
        m_done(sent_nothing(why) ? no_connection : -1, {}, {});
    }
    void keep(std::shared_ptr<http_call> call) { m_call = std::move(call); }

private:
    function m_done;
    std::string m_body;
    http_head m_head;
    std::shared_ptr<http_call> m_call;
};

/// Makes a call whose handler lives until it was told the end. Yields whether its connection served
/// others before.
bool call(asio::io_context &io, http_client_pool &pool, const std::string &address, http_head head,
          const std::string &body, whole_answer::function done, bool fresh = false) {
    if (!body.empty()) {
        head.framing = body_framing::length;
        head.content_length = body.size();
    }
    const bool whole = head.content_length == body.size();
    auto kept = std::make_shared<std::shared_ptr<whole_answer>>();
    *kept = std::make_shared<whole_answer>(
        [&io, kept, done = std::move(done)](int status, const std::string &text,
                                            const http_head &head) {
            done(status, text, head);
            asio::post(io, [kept] { kept->reset(); });
        });
    const auto open = pool.start(address, head, *kept, fresh);
    (*kept)->keep(open);
    open->send_body(body);
    if (whole) {
        open->request_done();
    }
    return open->reused();
}

/// Tells also when its connection is closed before it was answered.
class watched_request final : public whole_request {
public:
    watched_request(const std::shared_ptr<http_exchange> &caller, function handle,
                    std::function<void(const http_head &)> gone)
        : whole_request(caller, std::move(handle)), m_connection(caller), m_gone(std::move(gone)) {}
    void on_caller_gone() override {
        if (const auto connection = m_connection.lock()) {
            m_gone(connection->request());
        }
    }

private:
    std::weak_ptr<http_exchange> m_connection;
    std::function<void(const http_head &)> m_gone;
};

/// Writes an answer into the attempt that waits for it.
struct operator_answer {
    bool over = false;
    int status = -1;
    std::string text;
    std::string location;    ///< of a redirection
    std::string retry_after; ///< seconds; empty if none
};

whole_answer::function fill_in(const std::shared_ptr<caller_attempt> &attempt) {
    return [attempt](int status, const std::string &body, const http_head &head) {
        const std::string *retry_after = head.find("Retry-After");
        attempt->retry_after = retry_after == nullptr ? std::string() : *retry_after;
        attempt->body = body;
        attempt->unsent = status == whole_answer::no_connection;
        attempt->status = attempt->unsent ? -1 : status;
    };
}

} // namespace

std::string long_answer(const std::string &id, std::size_t length) {
    const std::string unit = "ran " + id;
    std::string text = unit;
    text.reserve(std::max(length, unit.size()) + unit.size());
    while (text.size() < length) {
        text += unit;
    }
    text.resize(std::max(length, unit.size()));
    return text;
}

std::string exact_answer(const std::string &id, std::size_t length) {
    return long_answer(id, length).substr(0, length);
}

// ---- targets ----

stand_in_platform_target::stand_in_platform_target(platform_cluster &cluster, std::size_t place)
    : m_cluster(cluster), m_place(place), m_service(cluster.m_options.services[place]),
      m_capacity(cluster.m_options.capacity) {}

void stand_in_platform_target::start() {
    m_name = "i-" + std::to_string(m_place) + "-" + std::to_string(++m_cluster.m_lives);
    m_born = read_clocks().wall_ms;
    come_up();
}

void stand_in_platform_target::start_again(duration clock_step) {
    const auto step = std::chrono::duration_cast<std::chrono::milliseconds>(clock_step).count();
    const std::int64_t now = read_clocks().wall_ms + step;
    // A real process takes more than a millisecond to start.
    m_born = step < 0 ? now : std::max(now, m_born + 1);
    come_up();
}

void stand_in_platform_target::come_up() {
    if (std::exchange(m_unreachable, false)) {
        m_cluster.target_links(m_place).refuse(false);
    }
    m_sequence = 0;
    m_draining = false;
    m_leaving = false;
    m_holds.clear();
    m_freed = nlohmann::json::array();
    m_life = std::make_shared<bool>(true);
    m_running = 0;
    m_queue.clear();
    m_cold_arrivals.clear();
    m_cold_until = steady_instant() + m_cluster.m_options.cold_start;
    m_server = std::make_unique<http_server>(
        m_cluster.m_io, http_server::options{.address = listening_address()},
        [this](const auto &caller) {
            return std::make_shared<watched_request>(
                caller,
                [this](const auto &from, const std::string &body) { take_request(from, body); },
                [this](const http_head &head) {
                    if (const std::string *id = head.find("X-Request-Id")) {
                        m_cluster.m_stops.note_run_end(*id, m_place, true);
                        m_cluster.m_cut_runs.push_back(*id);
                        m_cluster.note_cut(*id, m_place);
                        m_at_work.erase(*id);
                    }
                });
        });
    std::string reason;
    if (!m_server->start(reason)) {
        m_cluster.violate("a stand-in target can't listen: " + reason);
    }
    beat();
}

void stand_in_platform_target::crash() {
    m_cluster.m_ended_lives.emplace(life(), steady_instant());
    for (const std::string &id : std::exchange(m_at_work, {})) {
        m_cluster.note_broken(id, m_place);
    }
    m_life.reset();
    m_holds.clear();
    m_server.reset();
}

std::string stand_in_platform_target::listening_address() const {
    return m_cluster.behind_ip(m_place) + ":" + std::to_string(m_cluster.m_ports.at("target"));
}

std::string stand_in_platform_target::leave_address() {
    m_server.reset();
    return listening_address();
}

bool stand_in_platform_target::holds_key(std::uint32_t key, instant now) const {
    return std::any_of(m_holds.begin(), m_holds.end(), [&](const stand_in_hold &hold) {
        return hold.from <= key && key <= hold.to && now < hold.until;
    });
}

void stand_in_platform_target::become_cold(duration length) {
    m_cold_until = steady_instant() + length;
}

bool stand_in_platform_target::cold() const {
    return m_cluster.m_options.cold_per_s > 0 && steady_instant() < m_cold_until;
}

void stand_in_platform_target::note_arrival_while_cold() {
    const instant now = steady_instant();
    m_cold_arrivals.push_back(now);
    while (m_cold_arrivals.front() + std::chrono::seconds(1) < now) {
        m_cold_arrivals.pop_front();
    }
    m_most_while_cold = std::max(m_most_while_cold, m_cold_arrivals.size());
    const platform_cluster::options &limits = m_cluster.m_options;
    const double bound = limits.cold_per_s * limits.cold_over + limits.cold_slack;
    if (static_cast<double>(m_cold_arrivals.size()) > bound) {
        m_cluster.violate(life() + " got " + std::to_string(m_cold_arrivals.size()) +
                          " requests in a second while it was cold");
        m_cold_arrivals.clear();
    }
}

nlohmann::json stand_in_platform_target::heartbeat_body() const {
    const instant now = steady_instant();
    const double cold_left =
        cold() ? std::chrono::duration<double>(m_cold_until - now).count() : 0.0;
    nlohmann::json holds = nlohmann::json::array();
    for (const stand_in_hold &hold : m_holds) {
        if (now < hold.until) {
            holds.push_back({hold.from, hold.to, hold.token});
        }
    }
    return {{"address",
             m_cluster.node_ip(m_place) + ":" + std::to_string(m_cluster.m_ports.at("target"))},
            {"born", m_born},
            {"info", {{"service", m_service}, {"slots", m_cluster.m_options.slots}}},
            {"status",
             {{"state", m_draining ? "draining" : "ready"},
              {"sequence", m_sequence},
              {"cold_remaining_s", cold_left}}},
            {"holds", holds},
            {"freed", m_freed}};
}

void stand_in_platform_target::beat() {
    const instant sent = steady_instant();
    ++m_sequence;
    const nlohmann::json body = heartbeat_body();
    http_head head;
    head.method = "PUT";
    head.target = "/peppertack/instances/" + m_name;
    head.headers = {{"Host", "node"}};
    call(m_cluster.m_io, m_cluster.m_pool, m_cluster.control_address(m_place), head, body.dump(),
         [this, sent, life = std::weak_ptr(m_life)](int status, const std::string &text,
                                                    const http_head &) {
             if (!life.expired() && status == 200) {
                 take_answer(text, sent);
             }
         });
    const auto pause = std::chrono::duration<double>(m_cluster.m_options.heartbeat_s);
    auto timer = std::make_shared<asio::steady_timer>(
        m_cluster.m_io, m_freed.empty()
                            ? std::chrono::duration_cast<asio::steady_timer::duration>(pause)
                            : asio::steady_timer::duration(beat_again));
    timer->async_wait([this, timer, life = std::weak_ptr(m_life)](asio::error_code error) {
        if (!error && !life.expired()) {
            beat();
        }
    });
}

void stand_in_platform_target::take_answer(const std::string &body, instant sent) {
    m_freed = nlohmann::json::array();
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("holds")) {
        return;
    }
    const instant until =
        sent + duration(static_cast<duration::rep>(answer.at("hold_s").get<double>() * 1e6));
    std::vector<stand_in_hold> next;
    for (const nlohmann::json &row : answer.at("holds")) {
        next.push_back({row.at(0), row.at(1), row.at(2), until});
    }
    const instant now = steady_instant();
    for (const stand_in_hold &old : m_holds) {
        const bool kept = std::any_of(next.begin(), next.end(), [&](const stand_in_hold &hold) {
            return hold.from <= old.from && old.to <= hold.to;
        });
        if (!kept && now < old.until) {
            m_freed.push_back({old.from, old.to, "h-" + std::to_string(old.token)});
        }
    }
    m_holds = std::move(next);
    for (const stand_in_hold &hold : m_holds) {
        m_cluster.note_hold(*this, hold);
    }
}

void stand_in_platform_target::take_request(const std::shared_ptr<http_exchange> &caller,
                                            const std::string &body) {
    const http_head &head = caller->request();
    if (head.target.rfind("/peppertack/", 0) == 0) {
        take_hold_call(caller, body);
        return;
    }
    const std::string *id = head.find("X-Request-Id");
    const std::string *expected = head.find("X-Expected-Instance");
    const std::string *key = head.find("X-Shard-Key");
    std::vector<header_field> headers{{"X-Instance-Id", m_name}};
    if (id == nullptr) { // a health check
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            cold() ? m_cold_until - steady_instant() : duration{});
        headers.push_back({"X-Cold-Ms", std::to_string(left.count())});
        caller->respond(200, headers, {});
        return;
    }
    ++m_requests;
    headers.push_back({"X-Request-Id", *id});
    if (!m_limit.empty()) {
        headers.push_back({"Server-Limit", m_limit});
    }
    if (m_leaving) {
        headers.push_back({"Server-Leaving", "1"});
    }
    const bool wrong = expected == nullptr || *expected != m_name;
    if (wrong || (key != nullptr && !holds_key(std::stoul(*key), steady_instant()))) {
        headers.push_back({"X-Not-Executed", "1"});
        caller->respond(421, headers, {});
        return;
    }
    if (cold()) {
        note_arrival_while_cold();
    }
    admit([this, caller, body, headers] { run(caller, body, headers); });
}

void stand_in_platform_target::set_capacity(target_capacity capacity) {
    m_capacity = capacity;
    start_queued();
}

void stand_in_platform_target::admit(std::function<void()> run) {
    if (m_running < m_capacity.slots) {
        run();
    } else if (m_queue.size() < m_capacity.queue) {
        m_queue.push_back(std::move(run));
    } else {
        ++m_left_unanswered; // the server reads no further request from that connection
    }
}

void stand_in_platform_target::start_queued() {
    while (!m_queue.empty() && m_running < m_capacity.slots) {
        const auto run = std::move(m_queue.front());
        m_queue.pop_front();
        run();
    }
}

struct stand_in_platform_target::sending {
    std::shared_ptr<http_exchange> caller;
    std::vector<header_field> headers;
    std::string id;
    std::string text;
    answer_manner manner;
    asio::steady_timer timer;
    std::size_t sent = 0;
    bool finished = false;
};

/// Goes on also when nobody waits for the answer any more, as a target that does not look at its
/// connections while it works.
void stand_in_platform_target::run(const std::shared_ptr<http_exchange> &caller,
                                   const std::string &body, std::vector<header_field> headers) {
    const http_head &head = caller->request();
    const std::string *id = head.find("X-Request-Id");
    m_cluster.note_run(*id, body, *this);
    m_at_work.insert(*id);
    m_cluster.m_stops.note_run(*id, m_place);
    if (head.target == crashing_path) {
        ++m_crashes;
        // Not within the call of the server that goes.
        asio::post(m_cluster.m_io, [this, life = std::weak_ptr(m_life)] {
            if (!life.expired()) {
                crash();
                m_unreachable = true;
                m_cluster.target_links(m_place).refuse(true);
            }
        });
        return;
    }
    headers.push_back({"X-Response-Signature", m_name});
    const platform_cluster::options &settings = m_cluster.m_options;
    const duration usual = settings.work_at ? settings.work_at(m_place) : settings.work;
    auto timer =
        std::make_shared<asio::steady_timer>(m_cluster.m_io, work_on(head.target).value_or(usual));
    ++m_running;
    timer->async_wait([this, timer, caller, headers, id = *id,
                       life = std::weak_ptr(m_life)](asio::error_code error) {
        if (error || life.expired()) {
            return;
        }
        --m_running;
        if (!caller->closed()) {
            m_cluster.m_stops.note_run_end(id, m_place, false);
            m_cluster.note_answered(id);
            std::string text = answer_to(caller->request().target, id);
            if (const auto &manner_at = m_cluster.m_options.answer_manner_at) {
                send_piece(std::make_shared<sending>(
                    sending{.caller = caller,
                            .headers = headers,
                            .id = id,
                            .text = std::move(text),
                            .manner = manner_at(m_place),
                            .timer = asio::steady_timer(m_cluster.m_io)}));
            } else {
                m_at_work.erase(id);
                m_cluster.note_whole(id, m_place);
                caller->respond(200, headers, text);
            }
        }
        start_queued();
    });
}

/// The request counts as answered once the system has all of the answer, which it delivers also
/// when this process ends.
void stand_in_platform_target::send_piece(const std::shared_ptr<sending> &answer) {
    http_exchange &caller = *answer->caller;
    const bool breaks = answer->manner.end != answer_manner::ending::whole;
    if (answer->finished) {
        m_at_work.erase(answer->id);
        m_cluster.note_whole(answer->id, m_place);
        return;
    }
    if (caller.closed()) {
        return;
    }
    if (!caller.answer_begun()) {
        http_head head;
        head.status = 200;
        head.headers = answer->headers;
        head.framing = answer->manner.chunked ? body_framing::chunked : body_framing::length;
        head.content_length = answer->text.size();
        caller.send_head(std::move(head));
    }
    const auto all = static_cast<double>(answer->text.size());
    const std::size_t end =
        breaks ? static_cast<std::size_t>(all * answer->manner.part) : answer->text.size();
    if (answer->sent < end && !caller.backlogged(unsent_pieces)) {
        const std::size_t size = std::min(answer->manner.piece, end - answer->sent);
        caller.send_body(std::string_view(answer->text).substr(answer->sent, size));
        answer->sent += size;
    }
    if (answer->sent == end && !caller.backlogged(0)) {
        if (breaks) {
            break_off(*answer);
            return;
        }
        caller.finish();
        answer->finished = true;
    }
    answer->timer.expires_after(piece_pause);
    answer->timer.async_wait([this, answer, life = std::weak_ptr(m_life)](asio::error_code error) {
        if (!error && !life.expired()) {
            send_piece(answer);
        }
    });
}

void stand_in_platform_target::break_off(const sending &answer) {
    m_at_work.erase(answer.id);
    m_cluster.note_broken(answer.id, m_place);
    switch (answer.manner.end) {
    case answer_manner::ending::whole: break;
    case answer_manner::ending::closed: answer.caller->abort(); break;
    case answer_manner::ending::reset:
        reset_on_close(listening_address(), true);
        answer.caller->abort();
        reset_on_close(listening_address(), false);
        break;
    case answer_manner::ending::process_ends:
        // Not within the call of the server that goes.
        asio::post(m_cluster.m_io, [this, life = std::weak_ptr(m_life)] {
            if (!life.expired()) {
                crash();
            }
        });
        break;
    }
}

void stand_in_platform_target::take_hold_call(const std::shared_ptr<http_exchange> &caller,
                                              const std::string &body) {
    const nlohmann::json in = nlohmann::json::parse(body);
    const instant arrived = steady_instant();
    const bool grant = caller->request().target == "/peppertack/grant";
    ++(grant ? m_grants : m_releases);
    if (!grant && m_faults.crash_on_release) {
        asio::post(m_cluster.m_io, [this] { crash(); });
        return;
    }
    const auto carry_out = [this, in, arrived, grant] {
        if (!grant) {
            apply_release(in);
            return 200;
        }
        return apply_grant(in, arrived);
    };
    if (m_faults.late > duration{}) {
        auto timer = std::make_shared<asio::steady_timer>(m_cluster.m_io, m_faults.late);
        timer->async_wait([timer, carry_out, life = std::weak_ptr(m_life)](asio::error_code error) {
            if (!error && !life.expired()) {
                carry_out();
            }
        });
        return;
    }
    const int status = carry_out();
    if (!m_faults.lose_answers) {
        std::vector<header_field> headers;
        if (!grant) {
            headers.push_back({"X-Handover", "h-" + std::to_string(in.at("fence").get<int>())});
        }
        caller->respond(status, headers, {});
    }
}

int stand_in_platform_target::apply_grant(const nlohmann::json &call, instant arrived) {
    stand_in_hold hold{.from = call.at("from"),
                       .to = call.at("target_version"),
                       .token = call.at("fence"),
                       .until = arrived + duration(static_cast<duration::rep>(
                                              call.at("hold_s").get<double>() * 1e6))};
    if (hold.token < m_faults.seen_token) {
        return 409;
    }
    if (hold.until <= steady_instant()) {
        return 200; // over before it was carried out
    }
    drop_part(hold.from, hold.to);
    m_holds.push_back(hold);
    m_cluster.note_hold(*this, hold);
    return 200;
}

void stand_in_platform_target::apply_release(const nlohmann::json &call) {
    drop_part(call.at("from"), call.at("target_version"));
}

/// Lets go of keys, also of a part of what was granted by one call.
void stand_in_platform_target::drop_part(std::uint32_t from, std::uint32_t to) {
    std::vector<stand_in_hold> left;
    for (const stand_in_hold &old : m_holds) {
        stand_in_hold lower = old;
        stand_in_hold upper = old;
        lower.to = std::min(old.to, from - 1);
        upper.from = std::max(old.from, to + 1);
        if (from > old.from && lower.from <= lower.to) {
            left.push_back(lower);
        }
        if (to < old.to && upper.from <= upper.to) {
            left.push_back(upper);
        }
    }
    m_holds = std::move(left);
}

// ---- the cluster ----

platform_cluster::platform_cluster(options settings)
    : m_options(std::move(settings)), m_pool(m_io, {.id_header = "X-Request-Id"}) {
    static int number = 0;
    m_folder =
        std::filesystem::temp_directory_path() /
        ("peppertack-platform-" + std::to_string(::getpid()) + "-" + std::to_string(++number));
    std::filesystem::create_directories(m_folder);
    for (const char *use : {"target", "control", "ready", "callers", "nodes", "peer", "metrics"}) {
        m_ports[use] = free_port();
    }
    m_voters.assign(m_options.voters, -1);
    m_nodes.assign(nodes(), -1);
    for (std::size_t i = 0; i < m_options.voters; ++i) {
        start_voter(i, true);
    }
    for (std::size_t i = 0; i < nodes(); ++i) {
        const auto link = [&](const char *use) {
            const std::string port = ":" + std::to_string(m_ports.at(use));
            return std::make_unique<fault_proxy>(m_io, node_ip(i) + port, behind_ip(i) + port);
        };
        if (!m_options.direct) {
            m_node_links.push_back(link("nodes"));
            m_target_links.push_back(link("target"));
        }
        start_node(i);
        m_targets.push_back(std::make_unique<stand_in_platform_target>(*this, i));
        m_targets.back()->start();
    }
}

platform_cluster::~platform_cluster() {
    for (auto *list : {&m_nodes, &m_voters}) {
        for (pid_t &process : *list) {
            end(process);
        }
    }
    if (m_keep || case_failed()) {
        report_failure(m_folder);
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

// Each deployment has addresses of its own, so that several can run on one machine.
std::string platform_cluster::voter_ip(std::size_t place) const {
    return "127." + std::to_string(1 + ::getpid() % 200) + ".1." + std::to_string(place + 1);
}

std::string platform_cluster::node_ip(std::size_t place) const {
    return "127." + std::to_string(1 + ::getpid() % 200) + ".2." + std::to_string(place + 1);
}

std::string platform_cluster::behind_ip(std::size_t place) const {
    return m_options.direct
               ? node_ip(place)
               : "127." + std::to_string(1 + ::getpid() % 200) + ".3." + std::to_string(place + 1);
}

std::string platform_cluster::settings_text(const std::string &ip, const std::string &behind,
                                            const std::string &zone, const std::string &service,
                                            const std::string &data, bool first) const {
    const auto at = [&](const char *use) { return ip + ":" + std::to_string(m_ports.at(use)); };
    std::string seeds;
    for (std::size_t i = 0; i < m_options.voters; ++i) {
        seeds += (i == 0 ? "" : ",") + voter_ip(i) + ":" + std::to_string(m_ports.at("control"));
    }
    return "peer-address = " + at("peer") + "\nmetrics-address = " + at("metrics") +
           "\nfailure-domain = " + zone + "\nservice = " + service +
           "\nfailure-domains = " + R"({"z":"r","z0":"r","z1":"r","z2":"r"})" + "\nevacuate-s = 3" +
           "\ntarget-address = " + at("target") + "\ncaller-address = " + at("callers") +
           "\nnode-address = " + behind + ":" + std::to_string(m_ports.at("nodes")) +
           "\nready-address = " + at("ready") + "\ncontrol-address = " + at("control") +
           "\nseeds = " + seeds + "\ndata-folder = " + data +
           "\nfounding = " + (first ? "true" : "false") +
           "\nlosses = " + std::to_string(m_options.losses) +
           "\nheartbeat-interval-s = " + std::to_string(m_options.heartbeat_s) +
           "\ngrants = " + m_options.grants +
           "\ncold-over = " + std::to_string(m_options.cold_over) +
           "\ncold-slack = " + std::to_string(m_options.cold_slack) +
           "\nmemory-mb = " + std::to_string(m_options.memory_mb) +
           "\nmax-descriptors = " + std::to_string(m_options.max_descriptors) +
           "\nmost-hold-s = 10\ngrace-s = 6\nlink-mbps = " + std::to_string(m_options.link_mbps) +
           "\n";
}

pid_t platform_cluster::spawn(const std::string &role, const std::string &name,
                              const std::string &settings) {
    const std::string path = m_folder + "/" + name + ".conf";
    child_options options{.words = {m_options.programs + "/peppertack_platform", role},
                          .log_file = m_folder + "/" + name + ".log",
                          .environment = m_options.environment,
                          .max_descriptors = m_options.max_descriptors};
    options.environment.push_back("PEPPERTACK_BOOT=" + path);
    pid_t process = -1;
    run_beside([&] {
        std::ofstream(path) << settings;
        process = start_child(options);
    });
    return process;
}

void platform_cluster::run_beside(const std::function<void()> &work) {
    const auto guard = asio::make_work_guard(m_io);
    const std::future<void> done = std::async(std::launch::async, work);
    run_until([&] { return done.wait_for(std::chrono::seconds(0)) == std::future_status::ready; },
              std::chrono::hours(1));
}

void platform_cluster::start_voter(std::size_t place, bool first) {
    m_voters[place] =
        spawn("voter", "voter-" + std::to_string(place),
              settings_text(voter_ip(place), voter_ip(place), "z", "", voter_folder(place), first));
}

void platform_cluster::start_node(std::size_t place) {
    const std::string zone = "z" + std::to_string(place % 3);
    m_nodes[place] = spawn("beside-target", "node-" + std::to_string(place),
                           settings_text(node_ip(place), behind_ip(place), zone,
                                         m_options.services[place], "", false));
}

void platform_cluster::wipe_voter(std::size_t place) {
    run_beside([&] {
        std::filesystem::remove_all(voter_folder(place));
        std::filesystem::remove_all(voter_folder(place) + ".disk");
    });
}

void platform_cluster::cut_voter_power(std::size_t place, std::uint64_t seed) {
    end_voter(place);
    run_beside([&] { lose_power(voter_folder(place), seed); });
}

std::string platform_cluster::voter_folder(std::size_t place) const {
    return m_folder + "/voter-" + std::to_string(place);
}

std::size_t platform_cluster::voter_log_lines(std::size_t place, const std::string &event) const {
    std::ifstream in(m_folder + "/voter-" + std::to_string(place) + ".log");
    std::size_t count = 0;
    for (std::string line; std::getline(in, line);) {
        count += line.find("\"" + event + "\"") != std::string::npos ? 1 : 0;
    }
    return count;
}

void platform_cluster::signal(pid_t process, int number) const {
    if (process > 0) {
        ::kill(process, number);
    }
}

void platform_cluster::end(pid_t &process) {
    if (process > 0) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
        process = -1;
    }
}

bool platform_cluster::ended(pid_t &process) {
    if (process > 0 && ::waitpid(process, nullptr, WNOHANG) == process) {
        process = -1;
    }
    return process <= 0;
}

std::string platform_cluster::status_of(pid_t process, const std::string &field) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    const std::string name = field + ":\t";
    for (std::string line; std::getline(in, line);) {
        if (line.rfind(name, 0) == 0) {
            return line.substr(name.size());
        }
    }
    return {};
}

std::uint64_t platform_cluster::status_bytes(pid_t process, const std::string &field) {
    const std::string kilobytes = status_of(process, field);
    return kilobytes.empty() ? 0 : std::stoull(kilobytes) * 1024;
}

std::uint64_t platform_cluster::node_memory(std::size_t place) const {
    return status_bytes(m_nodes[place], "VmRSS");
}

process_usage platform_cluster::usage_of(pid_t process) {
    process_usage usage{.process = process,
                        .memory = status_bytes(process, "VmRSS"),
                        .peak = status_bytes(process, "VmHWM")};
    std::error_code error;
    std::filesystem::directory_iterator open("/proc/" + std::to_string(process) + "/fd", error);
    for (; !error && open != std::filesystem::directory_iterator(); open.increment(error)) {
        ++usage.descriptors;
    }
    return usage;
}

bool platform_cluster::node_paused(std::size_t place) const {
    return status_of(m_nodes[place], "State").rfind('T', 0) == 0;
}

void platform_cluster::stop_node(std::size_t place) {
    m_stops.note_stop(place);
    signal_node(place, SIGTERM);
}

bool platform_cluster::run_until(const std::function<bool()> &condition, duration patience) {
    const instant limit = steady_instant() + patience;
    bool holds = condition(); // evaluated once a round: it may send requests
    while (!holds && steady_instant() < limit) {
        m_io.restart();
        m_io.run_one_for(std::chrono::milliseconds(10));
        holds = condition();
    }
    return holds;
}

instant platform_cluster::now() {
    return steady_instant();
}

void platform_cluster::run_for(duration time) {
    run_until([] { return false; }, time);
}

std::pair<int, std::string> platform_cluster::operate(const std::string &method,
                                                      const std::string &body,
                                                      const std::string &path) {
    std::pair<int, std::string> result{-1, {}};
    for (std::size_t i = 0; i < m_options.voters && result.first != 200; ++i) {
        std::string address = voter_ip(i) + ":" + std::to_string(m_ports.at("control"));
        for (int redirections = 0; redirections < 3 && !address.empty(); ++redirections) {
            http_head head;
            head.method = method;
            head.target = path;
            head.headers = {{"Host", "voter"}};
            const auto answer = std::make_shared<operator_answer>(); // may come after this call
            call(m_io, m_pool, address, head, body,
                 [answer](int status, const std::string &text, const http_head &received) {
                     const std::string *next = received.find("Location");
                     const std::string *pause = received.find("Retry-After");
                     *answer = {.over = true,
                                .status = status,
                                .text = text,
                                .location = next == nullptr ? std::string() : *next,
                                .retry_after = pause == nullptr ? std::string() : *pause};
                 });
            if (!run_until([&] { return answer->over; }, std::chrono::seconds(5))) {
                return {-1, {}};
            }
            result = {answer->status, answer->text};
            if (!answer->retry_after.empty()) {
                run_for(std::chrono::milliseconds(
                    static_cast<std::int64_t>(1000 * std::stod(answer->retry_after))));
            }
            const std::string &location = answer->location;
            address = result.first == 307 && location.size() > 7
                          ? location.substr(7, location.find('/', 7) - 7)
                          : std::string();
        }
        if (result.first >= 400 && result.first < 500) {
            break;
        }
    }
    return result;
}

std::string platform_cluster::operator_address(std::size_t voter) const {
    return voter_ip(voter) + ":" + std::to_string(m_ports.at("control"));
}

std::shared_ptr<caller_attempt> platform_cluster::ask_voter(std::size_t voter,
                                                            const operator_call &what) {
    http_head head;
    head.method = what.method;
    head.target = what.path;
    head.headers = {{"Host", "voter"}};
    auto attempt = std::make_shared<caller_attempt>();
    call(m_io, m_pool, operator_address(voter), head, what.body, fill_in(attempt), what.fresh);
    return attempt;
}

std::string platform_cluster::control_address(std::size_t node) const {
    return node_ip(node) + ":" + std::to_string(m_ports.at("control"));
}

std::pair<int, std::string> platform_cluster::tell(std::size_t node, const std::string &method,
                                                   const std::string &name,
                                                   const std::string &body) {
    http_head head;
    head.method = method;
    head.target = "/peppertack/instances/" + name;
    head.headers = {{"Host", "node"}};
    const auto attempt = std::make_shared<caller_attempt>();
    call(m_io, m_pool, control_address(node), head, body, fill_in(attempt));
    run_until([&] { return attempt->status != 0; });
    return {attempt->status, attempt->body};
}

bool platform_cluster::configure(std::uint64_t version, std::uint64_t base) {
    const std::string body = configuration(version, base);
    return run_until([&] { return operate("PUT", body).first == 200; });
}

std::string platform_cluster::configuration(std::uint64_t version, std::uint64_t base) const {
    const auto digits = [](std::uint64_t value) {
        std::string text =
            std::to_string(value); // below ten thousand both notations are read alike
        return std::string(8 - text.size(), '0') + text;
    };
    nlohmann::json config{{"version", digits(version)}, {"base_version", digits(base)}};
    const auto route = [&](const char *host, const char *type, const char *service) {
        return nlohmann::json{{"host", host},          {"path_prefix", "/a/"},
                              {"type", type},          {"timeout_s", m_options.timeout.count()},
                              {"target_latency_s", 1}, {"priority", 1},
                              {"service", service},    {"max_attempts", 2}};
    };
    config["routes"] = {{"keyed-safe", route("keyed-safe", "safe", "keyed")},
                        {"keyed-once", route("keyed-once", "unsafe", "keyed")},
                        {"plain-safe", route("plain-safe", "safe", "plain")},
                        {"plain-once", route("plain-once", "unsafe", "plain")}};
    if (m_options.downloads) {
        config["routes"]["keyed-download"] = route("keyed-download", "download", "keyed");
        config["routes"]["plain-download"] = route("plain-download", "download", "plain");
    }
    config["services"] = {
        {"keyed", {{"sharded", true}, {"health_path", "/healthz"}, {"grants", m_options.grants}}},
        {"plain", {{"health_path", "/healthz"}}}};
    if (m_options.cold_per_s > 0) {
        for (auto &[name, service] : config["services"].items()) {
            service["cold_per_s"] = m_options.cold_per_s;
            service["cold_start_s"] = std::chrono::duration<double>(m_options.cold_start).count();
        }
    }
    config["limits"] = {{"max_header_bytes", 16384},
                        {"max_body_bytes", m_options.max_body},
                        {"header_timeout_s", 3},
                        {"idle_timeout_s", 15}};
    return config.dump();
}

std::shared_ptr<caller_attempt> platform_cluster::send(std::size_t node, bool keyed, bool once,
                                                       std::uint32_t key, const std::string &body) {
    return send_to_path("/a/x", node, keyed, once, key, body);
}

std::shared_ptr<caller_attempt> platform_cluster::send_crashing(std::size_t node, bool keyed,
                                                                bool once, std::uint32_t key) {
    return send_to_path(crashing_path, node, keyed, once, key, "body");
}

std::shared_ptr<caller_attempt> platform_cluster::send_working(std::size_t node, bool keyed,
                                                               bool once, std::uint32_t key,
                                                               std::chrono::milliseconds work) {
    return send_to_path(std::string(working_path) + std::to_string(work.count()), node, keyed, once,
                        key, "body");
}

std::shared_ptr<caller_attempt> platform_cluster::expect(std::size_t node, bool once,
                                                         const std::string &body) {
    auto attempt = std::make_shared<caller_attempt>();
    attempt->id = "r" + std::to_string(++m_next_id);
    attempt->node = node;
    attempt->once = once;
    m_bodies[attempt->id] = body;
    m_attempts.push_back(attempt);
    return attempt;
}

http_head platform_cluster::request_head(const caller_attempt &attempt, const std::string &path,
                                         bool keyed, std::uint32_t key) const {
    const bool once = attempt.once;
    http_head head;
    head.method = once ? "POST" : "GET";
    head.target = path;
    head.headers = {{"Host", std::string(keyed ? "keyed-" : "plain-") + (once ? "once" : "safe")},
                    {"X-Request-Id", attempt.id},
                    {"X-Deadline-Ms", std::to_string(m_options.deadline.count())}};
    if (keyed) {
        head.headers.push_back({"X-Shard-Key", std::to_string(key)});
    }
    return head;
}

std::shared_ptr<caller_attempt>
platform_cluster::send_to_path(const std::string &path, std::size_t node, bool keyed, bool once,
                               std::uint32_t key, const std::string &body, bool fresh) {
    const auto attempt = expect(node, once, once ? body : "");
    attempt->path = path;
    http_head head = request_head(*attempt, path, keyed, key);
    head.keep_alive = !fresh;
    const std::string address = caller_address(node);
    m_stops.note_sent(attempt->id, node,
                      steady_instant() + std::min<duration>(m_options.deadline, m_options.timeout));
    const bool kept = call(
        m_io, m_pool, address, head, once ? body : "",
        [this, attempt, fill = fill_in(attempt)](int status, const std::string &text,
                                                 const http_head &answer) {
            fill(status, text, answer);
            m_stops.note_answer(attempt->id, attempt->status, attempt->unsent);
        },
        fresh);
    m_stops.note_connection(attempt->id, kept);
    return attempt;
}

std::shared_ptr<caller_attempt> platform_cluster::send_alone(std::size_t node, bool keyed,
                                                             std::uint32_t key) {
    return send_to_path("/a/x", node, keyed, false, key, "", true);
}

std::shared_ptr<caller_attempt> platform_cluster::read(std::size_t node, bool keyed,
                                                       std::uint32_t key, std::size_t length) {
    return send_to_path(std::string(long_path) + std::to_string(length), node, keyed, false, key,
                        "");
}

std::optional<std::uint64_t> platform_cluster::read_version() {
    std::string text;
    const bool got = run_until([&] {
        const auto answer = operate("GET", "");
        text = answer.second;
        return answer.first == 200;
    });
    return got ? std::optional(
                     std::stoull(nlohmann::json::parse(text).at("version").get<std::string>()))
               : std::nullopt;
}

std::shared_ptr<caller_attempt> platform_cluster::upload(std::size_t node, std::size_t size) {
    return send_to_path("/a/x", node, false, true, 0, std::string(size, 'u'), true);
}

std::shared_ptr<caller_attempt> platform_cluster::ask(std::size_t node, const std::string &host,
                                                      std::uint64_t length) {
    auto attempt = std::make_shared<caller_attempt>();
    attempt->id = "r" + std::to_string(++m_next_id);
    http_head head;
    head.method = length == 0 ? "GET" : "POST";
    head.target = "/a/x";
    head.headers = {{"Host", host}, {"X-Request-Id", attempt->id}, {"X-Deadline-Ms", "1500"}};
    if (length != 0) {
        head.framing = body_framing::length;
        head.content_length = length;
    }
    const std::string address = caller_address(node);
    call(m_io, m_pool, address, head, "", fill_in(attempt));
    return attempt;
}

bool platform_cluster::serves() {
    std::mt19937_64 random(m_options.seed);
    return run_until([&] {
        bool good = true;
        for (const bool keyed : {true, false}) {
            const auto attempt = send(random() % nodes(), keyed, false,
                                      static_cast<std::uint32_t>(random() % 65536));
            run_until([&] { return attempt->status != 0; }, std::chrono::seconds(3));
            good = good && attempt->status == 200;
            m_last_answers = m_last_answers.substr(m_last_answers.size() > 400 ? 100 : 0) +
                             attempt->id + (keyed ? " keyed " : " plain ") +
                             std::to_string(attempt->status) + "; ";
        }
        return good;
    });
}

void platform_cluster::note_whole(const std::string &id, std::size_t target) {
    run_record &runs = m_runs[id];
    runs.whole = runs.whole || runs.target == target;
}

void platform_cluster::note_broken(const std::string &id, std::size_t target) {
    run_record &runs = m_runs[id];
    runs.broken = runs.broken || runs.target == target;
}

void platform_cluster::note_cut(const std::string &id, std::size_t target) {
    run_record &runs = m_runs[id];
    if (runs.count > 0 && runs.target == target) {
        runs.cut = steady_instant();
    }
}

void platform_cluster::note_run(const std::string &id, const std::string &body,
                                const stand_in_platform_target &target) {
    run_record &runs = m_runs[id];
    runs.target = target.place();
    runs.life = target.life();
    runs.whole = false;
    runs.broken = false;
    runs.cut = {};
    runs.began = runs.count++ == 0 ? steady_instant() : runs.began;
    const auto sent = m_bodies.find(id);
    if (sent == m_bodies.end() || sent->second != body) {
        violate("request " + id + " ran with a body that was not sent");
    }
}

/// One owner of a key at any moment, and a later owner only with a higher token.
void platform_cluster::note_hold(const stand_in_platform_target &holder,
                                 const stand_in_hold &hold) {
    const instant now = steady_instant();
    for (const auto &other : m_targets) {
        for (const stand_in_hold &held : other->holds()) {
            if (other.get() != &holder && other->up() && held.from <= hold.to &&
                hold.from <= held.to && now + hold_slack < held.until) {
                violate(holder.name() + " and " + other->name() + " hold keys from " +
                        std::to_string(std::max(held.from, hold.from)) + " at the same time");
            }
        }
    }
    for (std::uint32_t i = 0; i < sampled_keys; ++i) {
        const std::uint32_t key = i * sample_distance;
        if (key < hold.from || key > hold.to) {
            continue;
        }
        auto &[highest, owner] = m_tokens[key];
        if (hold.token < highest || (hold.token == highest && owner != holder.life())) {
            violate("key " + std::to_string(key) + " went to " + holder.life() + " with token " +
                    std::to_string(hold.token) + " after " + owner + " had it with " +
                    std::to_string(highest));
        }
        highest = std::max(highest, hold.token);
        owner = holder.life();
    }
}

void platform_cluster::note_answered(const std::string &id) {
    run_record &runs = m_runs[id];
    runs.answered = runs.answered == instant{} ? steady_instant() : runs.answered;
}

/// Only idempotent requests of a connection may overlap. Those that failed are left out: a target
/// may run them after their answer.
void platform_cluster::check_turns(const caller_attempt &attempt) {
    const auto &previous = attempt.previous;
    if (!previous || !(previous->once || attempt.once) || previous->status != 200 ||
        attempt.status != 200) {
        return;
    }
    if (m_runs[attempt.id].began < m_runs[previous->id].answered) {
        violate(attempt.id + " ran before " + previous->id + " in front of it was answered; " +
                (attempt.once ? attempt.id : previous->id) + " takes effect once");
    }
}

void platform_cluster::check_requests() {
    for (const auto &attempt : m_attempts) {
        const auto found = m_runs.find(attempt->id);
        const int runs = found == m_runs.end() ? 0 : found->second.count;
        if (attempt->once && runs > 1) {
            violate(attempt->id + " may run once and ran " + std::to_string(runs) + " times");
        }
        if (attempt->once && attempt->promised() && runs > 0) {
            violate(attempt->id + " was answered " + std::to_string(attempt->status) +
                    " and has run");
        }
        if (attempt->status == 200 && attempt->body != answer_to(attempt->path, attempt->id)) {
            violate(attempt->id + " was answered with \"" + attempt->body + "\"");
        }
        if (attempt->status == 404 || attempt->status == 400) {
            violate(attempt->id + " is proper and was answered " + std::to_string(attempt->status));
        }
        check_turns(*attempt);
    }
    m_attempts.clear();
}

} // namespace peppertack::testing
