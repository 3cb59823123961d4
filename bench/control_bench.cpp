#include "bench_report.hpp"
#include "peppertack/coordination/control_core.hpp"
#include "peppertack/protocol/codec.hpp"
#include "peppertack/state/posix_storage.hpp"

#include <filesystem>
#include <unistd.h>

namespace peppertack::bench {

namespace {

std::string scratch_folder(const char *name) {
    return std::filesystem::temp_directory_path() /
           ("peppertack-bench-" + std::to_string(::getpid()) + "-" + name);
}

/// One voter that leads alone, with `count` registered targets in 8 domains: what a leader does,
/// without the other voters' share.
class lone_leader {
public:
    explicit lone_leader(const std::string &folder) : m_folder(folder) {
        std::string reason;
        m_files = posix_storage::make(folder, reason);
        m_log.emplace(std::move(*durable_log::open(*m_files, {.sync_writes = false}, reason)));
        control_options options;
        options.replication.self = "10.0.0.1:7000";
        options.replication.initial.voters = {"10.0.0.1:7000"};
        options.entries_per_snapshot = 1'000'000'000;
        options.initial_placement_delay = {};
        core = control_core::make(
            options, *m_log, [](const audit_record &) { return true; }, at, reason);
        pass(std::chrono::seconds(2));
    }
    ~lone_leader() { std::filesystem::remove_all(m_folder); }

    void pass(duration time) {
        for (const instant until = at.now + time; at.now < until;) {
            at.now += std::chrono::milliseconds(10);
            core->tick(at);
            core->take_outgoing();
        }
    }

    void add_targets(std::size_t count, std::size_t services) {
        std::string csv = "service,failure_domain,weight,max_in_flight,max_connections,max_queue\n";
        for (std::size_t s = 0; s < services; ++s) {
            for (int zone = 0; zone < 8; ++zone) {
                csv += "service-" + std::to_string(s) + ",zone-" + std::to_string(zone) +
                       ",1,18,120,200\n";
            }
        }
        core->submit({0, "bench", "bench", change_table{"one", 0, csv}}, at);
        for (std::size_t i = 0; i < count; ++i) {
            target_record record{.name = "target-" + std::to_string(i),
                                 .service = "service-" + std::to_string(i % services),
                                 .failure_domain = "zone-" + std::to_string(i / services % 8),
                                 .node_address = "10.0.0.1:" + std::to_string(i),
                                 .incarnation = 1,
                                 .slots = 18,
                                 .connections = 120,
                                 .checks_tokens = true};
            core->submit({0, "bench", "joined", register_target{record}}, at);
            core->take_outgoing();
        }
    }

    renew_request renewal(std::size_t number) {
        const target_record *record =
            core->state().find_target(static_cast<target_number>(number + 1));
        renew_request request{.sequence = ++m_sequence,
                              .map_version = core->state().version(),
                              .table_version = core->state().table_version(),
                              .has_target = true};
        request.target = *record;
        return request;
    }

    void renew_all(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            at.now += std::chrono::microseconds(30); // 33,000 a second
            core->receive("10.0.0.1:" + std::to_string(i), renewal(i), at);
            core->take_outgoing();
        }
        pass(std::chrono::milliseconds(10));
    }

    moment at{instant(std::chrono::seconds(10)), 1};
    std::unique_ptr<control_core> core;

private:
    std::string m_folder;
    std::unique_ptr<posix_storage> m_files;
    std::optional<durable_log> m_log;
    std::uint64_t m_sequence = 0;
};

std::size_t owned_ranges(const control_state &state) {
    std::size_t owned = 0;
    for (const auto &[service, ranges] : state.ranges()) {
        for (const range_record &range : ranges) {
            owned += range.owner != no_target ? 1 : 0;
        }
    }
    return owned;
}

void measure_size(report &out, std::size_t targets) {
    const std::string size = std::to_string(targets) + " targets: ";
    const double memory_before = resident_bytes();
    lone_leader leader(scratch_folder("leader"));
    leader.add_targets(targets, std::max<std::size_t>(1, targets / 165));
    // Renewals in between keep the leases; splits and grants come over several decisions.
    for (int round = 0; round < 30; ++round) {
        leader.renew_all(targets);
        leader.pass(std::chrono::milliseconds(200));
    }
    std::size_t ranges = 0;
    for (const auto &[service, list] : leader.core->state().ranges()) {
        ranges += list.size();
    }
    out.add("control", size + "ranges", static_cast<double>(ranges), "");
    out.add("control", size + "ranges with an owner",
            static_cast<double>(owned_ranges(leader.core->state())), "");
    out.add("control", size + "leader's memory", (resident_bytes() - memory_before) / 1e6, "MB");

    const double before = thread_cpu_ns();
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        leader.renew_all(targets);
    }
    out.add("control", size + "a renewal at the leader",
            (thread_cpu_ns() - before) / rounds / static_cast<double>(targets) / 1000, "us");
    double ticking = 0;
    constexpr int tick_rounds = 10;
    for (int i = 0; i < tick_rounds; ++i) {
        const double tick_before = thread_cpu_ns();
        leader.pass(std::chrono::milliseconds(200));
        ticking += thread_cpu_ns() - tick_before;
        leader.renew_all(targets);
    }
    out.add("control", size + "ticks and decisions with nothing to do, share of a core",
            ticking / (tick_rounds * 2e8), "");
    const double encode_before = thread_cpu_ns();
    const std::string snapshot = leader.core->state().encode();
    out.add("control", size + "writing a snapshot", (thread_cpu_ns() - encode_before) / 1e6, "ms");
    out.add("control", size + "snapshot", static_cast<double>(snapshot.size()) / 1e6, "MB");
    std::string reason;
    const double decode_before = thread_cpu_ns();
    control_state::decode(snapshot, reason);
    out.add("control", size + "reading a snapshot", (thread_cpu_ns() - decode_before) / 1e6, "ms");

    // One target gives up: decision, grants and the map update that follows from it.
    leader.renew_all(targets);
    const std::uint64_t version = leader.core->state().version();
    renew_request last = leader.renewal(3);
    last.giving_up = true;
    const double loss_before = thread_cpu_ns();
    leader.core->receive("10.0.0.1:3", last, leader.at);
    leader.pass(std::chrono::milliseconds(100));
    out.add("control", size + "loss of one target, until granted again",
            (thread_cpu_ns() - loss_before) / 1e6, "ms");
    renew_request behind = leader.renewal(5);
    behind.map_version = version;
    leader.core->receive("10.0.0.1:5", behind, leader.at);
    for (const outgoing &item : leader.core->take_outgoing()) {
        if (std::holds_alternative<renew_reply>(item.body)) {
            out.add("control", size + "map update after the loss of one target",
                    static_cast<double>(frame_of(item.body).size()), "bytes");
        }
    }

    // A failure domain falls silent: only the others renew.
    for (int round = 0; round < 8; ++round) {
        for (std::size_t i = 0; i < targets; ++i) {
            const target_record *record =
                leader.core->state().find_target(static_cast<target_number>(i + 1));
            if (record != nullptr && record->phase != target_phase::gone &&
                record->failure_domain != "zone-0") {
                leader.core->receive("10.0.0.1:" + std::to_string(i), leader.renewal(i), leader.at);
                leader.core->take_outgoing();
            }
        }
        leader.at.now += std::chrono::milliseconds(99);
    }
    const double domain_before = thread_cpu_ns();
    duration waited{};
    const std::uint64_t version_before = leader.core->state().version();
    while (waited < std::chrono::milliseconds(600)) {
        leader.pass(std::chrono::milliseconds(10));
        waited += std::chrono::milliseconds(10);
        const bool lost = leader.core->state().version() > version_before;
        if (lost && owned_ranges(leader.core->state()) == ranges) {
            break;
        }
    }
    out.add("control", size + "loss of a failure domain, until granted again",
            (thread_cpu_ns() - domain_before) / 1e6, "ms");
    out.add("control", size + "loss of a failure domain, decisions spread over",
            static_cast<double>(waited.count()) / 1000, "ms");
    out.add("control", size + "ranges without an owner after it",
            static_cast<double>(ranges - owned_ranges(leader.core->state())), "");
}

} // namespace

void bench_control(report &out) {
    for (const std::size_t targets : {100UL, 1000UL, 6600UL}) {
        measure_size(out, targets);
    }
}

void bench_log(report &out) {
    const std::string payload(400, 'x');
    for (const std::size_t batch : {1UL, 16UL, 256UL}) {
        const std::string folder = scratch_folder("log");
        std::string reason;
        {
            const auto files = posix_storage::make(folder, reason);
            auto log = durable_log::open(*files, reason);
            const auto began = std::chrono::steady_clock::now();
            std::uint64_t index = 1;
            while (std::chrono::steady_clock::now() - began < std::chrono::milliseconds(700)) {
                std::vector<log_entry> entries;
                for (std::size_t i = 0; i < batch; ++i) {
                    entries.push_back({index++, 1, entry_kind::command, payload});
                }
                log->append(entries);
            }
            const double seconds =
                std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
            out.add("log", "synced appends of 400 bytes, batches of " + std::to_string(batch),
                    static_cast<double>(index) / seconds, "1/s");
        }
        std::filesystem::remove_all(folder);
    }
    const std::string folder = scratch_folder("restart");
    std::string reason;
    {
        const auto files = posix_storage::make(folder, reason);
        auto log = durable_log::open(*files, {.sync_writes = false}, reason);
        for (std::uint64_t index = 1; index <= 10'000; ++index) {
            log->append({{index, 1, entry_kind::command, payload}});
        }
    }
    const auto began = std::chrono::steady_clock::now();
    {
        const auto files = posix_storage::make(folder, reason);
        const auto log = durable_log::open(*files, reason);
        out.add("log", "entries found when opened again",
                static_cast<double>(log ? log->last_index() : 0), "");
    }
    out.add("log", "opening a log of 10000 changes",
            std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count() * 1000,
            "ms");
    std::filesystem::remove_all(folder);
}

} // namespace peppertack::bench
