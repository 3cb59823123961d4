#include "platform_cluster.hpp"

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
    soak_run(const std::string &programs, std::uint64_t seed)
        : m_random(seed),
          m_cluster({.programs = programs, .voters = 3, .losses = 1, .seed = seed}) {}

    bool play(int steps) {
        if (!m_cluster.configure(1, 0) || !m_cluster.serves()) {
            std::cout << "never served\n";
            return false;
        }
        for (int i = 0; i < steps; ++i) {
            strike();
            send_for(std::chrono::milliseconds(100 + draw(400)));
        }
        mend();
        const bool again = m_cluster.serves();
        std::cout << (again ? "" : "does not serve again: " + m_cluster.last_answers() + "\n");
        m_cluster.run_for(2s);
        m_cluster.check_requests();
        check_configuration();
        for (const std::string &what : m_cluster.violations()) {
            std::cout << what << "\n";
        }
        const bool good = again && m_sound && m_cluster.violations().empty();
        if (!good) {
            std::cout << "logs are in " << m_cluster.keep_folder() << "\n";
        }
        return good;
    }

private:
    std::uint64_t draw(std::uint64_t below) { return m_random() % below; }

    void send_for(duration time) {
        const duration step = 10ms;
        for (duration passed{}; passed < time; passed += step) {
            m_cluster.send(draw(m_cluster.nodes()), draw(2) == 0, draw(2) == 0,
                           static_cast<std::uint32_t>(draw(65536)));
            m_cluster.run_for(step);
        }
    }

    /// At most one voter and one node are out at a time, as the tolerance says; targets come and
    /// go.
    void strike() {
        mend();
        const std::size_t node = draw(m_cluster.nodes());
        const std::size_t voter = draw(3);
        const std::uint64_t kind = draw(8);
        std::cout << "strike " << kind << " node " << node << " voter " << voter << "\n";
        switch (kind) {
        case 0:
            m_cluster.end_node(node);
            m_down_node = node;
            break;
        case 1:
            m_cluster.signal_node(node, SIGSTOP);
            m_stopped_node = node;
            break;
        case 2:
            m_cluster.end_voter(voter);
            m_down_voter = voter;
            break;
        case 3:
            m_cluster.signal_voter(voter, SIGSTOP);
            m_stopped_voter = voter;
            break;
        case 4:
            m_cluster.target(node).crash();
            m_down_target = node;
            break;
        case 5:
            m_cluster.end_voter(voter);
            m_cluster.wipe_voter(voter);
            m_down_voter = voter;
            break;
        case 6:
            if (m_cluster.configure(m_version + 2, m_version)) {
                m_version += 2;
            }
            break;
        default: m_cluster.signal_node(node, SIGHUP); break;
        }
    }

    void mend() {
        if (m_down_node) {
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
        const bool voter_was_out = m_down_voter || m_stopped_voter;
        m_down_node.reset();
        m_stopped_node.reset();
        m_down_voter.reset();
        m_stopped_voter.reset();
        m_down_target.reset();
        if (voter_was_out) {
            send_for(2s); // it counts as lost until it has caught up
        }
    }

    void check_configuration() {
        std::string text;
        const bool read = m_cluster.run_until([&] {
            const auto answer = m_cluster.operate("GET", "");
            text = answer.second;
            return answer.first == 200;
        });
        const std::string digits = std::to_string(m_version);
        m_sound = read && nlohmann::json::parse(text).at("version") ==
                              std::string(8 - digits.size(), '0') + digits;
        std::cout << (m_sound ? ""
                              : "the acknowledged configuration is not read back: " + text + "\n");
    }

    std::mt19937_64 m_random;
    platform_cluster m_cluster;
    std::uint64_t m_version = 1;
    bool m_sound = true;
    std::optional<std::size_t> m_down_node;
    std::optional<std::size_t> m_stopped_node;
    std::optional<std::size_t> m_down_voter;
    std::optional<std::size_t> m_stopped_voter;
    std::optional<std::size_t> m_down_target;
};

} // namespace

/// soak PROGRAMS FIRST_SEED COUNT [STEPS]: plays seeds and names those that failed.
int main(int count, char **words) {
    if (count < 4) {
        std::cerr << "usage: soak PROGRAMS FIRST_SEED COUNT [STEPS]\n";
        return 2;
    }
    const std::uint64_t first = std::stoull(words[2]);
    const std::uint64_t runs = std::stoull(words[3]);
    const int steps = count > 4 ? std::stoi(words[4]) : 8;
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const bool good = soak_run(words[1], seed).play(steps);
        failed += good ? 0 : 1;
        std::cout << "seed " << seed << (good ? " passed" : " FAILED") << std::endl;
    }
    std::cout << runs - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
