#include "bench_report.hpp"
#include "strategies.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace peppertack::bench {

namespace {

constexpr int domains = 8;
constexpr int minutes = 120;
constexpr double total_rate = 100'000; ///< requests a second of the service
constexpr double loss_gap_s = 1.0;     ///< keys of a lost owner are without one for about this long
constexpr double move_gap_s = 0.03;    ///< a planned move holds its keys for about this long

/// One service over two hours, a decision a second within each minute: hot keys that move each
/// minute, restarts, the loss of a failure domain, edited weights, targets that report no load.
class trace {
public:
    trace(std::size_t targets, double churn_price, std::uint64_t seed)
        : m_random(seed), m_churn_price(churn_price) {
        for (std::size_t i = 0; i < targets; ++i) {
            add_target(static_cast<int>(i % domains), 1);
        }
        const std::size_t ranges = targets * 16;
        for (std::size_t i = 0; i < ranges; ++i) {
            m_ranges.push_back({.first = i * (~0ULL / ranges + 1)});
            m_density.push_back(0.5 + std::generate_canonical<double, 32>(m_random));
        }
        // 320 hot keys on 6600 targets, in proportion; the hottest takes half a target's share.
        for (std::size_t i = 0; i < targets / 20 + 1; ++i) {
            m_hot.push_back(m_random());
        }
    }

    struct result {
        double p99 = 0;
        double worst = 0;
        double mean_worst = 0;
        double churn_an_hour = 0; ///< share of the keys moved on purpose
        double unavailable = 0;   ///< share of the keys times seconds
    };

    result run(placement_strategy &strategy) {
        std::vector<double> ratios;
        std::vector<double> worst;
        double churn = 0;
        double unavailable = 0;
        decide_until_quiet(strategy, nullptr, nullptr);
        for (int minute = 0; minute < minutes; ++minute) {
            happen(minute, unavailable);
            decide_until_quiet(strategy, &churn, &unavailable);
            const std::vector<double> now = load_ratios();
            ratios.insert(ratios.end(), now.begin(), now.end());
            worst.push_back(*std::max_element(now.begin(), now.end()));
        }
        result out;
        out.p99 = quantile(ratios, 0.99);
        out.worst = *std::max_element(worst.begin(), worst.end());
        out.mean_worst = std::accumulate(worst.begin(), worst.end(), 0.0) / minutes;
        out.churn_an_hour = churn * 60 / minutes;
        out.unavailable = unavailable * 60 / minutes;
        return out;
    }

private:
    void add_target(int domain, double weight) {
        m_targets.push_back(
            {.number = ++m_last, .failure_domain = std::to_string(domain), .weight = weight});
    }

    void lose(std::size_t at, double &unavailable) {
        const target_number number = m_targets[at].number;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            if (m_ranges[i].owner == number) {
                m_ranges[i].owner = no_target;
                unavailable += width(i) * loss_gap_s;
            }
        }
        m_targets.erase(m_targets.begin() + static_cast<std::ptrdiff_t>(at));
    }

    void happen(int minute, double &unavailable) {
        m_hot[static_cast<std::size_t>(minute) % m_hot.size()] = m_random();
        if (minute % 4 == 1) { // 390 restarts a day over 6600 targets, scaled up for a small trace
            const std::size_t at = m_random() % m_targets.size();
            const int domain = std::stoi(m_targets[at].failure_domain);
            const double weight = m_targets[at].weight;
            lose(at, unavailable);
            add_target(domain, weight);
        }
        if (minute == 40) {
            for (std::size_t i = m_targets.size(); i-- > 0;) {
                if (m_targets[i].failure_domain == "3") {
                    lose(i, unavailable);
                }
            }
        }
        if (minute == 80) {
            for (placement_target &target : m_targets) {
                target.weight = target.failure_domain == "1" ? 2 : target.weight;
            }
        }
    }

    double width(std::size_t i) const {
        const std::uint64_t last = i + 1 < m_ranges.size() ? m_ranges[i + 1].first - 1 : ~0ULL;
        return static_cast<double>(last - m_ranges[i].first) / std::ldexp(1.0, 64);
    }

    static constexpr double hot_key_share = 0.5 / 64; ///< of all load, for the hottest key

    double true_load(std::size_t i) const {
        const std::uint64_t last = i + 1 < m_ranges.size() ? m_ranges[i + 1].first - 1 : ~0ULL;
        const std::uint64_t bucket = ~0ULL / m_density.size() + 1;
        double load = width(i) * m_density[m_ranges[i].first / bucket];
        for (std::size_t h = 0; h < m_hot.size(); ++h) {
            if (m_hot[h] >= m_ranges[i].first && m_hot[h] <= last) {
                load += hot_key_share / std::sqrt(1.0 + static_cast<double>(h));
            }
        }
        return load;
    }

    placement_view view() {
        placement_view out;
        out.ranges = &m_ranges;
        out.targets = m_targets;
        out.churn_price = m_churn_price;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            // The nodes count requests themselves, so targets that misreport change nothing.
            out.loads[m_ranges[i].first] = true_load(i) * total_rate;
        }
        out.hot_keys = m_hot;
        std::sort(out.hot_keys.begin(), out.hot_keys.end());
        return out;
    }

    void decide_until_quiet(placement_strategy &strategy, double *churn, double *unavailable) {
        constexpr int decisions_a_minute = 60;
        for (int i = 0; i < decisions_a_minute; ++i) {
            // Hot keys are cut out for every strategy, so that only the placing is compared.
            greedy_placement splitter({.max_concurrent_moves = 0});
            for (const std::uint64_t cut : splitter.decide(view()).splits) {
                split(cut);
            }
            const placement_decision decision = strategy.decide(view());
            if (decision.empty()) {
                return;
            }
            for (const range_choice &choice : decision.grants) {
                set_owner(choice, nullptr, nullptr);
            }
            for (const range_choice &choice : decision.moves) {
                set_owner(choice, churn, unavailable);
            }
            for (const std::uint64_t cut : decision.splits) {
                split(cut);
            }
            for (const std::uint64_t first : decision.merges) {
                std::erase_if(m_ranges, [&](const range_record &r) { return r.first == first; });
            }
        }
    }

    std::size_t position(std::uint64_t hash) const {
        const auto after = std::upper_bound(
            m_ranges.begin(), m_ranges.end(), hash,
            [](std::uint64_t value, const range_record &range) { return value < range.first; });
        return static_cast<std::size_t>(after - m_ranges.begin()) - 1;
    }

    void set_owner(const range_choice &choice, double *churn, double *unavailable) {
        const std::size_t at = position(choice.first);
        m_ranges[at].owner = choice.to;
        if (churn != nullptr) {
            *churn += width(at);
            *unavailable += width(at) * move_gap_s;
        }
    }

    void split(std::uint64_t cut) {
        const std::size_t at = position(cut);
        if (m_ranges[at].first == cut) {
            return;
        }
        range_record upper = m_ranges[at];
        upper.first = cut;
        m_ranges.insert(m_ranges.begin() + static_cast<std::ptrdiff_t>(at) + 1, upper);
    }

    std::vector<double> load_ratios() const {
        std::map<target_number, double> load;
        double total = 0;
        for (std::size_t i = 0; i < m_ranges.size(); ++i) {
            load[m_ranges[i].owner] += true_load(i);
            total += true_load(i);
        }
        double weights = 0;
        for (const placement_target &target : m_targets) {
            weights += target.weight;
        }
        std::vector<double> ratios;
        for (const placement_target &target : m_targets) {
            ratios.push_back(load[target.number] / total / (target.weight / weights));
        }
        return ratios;
    }

    std::mt19937_64 m_random;
    double m_churn_price;
    target_number m_last = 0;
    std::vector<placement_target> m_targets;
    std::vector<range_record> m_ranges;
    std::vector<double> m_density; ///< load of the key space, by its equal parts
    std::vector<std::uint64_t> m_hot;
};

void compare(report &out, placement_strategy &strategy, const char *prices, double churn_price) {
    constexpr std::size_t targets = 64;
    trace one(targets, churn_price, 11);
    const trace::result result = one.run(strategy);
    const std::string name = std::string(prices) + ", " + strategy.name() + ": ";
    out.add("placement-quality", name + "load / share, p99", result.p99, "");
    out.add("placement-quality", name + "load / share, worst of each minute, mean",
            result.mean_worst, "");
    out.add("placement-quality", name + "load / share, worst", result.worst, "");
    out.add("placement-quality", name + "keys moved an hour", result.churn_an_hour, "of all");
    out.add("placement-quality", name + "unavailable, per key and hour", result.unavailable, "s");
}

} // namespace

void bench_placement_quality(report &out) {
    const std::pair<const char *, double> prices[] = {{"prices of Lima", 1},
                                                      {"prices of Sicilia-ovest", 5}};
    for (const auto &[name, churn_price] : prices) {
        compare(out, *make_consistent_hashing(), name, churn_price);
        compare(out, *make_full_rebalance(), name, churn_price);
        greedy_placement greedy;
        compare(out, greedy, name, churn_price);
        compare(out, *make_cost_based(240), name, churn_price);
    }
}

void bench_placement_time(report &out) {
    constexpr std::size_t targets = 6600;
    constexpr std::size_t ranges = 106'000;
    std::vector<range_record> list;
    placement_view view;
    for (std::size_t i = 0; i < ranges; ++i) {
        list.push_back(
            {.first = i * (~0ULL / ranges), .owner = static_cast<target_number>(i % targets + 1)});
    }
    for (std::size_t i = 0; i < targets; ++i) {
        view.targets.push_back({.number = static_cast<target_number>(i + 1),
                                .failure_domain = std::to_string(i % domains),
                                .weight = 1});
    }
    view.ranges = &list;
    const auto lose = [&](const std::function<bool(std::size_t)> &lost) {
        std::vector<range_record> ranges_left = list;
        placement_view left = view;
        std::erase_if(left.targets, [&](const placement_target &t) { return lost(t.number - 1); });
        for (range_record &range : ranges_left) {
            if (lost(range.owner - 1)) {
                range.owner = no_target;
            }
        }
        left.ranges = &ranges_left;
        greedy_placement greedy;
        return least_ns(1, [&] { greedy.decide(left); }) / 1e6;
    };
    out.add("placement-time", "one service of 6600 targets, 106000 ranges: loss of one target",
            lose([](std::size_t i) { return i == 5; }), "ms");
    out.add("placement-time", "the same: loss of a failure domain",
            lose([](std::size_t i) { return i % domains == 5; }), "ms");
    greedy_placement greedy;
    out.add("placement-time", "the same: nothing to do",
            least_ns(1, [&] { greedy.decide(view); }) / 1e6, "ms");
}

} // namespace peppertack::bench
