#include "bench_report.hpp"
#include "peppertack/coordination/admission.hpp"
#include "peppertack/coordination/idempotency_store.hpp"
#include "peppertack/coordination/route_map.hpp"
#include "peppertack/protocol/codec.hpp"
#include "peppertack/state/key_hash.hpp"

#include <algorithm>
#include <random>

namespace peppertack::bench {

namespace {

constexpr std::size_t full_ranges = 106'000;
constexpr std::size_t services = 40;

map_update full_map(std::size_t ranges, std::size_t targets) {
    map_update update{.from = 0, .to = 1};
    for (std::size_t i = 0; i < targets; ++i) {
        target_route route{.number = static_cast<target_number>(i + 1)};
        route.name = "target-" + std::to_string(i);
        route.service = "service-" + std::to_string(i % services);
        route.failure_domain = "zone-" + std::to_string(i % 8);
        route.address = "10.0.0.1:7000";
        update.targets.push_back(std::move(route));
    }
    const std::size_t each = ranges / services;
    for (std::size_t s = 0; s < services; ++s) {
        service_ranges part{.service = "service-" + std::to_string(s), .whole = true};
        for (std::size_t i = 0; i < each; ++i) {
            part.ranges.push_back({.first = i * (~0ULL / each),
                                   .owner = static_cast<target_number>(i % targets + 1),
                                   .token = i + 1});
        }
        update.services.push_back(std::move(part));
    }
    return update;
}

} // namespace

void bench_lookup(report &out) {
    const double before = resident_bytes();
    route_map map;
    map.apply(full_map(full_ranges, 6600));
    out.add("lookup", "memory of a full map", (resident_bytes() - before) / 1e6, "MB");
    std::mt19937_64 random(1);
    std::vector<std::string> keys;
    std::vector<std::string> names;
    for (int i = 0; i < 4096; ++i) {
        keys.push_back("district-" + std::to_string(random()));
        names.push_back("service-" + std::to_string(random() % services));
    }
    std::size_t at = 0;
    std::uint64_t sum = 0;
    const double whole = least_ns(1'000'000, [&] {
        const std::uint64_t hash = key_hash(keys[at]);
        sum += map.find_range(names[at], hash)->owner;
        at = (at + 1) % keys.size();
    });
    out.add("lookup", "owner of a key, hash included, 106000 ranges", whole, "ns");
    const std::string bytes = encode(message(full_map(full_ranges, 6600)));
    out.add("lookup", "bytes of a full map", static_cast<double>(bytes.size()) / 1e6, "MB");
    std::string reason;
    const double decode = least_ns(3, [&] { decode_message(bytes, reason); });
    out.add("lookup", "decoding a full map", decode / 1e6, "ms");
    out.add("lookup", "check (not zero)", sum == 0 ? 0 : 1, "");
}

void bench_codec(report &out) {
    caller_request request{.service = "emision",
                           .key = "surco",
                           .method = "POST",
                           .path = "/s/emision/k/surco",
                           .headers = {{"Accept", "*/*"}, {"User-Agent", "bench"}}};
    request.body = std::make_shared<const std::string>(std::string(200, 'x'));
    request.time_left = std::chrono::seconds(1);
    renew_request renewal{.sequence = 4, .map_version = 5, .table_version = 6, .has_target = true};
    renewal.target = {.number = 3, .incarnation = 77};
    renew_request loaded = renewal;
    for (std::uint64_t i = 0; i < 16; ++i) {
        loaded.loads.push_back({i, 700});
    }
    loaded.hot_keys.resize(8);
    renew_reply reply{.sequence = 4,
                      .is_leader = true,
                      .number = 3,
                      .lease = std::chrono::milliseconds(800),
                      .table_version = 6};
    reply.map = {.from = 5, .to = 5};
    std::mt19937_64 random(1);
    renew_request crashed = renewal;
    crashed.crashes = {{.target = "i-3f7a91c20b", .life = random()}};
    for (int i = 0; i < 18; ++i) {
        crashed.crashes[0].running.push_back(random());
    }
    renew_reply told = reply;
    told.suspects_version = 7;
    for (int i = 0; i < 40; ++i) {
        told.suspects.push_back({random(), i % 20 == 0});
    }
    const std::pair<const char *, message> samples[] = {
        {"forwarded request, 200 bytes of body", forward_request{{1, 2}, 3, request}},
        {"renewal", renewal},
        {"renewal with loads of 16 ranges and 8 hot keys", loaded},
        {"answer to a renewal, nothing new", reply},
        {"renewal with the end of a target of 18 slots", crashed},
        {"answer to a renewal with 40 suspect requests", told}};
    for (const auto &sample : samples) {
        const char *name = sample.first;
        const message &value = sample.second;
        const std::string bytes = encode(value);
        std::string reason;
        const std::string frame = frame_of(value);
        const std::string packed = frame.substr(frame_header_size);
        out.add("codec", std::string(name) + ": size with header",
                static_cast<double>(frame.size()), "bytes");
        out.add("codec", std::string(name) + ": size unpacked", static_cast<double>(bytes.size()),
                "bytes");
        out.add("codec", std::string(name) + ": encode", least_ns(50'000, [&] { frame_of(value); }),
                "ns");
        out.add("codec", std::string(name) + ": decode",
                least_ns(50'000, [&] { decode_packed(packed, reason); }), "ns");
    }
    for (const std::size_t size : {std::size_t(0), std::size_t(200), std::size_t(64) << 10U}) {
        const std::string body(size, 'x');
        std::uint64_t sum = 0;
        const double took = least_ns(
            20'000, [&] { sum += request_fingerprint("POST", "jepu9.example/lepu270/2f", body); });
        out.add("codec", "fingerprint of a request, " + std::to_string(size) + " bytes of body",
                sum == 0 ? 0 : took, "ns");
    }
}

void bench_key_memory(report &out) {
    constexpr std::size_t keys = 200'000;
    const double before = resident_bytes();
    idempotency_store memory({.max_keys = keys});
    std::size_t number = 0;
    const double ns = least_ns(keys / 5, [&] {
        remembered_key key{.service = "emision",
                           .hash = number * 0x9e3779b97f4a7c15ULL,
                           .idempotency_key = "0c7e41b2-51d4-4a9d-9d6b-" + std::to_string(number),
                           .fingerprint = number,
                           .phase = key_phase::answered,
                           .wall_ms = static_cast<std::int64_t>(number)};
        key.response.owner = "emision-1";
        memory.put(std::move(key));
        ++number;
    });
    out.add("key-memory", "200000 keys, without answers' bodies", (resident_bytes() - before) / 1e6,
            "MB");
    out.add("key-memory", "adding a key", ns, "ns");
}

void bench_admission(report &out) {
    admission gate;
    gate.set_limits({.in_flight = 18, .queue = 200});
    std::uint64_t number = 0;
    const instant now(std::chrono::seconds(1));
    const double ns = least_ns(500'000, [&] {
        ++number;
        gate.offer({number, number % 64, now + std::chrono::seconds(1)}, now);
        gate.finish(std::chrono::milliseconds(1));
    });
    out.add("admission", "one request in and out", ns, "ns");
}

namespace {

struct overload_result {
    double goodput = 0; ///< share of the capacity
    double p99_ms = 0;
    double late = 0;
    double cold_served = 0; ///< share of the requests for other keys that were served
};

/// Poisson arrivals at a target of 18 slots, service time exponential with 5 ms mean, one key with
/// half of all requests, deadline 100 ms; in virtual time.
overload_result overload(double load) {
    constexpr double slots = 18;
    constexpr double mean_s = 0.005;
    constexpr double seconds = 20;
    constexpr duration deadline = std::chrono::milliseconds(100);
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(load * slots / mean_s);
    std::exponential_distribution<double> service(1 / mean_s);
    admission gate;
    gate.set_limits({.in_flight = 18, .queue = 200});
    struct running {
        instant ends;
        instant arrived;
        instant began;
        bool hot;
        bool operator>(const running &other) const { return ends > other.ends; }
    };
    std::vector<running> busy;
    std::unordered_map<std::uint64_t, std::pair<instant, bool>> arrivals;
    const auto start = [&](std::uint64_t id, instant now) {
        const auto [arrived, hot] = arrivals.at(id);
        const auto time = duration(static_cast<std::int64_t>(service(random) * 1e6) + 1);
        busy.push_back({now + time, arrived, now, hot});
        std::push_heap(busy.begin(), busy.end(), std::greater<>());
    };
    const instant begin(std::chrono::seconds(1));
    instant now = begin;
    std::vector<double> latencies;
    double in_time = 0;
    double late = 0;
    double cold = 0;
    double cold_served = 0;
    std::uint64_t id = 0;
    while (now < begin + duration(static_cast<std::int64_t>(seconds * 1e6))) {
        const instant next = now + duration(static_cast<std::int64_t>(gap(random) * 1e6) + 1);
        while (!busy.empty() && busy.front().ends <= next) {
            std::pop_heap(busy.begin(), busy.end(), std::greater<>());
            const running done = busy.back();
            busy.pop_back();
            gate.finish(done.ends - done.began);
            const double took = std::chrono::duration<double>(done.ends - done.arrived).count();
            latencies.push_back(took * 1000);
            (done.ends <= done.arrived + deadline ? in_time : late) += 1;
            cold_served += done.hot ? 0 : 1;
            std::vector<std::uint64_t> expired;
            while (const auto queued = gate.next(done.ends, expired)) {
                start(*queued, done.ends);
            }
        }
        now = next;
        const bool hot = random() % 2 == 0;
        cold += hot ? 0 : 1;
        arrivals[++id] = {now, hot};
        const std::uint64_t key = hot ? 0 : 1 + random() % 50;
        if (gate.offer({id, key, now + deadline}, now) == admission::verdict::start) {
            start(id, now);
        }
    }
    return {in_time * mean_s / slots / seconds, quantile(latencies, 0.99), late,
            cold_served / cold};
}

} // namespace

void bench_overload(report &out) {
    for (const double load : {0.5, 1.0, 2.0, 5.0}) {
        const overload_result result = overload(load);
        const std::string at = std::to_string(load).substr(0, 3) + " x capacity: ";
        out.add("overload", at + "goodput / capacity", result.goodput, "");
        out.add("overload", at + "admitted p99", result.p99_ms, "ms");
        out.add("overload", at + "answered after the deadline", result.late, "");
        out.add("overload", at + "share served of keys that are not hot", result.cold_served, "");
    }
}

} // namespace peppertack::bench
