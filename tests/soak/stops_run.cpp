#include "stops_run.hpp"

#include <csignal>
#include <iostream>

namespace peppertack::testing {

using namespace std::chrono_literals;

namespace {

constexpr duration grace = 6s;            ///< as the cluster tells the processes
constexpr duration restart_pause = 500ms; ///< from the end of a process to the next one's start
constexpr duration step = 10ms;
constexpr std::uint64_t per_node = 10;            ///< requests a second
constexpr std::uint64_t uploads_in = 10;          ///< one of so many requests is an upload
constexpr std::uint64_t largest_upload = 360'000; ///< bytes

} // namespace

stops_run::stops_run(const std::string &programs, std::uint64_t seed, std::size_t nodes,
                     const options &what)
    : m_options(what), m_random(seed), m_load(seed),
      m_cluster(cluster_options(programs, seed, nodes)), m_duty(seed), m_turn(m_cluster.io()) {
    starve();
}

platform_cluster::options stops_run::cluster_options(const std::string &programs,
                                                     std::uint64_t seed, std::size_t nodes) {
    platform_cluster::options result{.programs = programs, .voters = 3, .losses = 1, .seed = seed};
    result.services.clear();
    for (std::size_t i = 0; i < nodes; ++i) {
        result.services.emplace_back(i % 5 < 3 ? "keyed" : "plain");
        m_slow.push_back(draw(4) != 0);
    }
    result.deadline = 6s;
    result.timeout = 3s;
    result.direct = true;
    if (m_options.pressed) {
        result.voters = 5;
        result.losses = 2;
        result.deadline = 2s;
        result.timeout = 2s;
    }
    result.work_at = [this](std::size_t target) -> duration {
        const bool slow = m_slow[target] && draw_load(2) == 0;
        if (m_options.pressed) {
            return std::chrono::milliseconds(slow ? 50 + draw_load(600) : 65);
        }
        return std::chrono::milliseconds(slow ? 50 + draw_load(2450) : 20);
    };
    return result;
}

bool stops_run::play(int series) {
    if (!m_cluster.configure(1, 0) || !m_cluster.serves()) {
        std::cout << "never served\n";
        m_cluster.keep_folder();
        return false;
    }
    for (int i = 0; i < series; ++i) {
        play_series();
    }
    m_cluster.run_until([this] {
        tend();
        return m_stops.empty() && !m_voter;
    });
    check_version();
    if (!m_cluster.serves()) {
        m_violations.push_back("does not serve again: " + m_cluster.last_answers());
    }
    m_cluster.run_for(7s); // all deadlines are over then
    return report();
}

void stops_run::play_series() {
    const std::uint64_t stops = 2 + draw(std::max<std::size_t>(m_cluster.nodes() / 2, 1));
    const std::uint64_t at_once = 1 + m_cluster.nodes() / 20;
    for (std::uint64_t i = 0; i < stops; ++i) {
        stop_one();
        if (i % at_once == 0) {
            disturb();
            send_for(std::chrono::milliseconds(100 + draw(2900)));
        }
    }
    if (draw(2) == 0) { // else the next series overlaps with this
        send_for(grace);
    }
}

void stops_run::stop_one() {
    const std::size_t node = draw(m_cluster.nodes());
    if (m_stops.count(node) == 0) {
        m_cluster.stop_node(node);
        m_stops[node] = stop{clock::now(), std::nullopt};
    }
}

void stops_run::disturb() {
    const std::size_t node = draw(m_cluster.nodes());
    const std::uint64_t voter = draw(m_options.pressed ? 5 : 3);
    const std::uint64_t again = draw(64);
    switch (draw(6)) {
    case 0: m_cluster.signal_node(node, SIGHUP); break;
    case 1:
        if (m_cluster.configure(m_version + 2, m_version)) {
            m_version += 2;
        }
        break;
    case 2:
        if (!m_voter) {
            m_cluster.signal_voter(voter, SIGTERM);
            m_voter = voter;
        }
        break;
    case 3:
    case 4:
        if (!m_stops.empty()) {
            m_cluster.signal_node(std::next(m_stops.begin(), again % m_stops.size())->first,
                                  SIGTERM);
        }
        break;
    default: break;
    }
}

void stops_run::send_for(duration time) {
    const clock::time_point end = clock::now() + time;
    while (clock::now() < end) {
        tend();
        const std::uint64_t second = 1s / step;
        for (std::uint64_t i = (per_node * m_cluster.nodes() + draw_load(second)) / second; i > 0;
             --i) {
            send_one();
        }
        press();
        m_cluster.run_for(step);
    }
}

void stops_run::send_one() {
    send_to(draw_load(m_cluster.nodes()));
}

void stops_run::press() {
    for (const auto &[node, stopping] : m_stops) {
        if (m_options.pressed && !stopping.again) {
            send_to(node);
        }
    }
}

void stops_run::send_to(std::size_t node) {
    if (m_options.pressed) {
        m_cluster.set_deadline(1200ms + std::chrono::milliseconds(draw_load(800)));
    }
    if (draw_load(uploads_in) == 0) {
        m_cluster.upload(node, draw_load(largest_upload));
        return;
    }
    const bool keyed = draw_load(5) < 3;
    const bool once = draw_load(2) == 0;
    const auto key = static_cast<std::uint32_t>(draw_load(65536));
    if (!m_options.pressed) {
        m_cluster.send(node, keyed, once, key);
    } else if (once) {
        m_cluster.send(node, keyed, once, key, std::string(1'200, 'w'));
    } else {
        m_cluster.read(node, keyed, key, 5'000);
    }
}

bool stops_run::start_again(std::size_t node) {
    m_cluster.start_node(node);
    if (!m_options.pressed || m_duty() % 4 != 0) {
        return true;
    }
    m_cluster.run_for(std::chrono::milliseconds(m_duty() % 50));
    m_cluster.stop_node(node);
    return false;
}

void stops_run::starve() {
    const clock::time_point now = clock::now();
    m_worst_lag = std::max(m_worst_lag, now - m_last_turn - step);
    m_last_turn = now;
    for (const auto &[node, stopping] : m_stops) {
        turn &its = m_turns[node];
        if (m_options.starved && !stopping.again && now >= its.until) {
            its.paused = !its.paused;
            its.until = now + (its.paused ? std::chrono::milliseconds(40 + m_duty() % 260) : 20ms);
            m_cluster.signal_node(node, its.paused ? SIGSTOP : SIGCONT);
        }
    }
    m_turn.expires_after(step);
    m_turn.async_wait([this](asio::error_code error) {
        if (!error) {
            starve();
        }
    });
}

void stops_run::check_version() {
    const auto version = m_cluster.read_version();
    if (!version || *version < m_version) {
        m_violations.push_back("version " + std::to_string(m_version) +
                               " was acknowledged and is not read back");
    }
}

void stops_run::tend() {
    const clock::time_point now = clock::now();
    for (auto it = m_stops.begin(); it != m_stops.end();) {
        auto &[node, stopping] = *it;
        if (stopping.again && now >= *stopping.again) {
            m_turns.erase(node);
            if (start_again(node)) {
                it = m_stops.erase(it);
                continue;
            }
            stopping = {clock::now(), std::nullopt};
        }
        if (!stopping.again && !m_cluster.node_ended(node) && now > stopping.since + grace) {
            m_violations.push_back("node " + std::to_string(node) + " outlasts its grace time");
            m_cluster.end_node(node);
        }
        if (!stopping.again && m_cluster.node_ended(node)) {
            stopping.again = now + restart_pause;
        }
        ++it;
    }
    if (m_voter && m_cluster.voter_ended(*m_voter)) {
        m_cluster.start_voter(*m_voter);
        m_voter.reset();
    }
}

bool stops_run::report() {
    const std::vector<std::string> found = m_cluster.stops().check();
    m_cluster.check_requests();
    for (const auto *list : {&found, &m_cluster.violations()}) {
        m_violations.insert(m_violations.end(), list->begin(), list->end());
    }
    const stop_oracle::tally &counts = m_cluster.stops().counts();
    for (const auto &[status, number] : counts.answers) {
        std::cout << status << ": " << number << ", ";
    }
    std::cout << "runs " << counts.runs << ", cut " << counts.cut << " (served elsewhere "
              << counts.cut_served << "), given up out of time " << counts.out_of_time
              << ", in the last sixth " << counts.last_sixth << ", at work " << counts.given_up
              << "; lost answers " << counts.lost_answers << ", unfounded 502 " << counts.unfounded
              << ", crossed the end of a connection " << counts.crossed << ", unanswered "
              << counts.unanswered << "; callers late by up to "
              << std::chrono::duration_cast<std::chrono::milliseconds>(m_worst_lag).count()
              << " ms\n";
    for (const std::string &what : m_violations) {
        std::cout << what << "\n";
    }
    if (!m_violations.empty()) {
        m_cluster.keep_folder();
    }
    return m_violations.empty();
}

} // namespace peppertack::testing
