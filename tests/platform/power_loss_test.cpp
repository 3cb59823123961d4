#include "cluster_checks.hpp"

#include <asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace peppertack;
using namespace peppertack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t voters = 5;
constexpr const char *sync_most_ms = "15";

/// One deployment whose voters lose power after a configuration, and what was acknowledged there.
class power_run {
public:
    explicit power_run(std::uint64_t seed)
        : m_random(seed), m_cluster({.programs = PEPPERTACK_PROGRAMS,
                                     .voters = voters,
                                     .losses = 2,
                                     .seed = seed,
                                     .environment = preload()}) {
        REQUIRE(acknowledged_in_time());
    }

    void after_an_acknowledgement() {
        settle();
        cut_power(draw_places(0, voters, 2));
    }
    void together_with_all_nodes() {
        const bool wipes = draw(2) == 0;
        settle();
        for (std::size_t node = 0; node < m_cluster.nodes(); ++node) {
            m_cluster.signal_node(node, SIGKILL);
        }
        cut_power(draw_places(0, voters, wipes ? 2 : 0));
        for (std::size_t node = 0; node < m_cluster.nodes(); ++node) {
            m_cluster.end_node(node);
            m_cluster.start_node(node);
        }
    }
    void while_one_is_under_way() {
        settle();
        asio::steady_timer timer(m_cluster.io(), std::chrono::milliseconds(draw(60)));
        timer.async_wait([this](asio::error_code error) {
            if (!error) {
                kill_voters();
            }
        });
        while (put()) {
        }
        cut_power(draw_places(0, voters, 2));
    }
    /// Two voters know only what was in force before they stood still.
    void with_stale_voters() {
        signal_two(SIGSTOP);
        for (std::size_t i = 0; i <= draw(4); ++i) {
            REQUIRE(acknowledged_in_time());
        }
        if (draw(2) == 0) {
            signal_two(SIGCONT);
        }
        settle();
        cut_power(draw_places(0, 3, 2));
    }
    void during_the_change_of_a_voter() {
        const std::size_t empty = draw(voters);
        m_cluster.end_voter(empty);
        m_cluster.wipe_voter(empty);
        m_cluster.start_voter(empty);
        m_cluster.run_for(std::chrono::milliseconds(draw(3000)));
        REQUIRE(acknowledged_in_time());
        settle();
        cut_power({(empty + 1 + draw(voters - 1)) % voters});
    }
    /// What a voter reads back after its process was killed may never have reached the disk.
    void after_a_voter_was_killed_while_it_wrote() {
        signal_two(SIGSTOP);
        std::size_t leader = voters;
        REQUIRE(m_cluster.run_until([&] {
            m_cluster.run_for(20ms);
            leader = leading(3);
            return leader < 3;
        }));
        const std::size_t killed = (leader + 1 + draw(2)) % 3;
        const std::string slow = m_cluster.voter_folder(killed) + ".disk/slow";
        std::ofstream(slow) << 400;
        const auto change = start_put(leader);
        m_cluster.run_for(std::chrono::milliseconds(100 + draw(200)));
        m_cluster.end_voter(killed);
        std::filesystem::remove(slow);
        m_cluster.start_voter(killed);
        m_cluster.run_until([&] { return change->status != 0; }, 5s);
        note(change->status);
        cut_power({leader, 3 - leader - killed});
    }
    void around_a_snapshot() {
        flood(2400);
        bool begun = false;
        for (int i = 0; i < 300 && !begun; ++i) {
            REQUIRE(acknowledged_in_time());
            for (std::size_t place = 0; place < voters; ++place) {
                begun = begun ||
                        std::filesystem::exists(m_cluster.voter_folder(place) + "/snapshot.new") ||
                        std::filesystem::exists(m_cluster.voter_folder(place) + "/snapshot");
            }
        }
        CHECK(begun);
        m_cluster.run_for(std::chrono::milliseconds(draw(80)));
        cut_power(draw_places(0, voters, 2));
    }

    /// What is in force is the newest acknowledged configuration, or one that was sent later.
    void check() {
        std::string text;
        const bool read = m_cluster.run_until([&] {
            const auto answer = m_cluster.operate("GET", "");
            text = answer.second;
            return answer.first == 200;
        });
        REQUIRE_MESSAGE(read, "no configuration can be read back");
        const std::uint64_t version =
            std::stoull(nlohmann::json::parse(text).at("version").get<std::string>(), nullptr, 10);
        CHECK(version >= m_acknowledged);
        CHECK(version <= m_sent);
        m_acknowledged = m_sent = version;
        CHECK(acknowledged_in_time());
        CHECK(m_cluster.serves());
        check_all(m_cluster);
    }

private:
    static std::vector<std::string> preload() {
        return {std::string("LD_PRELOAD=") + PEPPERTACK_PROGRAMS + "/liblossy_disk.so",
                "PEPPERTACK_DISK_FOLDERS=voter-",
                std::string("PEPPERTACK_SYNC_MOST_MS=") + sync_most_ms};
    }

    std::size_t draw(std::size_t choices) { return m_random() % choices; }

    std::set<std::size_t> draw_places(std::size_t first, std::size_t end, std::size_t count) {
        std::set<std::size_t> places;
        while (places.size() < count) {
            places.insert(first + draw(end - first));
        }
        return places;
    }

    /// Sends the next configuration, or the last one again if nobody knows what became of it.
    std::shared_ptr<caller_attempt> start_put(std::size_t voter) {
        m_sent = m_acknowledged + 1;
        return m_cluster.ask_voter(
            voter, {.method = "PUT", .body = m_cluster.configuration(m_sent, m_acknowledged)});
    }
    bool put() {
        m_sent = m_acknowledged + 1;
        return note(
            m_cluster.operate("PUT", m_cluster.configuration(m_sent, m_acknowledged)).first);
    }
    bool note(int status) {
        m_acknowledged = status == 200 ? m_sent : m_acknowledged;
        return status == 200;
    }
    bool acknowledged_in_time() {
        return m_cluster.run_until([&] { return put(); });
    }
    /// Lets at most 400 ms pass after an acknowledgement.
    void settle() {
        REQUIRE(acknowledged_in_time());
        m_cluster.run_for(std::chrono::milliseconds(draw(4) == 0 ? 0 : draw(400)));
    }

    void signal_two(int number) {
        for (const std::size_t place : {3U, 4U}) {
            m_cluster.signal_voter(place, number);
        }
    }

    /// The first of so many voters that leads, or their number.
    std::size_t leading(std::size_t count) {
        for (std::size_t place = 0; place < count; ++place) {
            const auto call = m_cluster.ask_voter(place);
            m_cluster.run_until([&] { return call->status != 0; }, 3s);
            if (call->status == 200) {
                return place;
            }
        }
        return count;
    }

    /// Has the voters decide so many times on what changes nothing.
    void flood(std::size_t decisions) {
        std::size_t leader = voters;
        while (decisions > 0) {
            REQUIRE(m_cluster.run_until([&] {
                leader = leading(voters);
                return leader < voters;
            }));
            std::vector<std::shared_ptr<caller_attempt>> sent;
            for (std::size_t i = 0; i < 100; ++i) {
                sent.push_back(m_cluster.ask_voter(
                    leader, {.method = "DELETE", .path = "/peppertack/evacuate/z1"}));
            }
            for (const auto &call : sent) {
                m_cluster.run_until([&] { return call->status != 0; }, 3s);
                decisions -= call->status == 200 && decisions > 0 ? 1 : 0;
            }
        }
    }

    void kill_voters() {
        for (std::size_t place = 0; place < voters; ++place) {
            m_cluster.signal_voter(place, SIGKILL);
        }
    }
    /// All voters lose power at once, and these their disks as well.
    void cut_power(const std::set<std::size_t> &wiped) {
        kill_voters();
        for (std::size_t place = 0; place < voters; ++place) {
            m_cluster.cut_voter_power(place, m_random());
            if (wiped.count(place) != 0) {
                m_cluster.wipe_voter(place);
            }
        }
        for (std::size_t place = 0; place < voters; ++place) {
            m_cluster.start_voter(place);
        }
    }

    std::mt19937_64 m_random;
    platform_cluster m_cluster;
    std::uint64_t m_acknowledged = 0; ///< newest version
    std::uint64_t m_sent = 0;         ///< newest version
};

struct power_fault {
    const char *name;
    void (power_run::*play)();
};

constexpr power_fault faults[] = {
    {"after an acknowledgement", &power_run::after_an_acknowledgement},
    {"together with all nodes", &power_run::together_with_all_nodes},
    {"while one is under way", &power_run::while_one_is_under_way},
    {"with stale voters", &power_run::with_stale_voters},
    {"during the change of a voter", &power_run::during_the_change_of_a_voter},
    {"around a snapshot", &power_run::around_a_snapshot},
    {"after a voter was killed while it wrote",
     &power_run::after_a_voter_was_killed_while_it_wrote},
};

std::uint64_t number_of(const char *name, std::uint64_t otherwise) {
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::stoull(text);
}

} // namespace

// Guards against configurations that were acknowledged and are gone when all voters lose power and
// two of them their disks. PEPPERTACK_POWER_SEED plays other seeds, PEPPERTACK_POWER_RUNS more.
TEST_CASE("an acknowledged configuration outlives a loss of power at all voters") {
    const std::uint64_t first = number_of("PEPPERTACK_POWER_SEED", 7);
    const std::uint64_t runs = number_of("PEPPERTACK_POWER_RUNS", std::size(faults));
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        const power_fault &fault = faults[seed % std::size(faults)];
        INFO("seed ", seed, ", ", std::string(fault.name));
        power_run run(seed);
        (run.*fault.play)();
        run.check();
    }
}
