#include "cut_answers_run.hpp"

#include "pipelining_connection.hpp"

#include <algorithm>
#include <csignal>
#include <deque>
#include <iostream>

namespace peppertack::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto tick = 10ms;
constexpr std::size_t callers = 30;
constexpr std::uint64_t most_requests = 7;
constexpr std::uint64_t longest_answer = 4'000'000;
constexpr std::uint64_t longest_body = 2'500'000; ///< as the configuration allows
constexpr std::chrono::seconds timeout = 10s;     ///< of all routes
/// Without a byte, for a caller that reads: all deadlines are over then. Counted in ticks, as time
/// in which this process stands still does not count.
constexpr std::uint64_t patience_ticks = 13s / tick;
constexpr std::uint64_t longest_pause_ticks = 5s / tick;
constexpr std::uint64_t reconnect_ticks = 10;
constexpr std::uint64_t look_ticks = 10;
constexpr std::uint64_t most_node_memory = 256'000'000; ///< bytes, as told to the processes
constexpr duration finish_time = 40s;
constexpr int slow_window = 16 << 10;          ///< receive buffer of a slow caller, in bytes
constexpr std::size_t slow_piece = 64U << 10U; ///< bytes that it reads in a tick
constexpr std::size_t usual_piece = 1U << 20U; ///< bytes that others read in a tick
constexpr std::size_t most_told = 12;          ///< violations of a kind that are told

std::int64_t ms_of(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

std::int64_t wall_ms() { // as in logs
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

const char *name_of(answer_manner::ending end) {
    switch (end) {
    case answer_manner::ending::whole: return "whole";
    case answer_manner::ending::closed: return "closed";
    case answer_manner::ending::reset: return "reset";
    case answer_manner::ending::process_ends: return "process ended";
    }
    return "";
}

} // namespace

/// One caller with one connection at a time.
class cut_answers_run::caller {
public:
    enum class pace : std::uint8_t { usual, slow, pausing };
    caller(cut_answers_run &owner, std::size_t node, pace how)
        : m_owner(owner), m_node(node), m_pace(how) {}

    bool idle() const { return m_open.empty() && m_next.empty(); }
    void tend();
    std::string story() const;

private:
    using state = pipelining_connection::state;
    struct sent_request {
        std::shared_ptr<caller_attempt> attempt;
        std::string bytes;
        std::size_t length = 0;  ///< of its answer
        std::string what;        ///< for people
        std::uint64_t after = 0; ///< ticks from the one before it
        duration patience{};
        instant deadline{}; ///< none before it is sent
        bool behind = false;
        bool closes = false;
    };

    void prepare_batch();
    sent_request make_request(bool first);
    void send_due();
    void pass();
    void take(const pipelining_connection::answer &got);
    void check_time();
    void end(bool left, const std::string &how);
    void judge(instant ended, const std::string &how);

    cut_answers_run &m_owner;
    std::size_t m_node;
    pace m_pace;
    std::unique_ptr<pipelining_connection> m_connection;
    std::uint64_t m_pause = 0;        ///< ticks until it goes on
    std::uint64_t m_reading = 0;      ///< ticks until it reads again
    std::uint64_t m_still = 0;        ///< ticks without a byte that is awaited
    std::uint64_t m_closes_early = 0; ///< ticks until then; 0: it does not
    std::deque<sent_request> m_next;  ///< to be sent
    std::deque<sent_request> m_open;  ///< sent and not answered, in order
    std::string m_answered;           ///< the last one, for people
};

void cut_answers_run::caller::tend() {
    m_pause -= m_pause > 0 ? 1 : 0;
    if (!m_connection && m_pause == 0 && !m_owner.m_finishing) {
        m_connection = std::make_unique<pipelining_connection>(
            m_owner.m_cluster.io(), m_owner.m_cluster.caller_address(m_node),
            m_pace == pace::usual ? 0 : slow_window);
    }
    if (m_connection && m_connection->now() == state::open) {
        if (idle() && m_pause == 0 && !m_owner.m_finishing) {
            prepare_batch();
        }
        send_due();
    }
    if (m_connection) {
        pass();
    }
    if (m_closes_early > 0 && --m_closes_early == 0) {
        end(true, "left");
    }
    check_time();
}

void cut_answers_run::caller::prepare_batch() {
    const std::uint64_t count = 1 + m_owner.draw_load(most_requests);
    for (std::uint64_t i = 0; i < count; ++i) {
        m_next.push_back(make_request(i == 0));
    }
    m_closes_early = m_owner.draw_load(25) == 0 ? 1 + m_owner.draw_load(100) : 0;
    m_pause = m_owner.draw_load(30); // at least until the next one
}

/// The first has mostly a large answer. Those behind it have mostly longer deadlines, so that the
/// end of its own time does not excuse theirs.
cut_answers_run::caller::sent_request cut_answers_run::caller::make_request(bool first) {
    const auto pick = [this](std::uint64_t below) { return m_owner.draw_load(below); };
    sent_request made;
    const bool keyed = pick(2) == 0;
    const bool download = first ? pick(2) == 0 : pick(8) == 0;
    const std::uint64_t sort = first ? 4 + pick(6) : pick(10);
    made.length = sort < 2   ? pick(200)
                  : sort < 5 ? pick(70'000)
                  : sort < 8 ? pick(600'000)
                             : pick(longest_answer + 1);
    std::string body;
    if (pick(8) == 0) {
        body.assign(pick(4) == 0   ? pick(longest_body + 1)
                    : pick(8) == 0 ? longest_body
                                   : pick(3'000),
                    'w');
    }
    made.patience = std::chrono::milliseconds(first ? 1'000 + pick(8'000) : 5'000 + pick(5'000));
    made.after = pick(3) == 0 ? pick(60) : 0;
    made.attempt = m_owner.m_cluster.expect(m_node, false, body);
    m_owner.m_cluster.set_deadline(std::chrono::milliseconds(ms_of(made.patience)));
    http_head head = m_owner.m_cluster.request_head(
        *made.attempt, std::string(exact_path) + std::to_string(made.length), keyed,
        static_cast<std::uint32_t>(pick(65536)));
    if (download) {
        set_header(head.headers, "Host", keyed ? "keyed-download" : "plain-download");
    }
    if (!body.empty()) {
        head.framing = body_framing::length;
        head.content_length = body.size();
    }
    made.closes = pick(60) == 0;
    head.keep_alive = !made.closes;
    made.bytes = request_bytes(head) + body;
    made.what = made.attempt->id + " (" + (download ? "download" : "safe") +
                (keyed ? ", keyed, " : ", ") + std::to_string(made.length) + " bytes, body of " +
                std::to_string(body.size()) + ", deadline " + std::to_string(ms_of(made.patience)) +
                " ms)";
    return made;
}

void cut_answers_run::caller::send_due() {
    while (!m_next.empty() && m_next.front().after == 0) {
        sent_request request = std::move(m_next.front());
        m_next.pop_front();
        m_connection->send(std::exchange(request.bytes, {}));
        request.deadline = platform_cluster::now() + std::min<duration>(request.patience, timeout);
        request.behind = !m_open.empty();
        request.attempt->previous = request.behind ? m_open.back().attempt : nullptr;
        m_owner.m_counts.behind += request.behind ? 1 : 0;
        m_open.push_back(std::move(request));
    }
    if (!m_next.empty()) {
        --m_next.front().after;
    }
}

void cut_answers_run::caller::pass() {
    const bool freely = m_pace == pace::usual || m_owner.m_finishing;
    if (!freely && m_reading > 0) {
        --m_reading;
        m_connection->pass(0); // still writes
        m_still = 0;
        return;
    }
    if (m_connection->pass(freely ? usual_piece : slow_piece)) {
        m_still = 0;
        if (m_pace == pace::slow) {
            m_reading = m_owner.draw_load(20);
        } else if (m_pace == pace::pausing && m_owner.draw_load(8) == 0) {
            m_reading = m_owner.draw_load(longest_pause_ticks + 1);
        }
    }
    bool closes = false;
    for (const pipelining_connection::answer &got : m_connection->take_answers()) {
        take(got);
        closes = !got.head.keep_alive;
    }
    if (m_connection->now() == state::garbled) {
        m_owner.violate(story() + ": got what is no answer");
    }
    if (closes) {
        end(false, "behind " + m_answered + ", which closes it");
    } else if (m_connection->now() == state::ended || m_connection->now() == state::garbled) {
        end(false, "behind " + m_answered);
    }
}

/// Answers that a node gives in a target's place name the request as well, unless the connection
/// itself gave them.
void cut_answers_run::caller::take(const pipelining_connection::answer &got) {
    const int status = got.head.status;
    if (m_open.empty()) {
        m_owner.violate(story() + ": answered " + std::to_string(status) + " unasked");
        return;
    }
    const sent_request request = std::move(m_open.front());
    m_open.pop_front();
    caller_attempt &attempt = *request.attempt;
    const std::string *id = got.head.find("X-Request-Id");
    if (id != nullptr ? *id != attempt.id : status == 200) {
        m_owner.violate("an answer " + std::to_string(status) + " for " +
                        (id == nullptr ? "no request" : *id) + " is in the place of " + attempt.id);
    }
    const bool whole = got.body == exact_answer(attempt.id, request.length);
    attempt.body = whole ? long_answer(attempt.id, 0) : got.body.substr(0, 100) + "...";
    attempt.status = status;
    ++m_owner.m_counts.answers[status];
    const run_record run = m_owner.m_cluster.run_of(attempt.id);
    const bool sound = run.whole && !m_owner.m_cluster.life_over(run.life, platform_cluster::now());
    m_owner.m_counts.failed += status >= 500 && sound ? 1 : 0;
    m_answered = request.what + " answered " + std::to_string(status);
    if (request.closes) {
        for (const sent_request &later : m_open) {
            if (m_owner.m_cluster.has_run(later.attempt->id)) {
                m_owner.violate(later.what + " has run behind " + request.what +
                                ", which closes its connection");
            }
        }
    }
}

void cut_answers_run::caller::check_time() {
    const bool connecting = m_connection && m_connection->now() == state::connecting;
    m_still = connecting || !m_open.empty() ? m_still + 1 : 0;
    if (m_still > patience_ticks) {
        m_owner.violate(story() + ": neither answered nor ended in time");
        end(true, "given up");
    }
}

std::string cut_answers_run::caller::story() const {
    const char *how = m_pace == pace::usual  ? "caller"
                      : m_pace == pace::slow ? "slow caller"
                                             : "pausing caller";
    return std::string(how) + " of node " + std::to_string(m_node) + " with " +
           std::to_string(m_open.size()) + " unanswered requests from " +
           (m_open.empty() ? "none" : m_open.front().what);
}

void cut_answers_run::caller::end(bool left, const std::string &how) {
    if (left) {
        m_owner.m_counts.left += m_open.size();
    } else {
        judge(platform_cluster::now(), how);
    }
    for (const sent_request &request : std::exchange(m_open, {})) {
        request.attempt->status = -1;
        ++m_owner.m_counts.answers[-1];
    }
    for (const sent_request &request : std::exchange(m_next, {})) {
        request.attempt->status = -1; // never sent
    }
    m_connection.reset();
    m_pause = reconnect_ticks;
    m_reading = 0;
    m_still = 0;
    m_closes_early = 0;
    m_answered.clear();
}

/// A caller that pauses sees the end late. That a target lost the connection to its node before
/// the deadline tells of it as well.
void cut_answers_run::caller::judge(instant ended, const std::string &how) {
    const platform_cluster &cluster = m_owner.m_cluster;
    for (const sent_request &request : m_open) {
        const run_record run = cluster.run_of(request.attempt->id);
        if (run.cut != instant{} && !run.broken && run.cut < request.deadline) {
            ended = std::min(ended, run.cut);
        }
    }
    std::string lost;
    std::size_t number = 0;
    for (const sent_request &request : m_open) {
        const run_record run = cluster.run_of(request.attempt->id);
        const std::int64_t left = ms_of(request.deadline - ended);
        if (run.count == 0) {
            ++m_owner.m_counts.never_run;
        } else if (run.broken || cluster.life_over(run.life, ended)) {
            ++m_owner.m_counts.broken;
        } else if (left <= 0) {
            ++m_owner.m_counts.out_of_time;
        } else {
            ++number;
            lost += "\n    " + request.what + (request.behind ? " behind another" : " first") +
                    ", run " + std::to_string(run.count) + " times, last by target " +
                    std::to_string(run.target) + ", " +
                    (run.whole              ? "answered whole there"
                     : run.cut == instant{} ? "at work there"
                                            : "cut there") +
                    ", " + std::to_string(left) + " ms before its deadline";
        }
    }
    if (number > 0) {
        m_owner.m_counts.lost += number;
        if (++m_owner.m_counts.lost_on <= most_told) {
            const run_record run = cluster.run_of(m_open.front().attempt->id);
            m_owner.violate("LOST " + std::to_string(number) + ", wall " +
                            std::to_string(wall_ms()) + ": the connection of a " + story() +
                            " ended " + how + "; that one " +
                            (run.count == 0 ? "has not run"
                             : run.broken   ? "was broken off by its target"
                             : cluster.life_over(run.life, ended)
                                 ? "was answered by a target that has ended since"
                                 : "was at a sound target") +
                            lost);
        } else {
            m_owner.violate("LOST " + std::to_string(number));
        }
    }
}

// ---- all of them ----

cut_answers_run::cut_answers_run(const std::string &programs, std::uint64_t seed, bool crowded)
    : m_crowded(crowded), m_random(seed), m_load(seed), m_cluster(cluster_options(programs, seed)),
      m_timer(m_cluster.io()) {
    m_down.assign(m_cluster.nodes(), 0);
}

cut_answers_run::~cut_answers_run() = default;

platform_cluster::options cut_answers_run::cluster_options(const std::string &programs,
                                                           std::uint64_t seed) {
    platform_cluster::options result{.programs = programs, .voters = 3, .losses = 1, .seed = seed};
    m_breaking.assign(result.services.size(), false);
    result.slots = 18;
    result.capacity = {.slots = 18, .queue = 72};
    result.max_body = longest_body;
    result.timeout = timeout;
    result.direct = true; // no proxy holds a part of an answer that its target has sent
    result.downloads = true;
    result.work_at = [this](std::size_t) -> duration {
        return std::chrono::milliseconds(draw_load(4) == 0 ? 5 + draw_load(700) : 5);
    };
    result.answer_manner_at = [this](std::size_t target) { return draw_manner(target); };
    return result;
}

answer_manner cut_answers_run::draw_manner(std::size_t target) {
    using ending = answer_manner::ending;
    answer_manner manner;
    manner.chunked = draw_load(2) == 0;
    manner.piece = std::size_t{4096} << draw_load(7);
    if (m_breaking[target] && !m_finishing && draw_load(4) == 0) {
        const std::uint64_t sort = draw_load(16);
        manner.end = sort == 0 ? ending::process_ends : sort < 8 ? ending::closed : ending::reset;
        manner.part = static_cast<double>(draw_load(1000)) / 1000;
    }
    ++m_endings[manner.end];
    return manner;
}

bool cut_answers_run::play(int steps) {
    if (!m_cluster.configure(1, 0) || !m_cluster.serves()) {
        std::cout << "never served\n";
        m_cluster.keep_folder();
        return false;
    }
    for (std::size_t i = 0; i < callers; ++i) {
        const auto pace = i % 3 == 0   ? caller::pace::usual
                          : i % 3 == 1 ? caller::pace::slow
                                       : caller::pace::pausing;
        const std::size_t node = m_crowded ? 0 : i % m_cluster.nodes();
        m_callers.push_back(std::make_unique<caller>(*this, node, pace));
    }
    tend();
    for (int i = 0; i < steps; ++i) {
        strike();
        m_cluster.run_for(std::chrono::milliseconds(800 + draw(1'200)));
    }
    return finish();
}

void cut_answers_run::strike() {
    const std::size_t node = draw(m_cluster.nodes());
    for (std::size_t i = 0; i < m_breaking.size(); ++i) {
        m_breaking[i] = draw(3) == 0;
    }
    m_breaking[node] = true;
    switch (draw(6)) {
    case 0:
    case 1:
        std::cout << "target ends, node " << node << "\n";
        m_cluster.target(node).crash();
        break;
    case 2: m_cluster.signal_node(node, SIGHUP); break;
    case 3:
        if (m_cluster.configure(m_version + 2, m_version)) {
            m_version += 2;
        }
        break;
    default: break;
    }
}

void cut_answers_run::tend() {
    ++m_ticks;
    tend_targets();
    for (const auto &one : m_callers) {
        one->tend();
    }
    if (m_ticks % look_ticks == 0) {
        look_at_nodes();
    }
    m_timer.expires_after(tick);
    m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](asio::error_code error) {
        if (!error && !alive.expired()) {
            tend();
        }
    });
}

/// Targets that ended are started again, under their name or a new one.
void cut_answers_run::tend_targets() {
    for (std::size_t i = 0; i < m_down.size(); ++i) {
        stand_in_platform_target &target = m_cluster.target(i);
        if (target.up()) {
            continue;
        }
        if (m_down[i] == 0) {
            m_down[i] = 2 + draw_load(150);
        } else if (--m_down[i] == 0) {
            if (draw_load(2) == 0) {
                target.start();
            } else {
                target.start_again();
            }
        }
    }
}

void cut_answers_run::look_at_nodes() {
    for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
        const std::uint64_t memory = m_cluster.node_memory(i);
        if (memory > most_node_memory && m_largest <= most_node_memory) {
            violate("node " + std::to_string(i) + " has " + std::to_string(memory) +
                    " bytes of memory");
        }
        m_largest = std::max(m_largest, memory);
    }
}

bool cut_answers_run::finish() {
    m_finishing = true;
    const auto idle = [](const auto &one) { return one->idle(); };
    m_cluster.run_until([&] { return std::all_of(m_callers.begin(), m_callers.end(), idle); },
                        finish_time);
    for (const auto &one : m_callers) {
        if (!one->idle()) {
            violate(one->story() + ": not over at the end");
        }
    }
    m_cluster.set_deadline(1500ms);
    if (!m_cluster.serves()) {
        violate("does not serve again: " + m_cluster.last_answers());
    }
    for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
        if (m_cluster.node_ended(i)) {
            violate("node " + std::to_string(i) + " has ended");
        }
    }
    m_cluster.check_requests();
    if (m_counts.answers[200] == 0) {
        violate("no request was answered 200");
    }
    m_violations.insert(m_violations.end(), m_cluster.violations().begin(),
                        m_cluster.violations().end());
    report();
    if (!m_violations.empty()) {
        m_cluster.keep_folder();
    }
    return m_violations.empty();
}

void cut_answers_run::report() {
    for (const auto &[status, number] : m_counts.answers) {
        std::cout << status << ": " << number << ", ";
    }
    std::cout << "sent behind another " << m_counts.behind << "; answers of targets:";
    for (const auto &[end, number] : m_endings) {
        std::cout << " " << name_of(end) << " " << number << ",";
    }
    std::cout << " unanswered: lost " << m_counts.lost << " on " << m_counts.lost_on
              << " connections, out of time " << m_counts.out_of_time << ", broken off "
              << m_counts.broken << ", not run " << m_counts.never_run << ", caller left "
              << m_counts.left << "; answered by sound targets, failed at their callers "
              << m_counts.failed << "; largest node " << m_largest / 1'000'000 << " MB\n";
    for (const std::string &what : m_violations) {
        std::cout << what << "\n";
    }
}

} // namespace peppertack::testing
