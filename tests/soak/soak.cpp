#include "cut_answers_run.hpp"
#include "pipelining_callers.hpp"
#include "platform_cluster.hpp"
#include "stops_run.hpp"

#include <array>
#include <csignal>
#include <iostream>
#include <random>
#include <string>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

/// One run: faults drawn from a seed strike real processes while callers send requests; the oracle
/// watches callers and targets. Yields whether nothing was violated.
class soak_run {
public:
    /// What is disturbed, and how targets get their keys.
    enum class mode : std::uint8_t { all, signals_only, hold_calls, target_words, pipelining };

    soak_run(const std::string &programs, std::uint64_t seed, mode what)
        : m_random(seed), m_mode(what), m_capacity(cluster_options(programs, seed, what).capacity),
          m_cluster(cluster_options(programs, seed, what)) {}

    bool play(int steps) {
        if (!m_cluster.configure(1, 0) || !m_cluster.serves()) {
            std::cout << "never served\n";
            m_cluster.keep_folder();
            return false;
        }
        if (m_mode == mode::pipelining) {
            m_pipelining.emplace(m_cluster, m_random());
        }
        for (int i = 0; i < steps; ++i) {
            strike();
            send_for(std::chrono::milliseconds(100 + draw(400)));
        }
        mend();
        if (m_mode == mode::target_words) {
            m_sound = check_quarantine() && check_limit() && m_sound;
        }
        const bool again = m_cluster.serves();
        std::cout << (again ? "" : "does not serve again: " + m_cluster.last_answers() + "\n");
        m_sound = (!m_pipelining || m_pipelining->finish()) && m_sound;
        m_cluster.run_for(2s);
        m_cluster.check_requests();
        m_sound = check_configuration() && m_sound;
        for (const std::string &what : m_cluster.violations()) {
            std::cout << what << "\n";
        }
        const bool good = again && m_sound && m_cluster.violations().empty();
        if (!good) {
            m_cluster.keep_folder();
        }
        return good;
    }

private:
    static platform_cluster::options cluster_options(const std::string &programs,
                                                     std::uint64_t seed, mode what) {
        platform_cluster::options result{
            .programs = programs, .voters = 3, .losses = 1, .seed = seed};
        if (what == mode::hold_calls) {
            result.heartbeat_s = 0.5; // holds are as long as a few heartbeats
            result.grants = "rpc";
        }
        if (what == mode::pipelining) {
            result.slots = 9; // as targets of the users' platform have
            result.capacity = {.slots = 9, .queue = 36};
            result.work_at = [random = std::mt19937_64(seed)](std::size_t) mutable -> duration {
                return std::chrono::milliseconds(5 + random() % 150);
            };
        }
        return result;
    }

    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

    void send_for(duration time) {
        const duration step = 10ms;
        for (duration passed{}; passed < time; passed += step) {
            m_cluster.send(draw(m_cluster.nodes()), draw(2) == 0, draw(2) == 0,
                           static_cast<std::uint32_t>(draw(65536)));
            m_cluster.run_for(step);
        }
    }

    /// One way in which a run is disturbed.
    struct disturbance {
        const char *name;
        void (soak_run::*begin)();
    };

    /// At most one voter and one node are out at a time, as the tolerance says; targets and links
    /// come and go. Each begins once what the one before did is mended, but for some that overlap.
    void strike() {
        static constexpr std::array kinds{
            disturbance{"node killed", &soak_run::kill_node},
            disturbance{"node paused", &soak_run::pause_node},
            disturbance{"voter killed", &soak_run::kill_voter},
            disturbance{"voter paused", &soak_run::pause_voter},
            disturbance{"target crashed", &soak_run::crash_target},
            disturbance{"voter killed and its disk wiped", &soak_run::wipe_voter},
            disturbance{"configuration changed", &soak_run::change_configuration},
            disturbance{"settings reloaded", &soak_run::reload_node},
            // ---- from here on links, too ----
            disturbance{"links delayed", &soak_run::delay_links},
            disturbance{"links cut one way", &soak_run::cut_links_one_way},
            disturbance{"links silent", &soak_run::silence_links},
            disturbance{"open connections silent", &soak_run::silence_open_connections},
            disturbance{"connections reset", &soak_run::reset_links},
            disturbance{"node stopped in order", &soak_run::stop_node},
            disturbance{"target started again under its name", &soak_run::restart_target},
            disturbance{"target started again twice", &soak_run::restart_target_twice},
        };
        if (m_mode == mode::signals_only || draw(4) != 0) {
            mend();
        }
        m_node = draw(m_cluster.nodes());
        m_voter = draw(3);
        if (m_mode == mode::hold_calls && draw(3) == 0) {
            disturb_hold_calls();
        }
        if (m_mode == mode::target_words) {
            disturb_by_words();
        }
        if (m_mode == mode::pipelining && draw(2) == 0) {
            narrow_target();
        }
        const bool few = m_mode == mode::signals_only;
        const disturbance &kind = kinds.at(draw(few ? signals : kinds.size()));
        std::cout << kind.name << ", node " << m_node << " voter " << m_voter << "\n";
        (this->*kind.begin)();
    }

    bool node_is_out() const { return m_down_node || m_stopped_node; }
    bool voter_is_out() const { return m_down_voter || m_stopped_voter; }

    void kill_node() {
        if (!node_is_out()) {
            m_cluster.end_node(m_node);
            m_down_node = m_node;
        }
    }
    void stop_node() {
        if (!node_is_out()) {
            m_cluster.signal_node(m_node, SIGTERM);
            m_down_node = m_node;
        }
    }
    void pause_node() {
        if (!node_is_out()) {
            m_cluster.signal_node(m_node, SIGSTOP);
            m_stopped_node = m_node;
        }
    }
    void kill_voter() {
        if (!voter_is_out()) {
            m_cluster.end_voter(m_voter);
            m_down_voter = m_voter;
        }
    }
    void pause_voter() {
        if (!voter_is_out()) {
            m_cluster.signal_voter(m_voter, SIGSTOP);
            m_stopped_voter = m_voter;
        }
    }
    void wipe_voter() {
        if (!voter_is_out()) {
            m_cluster.end_voter(m_voter);
            m_cluster.wipe_voter(m_voter);
            m_down_voter = m_voter;
        }
    }
    void crash_target() {
        if (!m_down_target) {
            m_cluster.target(m_node).crash();
            m_down_target = m_node;
        }
    }
    /// The address is closed in between for as long as a process takes to start, or not at all.
    void restart_target() {
        if (!m_down_target) {
            m_cluster.target(m_node).crash();
            m_cluster.target_links(m_node).refuse(true);
            m_cluster.run_for(std::chrono::milliseconds(draw(2) * draw(300)));
            m_cluster.target_links(m_node).refuse(false);
            m_cluster.target(m_node).start_again();
        }
    }
    void restart_target_twice() {
        restart_target();
        restart_target();
    }
    void change_configuration() {
        if (m_cluster.configure(m_version + 2, m_version)) {
            m_version += 2;
        }
    }
    void reload_node() { m_cluster.signal_node(m_node, SIGHUP); }
    void delay_links() { disturb_links(fault_proxy::fault::delay); }
    void cut_links_one_way() {
        disturb_links(draw(2) == 0 ? fault_proxy::fault::to_server : fault_proxy::fault::to_client);
    }
    void silence_links() { disturb_links(fault_proxy::fault::silent); }
    void silence_open_connections() { disturb_links(fault_proxy::fault::silent_opened); }
    void reset_links() {
        m_cluster.node_links(m_node).reset_all();
        m_cluster.target_links(m_node).reset_all();
    }
    /// Calls of a target are carried out late, and all of its answers to them are lost.
    void disturb_hold_calls() {
        hold_call_faults faults;
        faults.lose_answers = draw(2) == 0;
        faults.late = std::chrono::milliseconds(faults.lose_answers ? 0 : 200 + draw(2000));
        std::cout << "hold calls disturbed, node " << m_node << "\n";
        m_cluster.target(m_node).set_hold_call_faults(faults);
    }
    /// A target has less room than it says, and never answers what it can't queue.
    void narrow_target() {
        std::cout << "target narrowed, node " << m_node << "\n";
        m_cluster.target(m_node).set_capacity({.slots = 1 + draw(2), .queue = draw(4)});
    }
    void disturb_links(fault_proxy::fault kind) {
        // Between a node and its target there is no network, on which calls of holds rely.
        const bool both = m_mode != mode::hold_calls;
        fault_proxy &links =
            both && draw(2) != 0 ? m_cluster.target_links(m_node) : m_cluster.node_links(m_node);
        links.set_fault(kind);
    }

    void mend() {
        for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
            m_cluster.node_links(i).set_fault(fault_proxy::fault::none);
            m_cluster.target_links(i).set_fault(fault_proxy::fault::none);
            m_cluster.target(i).set_hold_call_faults({});
            m_cluster.target(i).set_capacity(m_capacity);
        }
        if (m_down_node) {
            m_cluster.end_node(*m_down_node); // one that is still stopping has had its time
            m_cluster.start_node(*m_down_node);
        }
        if (m_stopped_node) {
            m_cluster.signal_node(*m_stopped_node, SIGCONT);
        }
        if (m_down_voter) {
            m_cluster.start_voter(*m_down_voter);
        }
        if (m_stopped_voter) {
            m_cluster.signal_voter(*m_stopped_voter, SIGCONT);
        }
        if (m_down_target) {
            m_cluster.target(*m_down_target).start();
        }
        if (m_mode == mode::target_words) {
            renew_targets();
        }
        const bool voter_was_out = voter_is_out();
        m_down_node.reset();
        m_stopped_node.reset();
        m_down_voter.reset();
        m_stopped_voter.reset();
        m_down_target.reset();
        if (voter_was_out) {
            send_for(2s); // it counts as lost until it has caught up
        }
    }

    bool check_configuration() {
        std::string text;
        const bool read = m_cluster.run_until([&] {
            const auto answer = m_cluster.operate("GET", "");
            text = answer.second;
            return answer.first == 200;
        });
        const std::string digits = std::to_string(m_version);
        const bool same = read && nlohmann::json::parse(text).at("version") ==
                                      std::string(8 - digits.size(), '0') + digits;
        std::cout << (same ? ""
                           : "the acknowledged configuration is not read back: " + text + "\n");
        return same;
    }

    // ---- what targets say and do by what they run ----

    /// A request that ends targets, a limit or a departure, beside the next disturbance.
    void disturb_by_words() {
        const std::size_t place = draw(m_cluster.nodes());
        switch (draw(4)) {
        case 0: m_cluster.send_crashing(place, draw(2) == 0, draw(2) == 0, 7427); break;
        case 1: m_cluster.target(place).name_limit(std::to_string(5 + draw(50)) + ".5"); break;
        case 2: m_cluster.target(place).name_limit(""); break;
        case 3: m_cluster.target(place).say_leaving(); break;
        }
    }
    /// Targets that ended, or left, are started anew.
    void renew_targets() {
        for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
            stand_in_platform_target &target = m_cluster.target(i);
            target.name_limit("");
            if (target.leaving()) {
                target.crash();
            }
            if (!target.up()) {
                target.start();
            }
        }
    }
    std::uint64_t crashes() {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < m_cluster.nodes(); ++i) {
            sum += m_cluster.target(i).crashes();
        }
        return sum;
    }
    /// Whatever was lost before: from now on three ends and three retries are enough.
    bool check_quarantine() {
        constexpr std::uint64_t allowed = 3 + 3;
        const std::uint64_t before = crashes();
        for (int i = 0; i < 12; ++i) {
            const auto attempt =
                m_cluster.send_crashing(draw(m_cluster.nodes()), true, false, 7427);
            m_cluster.run_until([&] { return attempt->status != 0; });
            renew_targets();
            m_cluster.serves();
        }
        const bool good = crashes() <= before + allowed;
        std::cout << (good ? "" : "too many targets ended under one request\n");
        return good;
    }
    bool check_limit() {
        constexpr double limit = 10;
        stand_in_platform_target &target = m_cluster.target(0);
        target.name_limit(std::to_string(limit));
        send_for(1500ms);
        const auto start = std::chrono::steady_clock::now();
        const std::uint64_t before = target.requests();
        send_for(4s);
        const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - start;
        const auto given = static_cast<double>(target.requests() - before);
        target.name_limit("");
        const bool good = given <= 1.5 * limit * passed.count() + 5;
        std::cout << (good ? "" : "a target got more than the limit that it names\n");
        return good;
    }

    static constexpr std::size_t signals = 8; ///< disturbances before those of links

    std::mt19937_64 m_random;
    mode m_mode;
    target_capacity m_capacity; ///< of targets that are not disturbed
    platform_cluster m_cluster;
    std::uint64_t m_version = 1;
    bool m_sound = true;
    std::size_t m_node = 0;  ///< drawn for the present strike
    std::size_t m_voter = 0; ///< as well
    std::optional<std::size_t> m_down_node;
    std::optional<std::size_t> m_stopped_node;
    std::optional<std::size_t> m_down_voter;
    std::optional<std::size_t> m_stopped_voter;
    std::optional<std::size_t> m_down_target;
    std::optional<pipelining_callers> m_pipelining; ///< in that mode; goes before the cluster
};

} // namespace

/// soak PROGRAMS FIRST_SEED COUNT [STEPS] [signals | calls | words | pipelining | cut_answers |
/// cut_crowded | stops | pressed | starved [NODES]]: plays seeds and names those that failed. With
/// `signals` the links are left alone, and seeds mean what they meant before these were disturbed;
/// with `calls` targets get their keys by calls, which go wrong; with `words` they end under a
/// request, name limits and say that they leave; with `pipelining` callers also send several
/// requests at once and read slowly, and targets leave some unanswered; with `cut_answers` targets
/// break off in the middle of answers that have others behind them, with `cut_crowded` all callers
/// of these are at one node; with `stops` nodes are restarted in series, with `pressed` callers
/// also send most to those, with `starved` these get little of the processor as well.
int main(int count, char **words) {
    if (count < 4) {
        std::cerr
            << "usage: soak PROGRAMS FIRST_SEED COUNT [STEPS] [signals | calls | words | "
               "pipelining | cut_answers | cut_crowded | stops | pressed | starved [NODES]]\n";
        return 2;
    }
    const std::uint64_t first = std::stoull(words[2]);
    const std::uint64_t runs = std::stoull(words[3]);
    const int steps = count > 4 ? std::stoi(words[4]) : 8;
    const std::string chosen = count > 5 ? words[5] : "";
    const soak_run::mode what = chosen == "signals"      ? soak_run::mode::signals_only
                                : chosen == "calls"      ? soak_run::mode::hold_calls
                                : chosen == "words"      ? soak_run::mode::target_words
                                : chosen == "pipelining" ? soak_run::mode::pipelining
                                                         : soak_run::mode::all;
    const std::map<std::string, stops_run::options> stop_modes{
        {"stops", {}},
        {"pressed", {.pressed = true}},
        {"starved", {.pressed = true, .starved = true}}};
    const std::size_t nodes = count > 6 ? std::stoul(words[6]) : 5;
    const bool cuts = chosen == "cut_answers" || chosen == "cut_crowded";
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const auto stops = stop_modes.find(chosen);
        const bool good = cuts
                              ? cut_answers_run(words[1], seed, chosen == "cut_crowded").play(steps)
                          : stops == stop_modes.end()
                              ? soak_run(words[1], seed, what).play(steps)
                              : stops_run(words[1], seed, nodes, stops->second).play(steps);
        failed += good ? 0 : 1;
        std::cout << "seed " << seed << (good ? " passed" : " FAILED") << std::endl;
    }
    std::cout << runs - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
