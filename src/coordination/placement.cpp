#include "peppertack/coordination/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>

namespace peppertack {

namespace {

constexpr double least_share = 1e-9;
constexpr std::uint64_t narrowest_split = 1ULL << 40U; ///< below it one key carries the load

std::uint64_t last_hash(const std::vector<range_record> &ranges, std::size_t at) {
    return at + 1 < ranges.size() ? ranges[at + 1].first - 1
                                  : std::numeric_limits<std::uint64_t>::max();
}

/// Working copy of a view with dense indices.
class workbench {
public:
    workbench(const placement_view &view, double prior_rate)
        : m_view(&view), m_shares(range_shares(view, prior_rate)) {
        double total = 0;
        for (const placement_target &target : view.targets) {
            total += target.accepts ? target.weight : 0;
        }
        for (std::size_t i = 0; i < view.targets.size(); ++i) {
            const placement_target &target = view.targets[i];
            m_index[target.number] = i;
            const double weight = target.accepts && total > 0 ? target.weight / total : 0;
            m_goal.push_back(std::max(weight, least_share));
        }
        m_load.assign(view.targets.size(), 0);
        m_owned.resize(view.targets.size());
        m_rate.assign(view.targets.size(), 0);
        for (std::size_t i = 0; i < view.ranges->size(); ++i) {
            const range_record &range = (*view.ranges)[i];
            // A move under way counts at its destination already.
            const std::size_t holder = index_of(range.next != no_target ? range.next : range.owner);
            if (holder != none) {
                m_load[holder] += m_shares[i];
                const auto measured = view.loads.find(range.first);
                m_rate[holder] += measured == view.loads.end() ? 0 : measured->second;
                m_owned[holder].push_back(i);
            }
        }
    }

    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::size_t index_of(target_number number) const {
        const auto found = m_index.find(number);
        return found == m_index.end() ? none : found->second;
    }
    double share(std::size_t range) const { return m_shares[range]; }
    double load(std::size_t target) const { return m_load[target]; }
    double goal(std::size_t target) const { return m_goal[target]; }
    double ratio(std::size_t target) const { return m_load[target] / m_goal[target]; }
    const std::vector<std::size_t> &owned(std::size_t target) const { return m_owned[target]; }
    bool accepts(std::size_t target) const {
        return m_view->targets[target].accepts && m_view->targets[target].weight > 0;
    }
    /// Whether a target is asked for about what it can do. One whose capacity is not known may be.
    bool busy(std::size_t target, double part) const {
        const double capacity = m_view->targets[target].capacity;
        return capacity == 0 || m_rate[target] > capacity * part;
    }
    void shift(double share, std::size_t from, std::size_t to) {
        if (from != none) {
            m_load[from] -= share;
        }
        m_load[to] += share;
    }

private:
    const placement_view *m_view;
    std::vector<double> m_shares;
    std::unordered_map<target_number, std::size_t> m_index;
    std::vector<double> m_goal;
    std::vector<double> m_load;
    std::vector<double> m_rate; ///< requests a second
    std::vector<std::vector<std::size_t>> m_owned;
};

/// Targets by how full they are, emptiest first. Entries go stale when a load changes; a stale one
/// is put back with its present fill when it comes up.
class emptiest_first {
public:
    explicit emptiest_first(const workbench &bench, std::size_t targets) : m_bench(&bench) {
        for (std::size_t i = 0; i < targets; ++i) {
            if (bench.accepts(i)) {
                m_queue.emplace(bench.ratio(i), i);
            }
        }
    }

    std::size_t take() {
        while (!m_queue.empty()) {
            const auto [ratio, target] = m_queue.top();
            m_queue.pop();
            if (ratio >= m_bench->ratio(target) - least_share) {
                return target;
            }
            m_queue.emplace(m_bench->ratio(target), target);
        }
        return workbench::none;
    }
    void put_back(std::size_t target) { m_queue.emplace(m_bench->ratio(target), target); }

private:
    using item = std::pair<double, std::size_t>;
    const workbench *m_bench;
    std::priority_queue<item, std::vector<item>, std::greater<>> m_queue;
};

/// Gives each of `orphans` (range positions) to the emptiest target, heaviest range first.
void hand_out(const placement_view &view, workbench &bench, std::vector<std::size_t> orphans,
              std::vector<range_choice> &choices) {
    std::sort(orphans.begin(), orphans.end(), [&](std::size_t a, std::size_t b) {
        return bench.share(a) != bench.share(b) ? bench.share(a) > bench.share(b) : a < b;
    });
    emptiest_first queue(bench, view.targets.size());
    for (const std::size_t range : orphans) {
        const std::size_t to = queue.take();
        if (to == workbench::none) {
            return;
        }
        const range_record &record = (*view.ranges)[range];
        bench.shift(bench.share(range), bench.index_of(record.owner), to);
        queue.put_back(to);
        choices.push_back({record.first, view.targets[to].number});
    }
}

std::vector<std::size_t> ranges_without_owner(const placement_view &view) {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < view.ranges->size(); ++i) {
        if ((*view.ranges)[i].owner == no_target) {
            result.push_back(i);
        }
    }
    return result;
}

std::size_t moves_under_way(const placement_view &view) {
    return static_cast<std::size_t>(
        std::count_if(view.ranges->begin(), view.ranges->end(),
                      [](const range_record &range) { return range.next != no_target; }));
}

std::vector<std::size_t> ranges_that_leave(const placement_view &view, const workbench &bench) {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < view.ranges->size(); ++i) {
        const range_record &range = (*view.ranges)[i];
        const std::size_t owner = bench.index_of(range.owner);
        if (range.next == no_target && owner != workbench::none && view.targets[owner].leaves) {
            result.push_back(i);
        }
    }
    return result;
}

/// Emptiest target that could take `share` and stay within its own share.
std::size_t destination_for(const placement_view &view, const workbench &bench, double share,
                            double tolerance) {
    std::size_t best = workbench::none;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (!bench.accepts(i) || bench.load(i) + share > bench.goal(i) * (1 + tolerance)) {
            continue;
        }
        if (best == workbench::none || bench.ratio(i) < bench.ratio(best)) {
            best = i;
        }
    }
    return best;
}

} // namespace

std::vector<double> range_shares(const placement_view &view, double prior_rate) {
    const std::vector<range_record> &ranges = *view.ranges;
    double total = 0;
    std::vector<double> rates(ranges.size(), 0);
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const auto found = view.loads.find(ranges[i].first);
        rates[i] = found == view.loads.end() ? 0 : found->second;
        total += rates[i];
    }
    // Few requests say little about a range, so its width counts until enough were seen.
    const double measured = total > 0 ? total / (total + prior_rate) : 0;
    const double space = std::ldexp(1.0, 64);
    std::vector<double> shares(ranges.size());
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const double width = static_cast<double>(last_hash(ranges, i) - ranges[i].first) / space;
        shares[i] = (1 - measured) * width + (total > 0 ? measured * rates[i] / total : 0);
    }
    return shares;
}

double imbalance(const placement_view &view, double prior_rate) {
    const workbench bench(view, prior_rate);
    double worst = 0;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (bench.accepts(i)) {
            worst = std::max(worst, bench.ratio(i));
        }
    }
    return worst;
}

namespace {

std::size_t position_of(const std::vector<range_record> &ranges, std::uint64_t hash) {
    const auto after = std::upper_bound(
        ranges.begin(), ranges.end(), hash,
        [](std::uint64_t value, const range_record &range) { return value < range.first; });
    return static_cast<std::size_t>(std::distance(ranges.begin(), after)) - 1;
}

std::size_t fullest_but(const workbench &bench, const std::vector<char> &passed) {
    std::size_t fullest = workbench::none;
    for (std::size_t i = 0; i < passed.size(); ++i) {
        const bool fuller = fullest == workbench::none || bench.ratio(i) > bench.ratio(fullest);
        if (passed[i] == 0 && fuller) {
            fullest = i;
        }
    }
    return fullest;
}

/// Heaviest of a target's ranges that fits both what it has too much and the room elsewhere. A
/// heavier one would only carry the excess to its new owner.
std::size_t range_to_move(const placement_view &view, const workbench &bench, std::size_t from,
                          const std::vector<char> &moved, double most) {
    std::size_t best = workbench::none;
    for (const std::size_t range : bench.owned(from)) {
        const bool free = moved[range] == 0 && (*view.ranges)[range].next == no_target;
        const bool better = best == workbench::none || bench.share(range) > bench.share(best);
        if (free && bench.share(range) <= most && better) {
            best = range;
        }
    }
    return best;
}

/// Moves from overfull targets, each only if its gain is above the service's price of a move.
void balance(const placement_view &view, const placement_options &options, workbench &bench,
             std::size_t budget, placement_decision &decision) {
    const double threshold = options.gain_per_price * view.churn_price;
    const double limit = 1 + options.tolerance;
    std::vector<char> moved(view.ranges->size(), 0);
    for (const std::uint64_t cut : decision.splits) {
        moved[position_of(*view.ranges, cut)] = 1; // its parts are judged next time
    }
    std::vector<char> passed(view.targets.size(), 0);
    while (budget > 0) {
        const std::size_t from = fullest_but(bench, passed);
        if (from == workbench::none || bench.ratio(from) <= limit) {
            return;
        }
        double room = 0;
        for (std::size_t i = 0; i < view.targets.size(); ++i) {
            room = std::max(room, bench.accepts(i) ? bench.goal(i) * limit - bench.load(i) : 0);
        }
        const double excess = (bench.load(from) - bench.goal(from)) * limit;
        const std::size_t range = range_to_move(view, bench, from, moved, std::min(excess, room));
        const std::size_t to =
            range == workbench::none
                ? workbench::none
                : destination_for(view, bench, bench.share(range), options.tolerance);
        const bool needless = to != workbench::none && !bench.busy(from, options.busy_part) &&
                              bench.ratio(to) > options.starved_ratio;
        if (to == workbench::none || needless ||
            bench.share(range) / bench.goal(from) < threshold) {
            passed[from] = 1;
            continue;
        }
        moved[range] = 1;
        bench.shift(bench.share(range), from, to);
        decision.moves.push_back({(*view.ranges)[range].first, view.targets[to].number});
        decision.move_cause = "load above weight share";
        --budget;
    }
}

/// Middle of the range at position `i`, moved down to where a key begins; nothing if the range
/// holds a single key.
std::optional<std::uint64_t> middle_of(const placement_view &view, std::size_t i) {
    const std::uint64_t first = (*view.ranges)[i].first;
    const std::uint64_t middle = first + (last_hash(*view.ranges, i) - first) / 2 + 1;
    const std::uint64_t cut = middle - middle % view.key_distance;
    return cut > first ? std::optional(cut) : std::nullopt;
}

/// Where to cut the heavy range at position `i`: where its load was measured to call for it.
std::vector<std::uint64_t> cuts_of(const placement_view &view, std::size_t i) {
    const std::uint64_t first = (*view.ranges)[i].first;
    const std::uint64_t last = last_hash(*view.ranges, i);
    const auto measured = view.cuts.find(first);
    if (measured == view.cuts.end()) {
        const std::optional<std::uint64_t> middle = middle_of(view, i);
        return middle ? std::vector{*middle} : std::vector<std::uint64_t>{};
    }
    std::vector<std::uint64_t> result;
    for (const std::uint64_t cut : measured->second) {
        const std::uint64_t aligned = cut - cut % view.key_distance;
        if (aligned > first && aligned <= last) {
            result.push_back(aligned);
        }
    }
    return result;
}

/// Cuts hot keys out as ranges of their own, and halves ranges too heavy to be moved.
void split_heavy(const placement_view &view, const placement_options &options,
                 const workbench &bench, placement_decision &decision) {
    const std::vector<range_record> &ranges = *view.ranges;
    for (const std::uint64_t hash : view.hot_keys) {
        const std::size_t at = position_of(ranges, hash);
        if (ranges[at].next != no_target) {
            continue;
        }
        if (ranges[at].first != hash) {
            decision.splits.push_back(hash);
        } else if (last_hash(ranges, at) != hash + (view.key_distance - 1)) {
            decision.splits.push_back(hash + view.key_distance);
        }
    }
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const std::size_t owner = bench.index_of(ranges[i].owner);
        const std::uint64_t last = last_hash(ranges, i);
        if (owner == workbench::none || ranges[i].next != no_target ||
            last - ranges[i].first < narrowest_split) {
            continue;
        }
        if (bench.share(i) > bench.goal(owner) / 4 && bench.ratio(owner) > 1 &&
            bench.busy(owner, options.busy_part)) {
            const std::vector<std::uint64_t> cuts = cuts_of(view, i);
            decision.splits.insert(decision.splits.end(), cuts.begin(), cuts.end());
        }
    }
    // A hot key may be cut out by both rules.
    std::sort(decision.splits.begin(), decision.splits.end());
    decision.splits.erase(std::unique(decision.splits.begin(), decision.splits.end()),
                          decision.splits.end());
}

void split_widest(const placement_view &view, std::size_t wanted, placement_decision &decision) {
    const std::vector<range_record> &ranges = *view.ranges;
    std::vector<std::size_t> order(ranges.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    const auto width = [&](std::size_t i) { return last_hash(ranges, i) - ranges[i].first; };
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return width(a) > width(b); });
    for (const std::size_t i : order) {
        if (decision.splits.size() >= wanted || width(i) < 2) {
            return;
        }
        const std::optional<std::uint64_t> cut = middle_of(view, i);
        if (cut && ranges[i].next == no_target) {
            decision.splits.push_back(*cut);
        }
    }
}

void merge_cold(const placement_view &view, const workbench &bench, std::size_t most,
                placement_decision &decision) {
    const std::vector<range_record> &ranges = *view.ranges;
    const double cold = 0.25 / static_cast<double>(ranges.size());
    for (std::size_t i = 1; i < ranges.size() && decision.merges.size() < most; ++i) {
        const range_record &low = ranges[i - 1];
        const range_record &high = ranges[i];
        const bool settled = low.next == no_target && high.next == no_target &&
                             low.memory == idempotency_state::complete &&
                             high.memory == idempotency_state::complete;
        if (settled && low.owner != no_target && low.owner == high.owner &&
            bench.share(i - 1) + bench.share(i) < cold) {
            decision.merges.push_back(high.first);
            ++i; // its new neighbour is judged next time
        }
    }
}

} // namespace

/// Many targets even out in parallel; with few, each move under way is a large part of the keys.
std::size_t greedy_placement::moves_at_a_time(const placement_view &view) const {
    if (m_options.moves_at_a_time == 0) {
        return 0;
    }
    const std::size_t by_size = view.targets.size() / m_options.targets_per_move;
    return std::max(m_options.moves_at_a_time, by_size);
}

placement_decision greedy_placement::decide(const placement_view &view) {
    placement_decision decision;
    workbench bench(view, m_options.prior_rate);
    hand_out(view, bench, ranges_without_owner(view), decision.grants);
    if (!decision.grants.empty()) {
        return decision; // first serve every key again, then think of balance
    }
    std::vector<std::size_t> leaving = ranges_that_leave(view, bench);
    const std::size_t under_way = moves_under_way(view);
    if (!leaving.empty()) {
        const std::size_t room =
            m_options.stops_at_a_time - std::min(m_options.stops_at_a_time, under_way);
        leaving.resize(std::min(leaving.size(), room));
        hand_out(view, bench, std::move(leaving), decision.moves);
        decision.move_cause = "planned stop";
        return decision;
    }
    // Also while moves are under way: a neighbourhood that becomes busy does not wait for them.
    split_heavy(view, m_options, bench, decision);
    if (under_way == 0) {
        const std::size_t wanted = m_options.ranges_per_target * view.targets.size();
        if (decision.splits.empty() && view.ranges->size() < wanted) {
            split_widest(view, wanted - view.ranges->size(), decision);
        }
        if (decision.splits.empty() && view.ranges->size() > wanted * 3) {
            merge_cold(view, bench, view.ranges->size() - wanted * 3, decision);
        }
    }
    // Joining changes what a neighbour of a range to be moved is.
    const std::size_t most = decision.merges.empty() ? moves_at_a_time(view) : 0;
    const std::size_t room = most - std::min(most, under_way);
    balance(view, m_options, bench, room, decision);
    return decision;
}

} // namespace peppertack
