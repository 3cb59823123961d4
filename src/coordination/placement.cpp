#include "peppertack/coordination/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>

namespace peppertack {

namespace {

constexpr double min_share = 1e-9;
constexpr std::uint64_t min_split_width =
    1ULL << 40U; ///< narrower ranges are not split: a single key carries the load

std::uint64_t last_hash(const std::vector<range_record> &ranges, std::size_t at) {
    return at + 1 < ranges.size() ? ranges[at + 1].first - 1
                                  : std::numeric_limits<std::uint64_t>::max();
}

/// Estimated load of a range, relative to the load of its service.
struct load_estimate {
    double share = 0;
    double variance = 0; ///< of the share, by the chance in the number of requests counted
};

std::vector<load_estimate> estimate_loads(const placement_view &view, double prior_rate,
                                          double window_s) {
    const std::vector<range_record> &ranges = *view.ranges;
    double total = 0;
    std::vector<double> rates(ranges.size(), 0);
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const auto found = view.loads.find(ranges[i].first);
        rates[i] = found == view.loads.end() ? 0 : found->second;
        total += rates[i];
    }
    // A few requests say little about a range, so the estimate blends in the rate that its width
    // leads to. The blend is by range: with many ranges the service's rate is high while that of
    // each range is not.
    const double space = std::ldexp(1.0, 64);
    double sum = 0;
    std::vector<load_estimate> estimates(ranges.size());
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const double width = static_cast<double>(last_hash(ranges, i) - ranges[i].first) / space;
        const double expected = total > 0 ? width * total : width;
        const double evidence = total > 0 ? std::max(rates[i], expected) : 0;
        const double measured = evidence / (evidence + prior_rate);
        estimates[i].share = measured * rates[i] + (1 - measured) * expected;
        estimates[i].variance = measured * measured * evidence / window_s;
        sum += estimates[i].share;
    }
    for (load_estimate &estimate : estimates) {
        estimate.share /= sum;
        estimate.variance /= sum * sum;
    }
    return estimates;
}

/// Mutable load model of a view: targets and ranges by dense index, loads updated as moves are
/// chosen.
class load_model {
public:
    load_model(const placement_view &view, const placement_options &options)
        : m_view(&view), m_options(&options),
          m_estimates(estimate_loads(view, options.prior_rate,
                                     std::chrono::duration<double>(options.load_window).count())) {
        double total = 0;
        for (const placement_target &target : view.targets) {
            total += target.accepts ? target.weight : 0;
        }
        for (std::size_t i = 0; i < view.targets.size(); ++i) {
            const placement_target &target = view.targets[i];
            m_index[target.number] = i;
            const double weight = target.accepts && total > 0 ? target.weight / total : 0;
            m_desired_shares.push_back(std::max(weight, min_share));
        }
        m_loads.assign(view.targets.size(), 0);
        m_owned.resize(view.targets.size());
        m_variances.assign(view.targets.size(), 0);
        m_rates.assign(view.targets.size(), 0);
        for (std::size_t i = 0; i < view.ranges->size(); ++i) {
            const range_record &range = (*view.ranges)[i];
            // A range that is being moved counts towards its destination.
            const std::size_t holder = index_of(range.next != no_target ? range.next : range.owner);
            if (holder != none) {
                m_loads[holder] += m_estimates[i].share;
                m_variances[holder] += m_estimates[i].variance;
                const auto measured = view.loads.find(range.first);
                m_rates[holder] += measured == view.loads.end() ? 0 : measured->second;
                m_owned[holder].push_back(i);
            }
        }
    }

    static constexpr std::size_t none = std::numeric_limits<std::size_t>::max();

    std::size_t index_of(target_number number) const {
        const auto found = m_index.find(number);
        return found == m_index.end() ? none : found->second;
    }
    double share(std::size_t range) const { return m_estimates[range].share; }
    double load(std::size_t target) const { return m_loads[target]; }
    double desired_share(std::size_t target) const { return m_desired_shares[target]; }
    double ratio(std::size_t target) const { return m_loads[target] / m_desired_shares[target]; }
    const std::vector<std::size_t> &owned(std::size_t target) const { return m_owned[target]; }
    bool accepts(std::size_t target) const {
        return m_view->targets[target].accepts && m_view->targets[target].weight > 0;
    }
    /// Whether a target's measured rate exceeds the busy threshold of its capacity. If that is
    /// unknown: whether its load is above its weight share by more than chance.
    bool busy(std::size_t target) const {
        const double capacity = m_view->targets[target].capacity;
        if (capacity > 0) {
            return m_rates[target] > capacity * m_options->busy_threshold;
        }
        // The deviation that a target with exactly its weight share would show.
        const double desired = m_desired_shares[target];
        const double load = std::max(m_loads[target], min_share);
        const double chance =
            m_options->chance_deviations * std::sqrt(m_variances[target] * desired / load);
        return load > desired + chance;
    }
    void move_load(double share, std::size_t from, std::size_t to) {
        if (from != none) {
            m_loads[from] -= share;
        }
        m_loads[to] += share;
    }

private:
    const placement_view *m_view;
    const placement_options *m_options;
    std::vector<load_estimate> m_estimates; ///< by position of the range
    std::unordered_map<target_number, std::size_t> m_index;
    std::vector<double> m_desired_shares;
    std::vector<double> m_loads;
    std::vector<double> m_variances; ///< of the loads
    std::vector<double> m_rates;     ///< requests per second
    std::vector<std::vector<std::size_t>> m_owned;
};

/// Priority queue of targets by load ratio, least loaded first. Entries become stale when a load
/// changes; `take` reinserts a stale entry with the current ratio.
class least_loaded_queue {
public:
    explicit least_loaded_queue(const load_model &model, std::size_t targets) : m_bench(&model) {
        for (std::size_t i = 0; i < targets; ++i) {
            if (model.accepts(i)) {
                m_queue.emplace(model.ratio(i), i);
            }
        }
    }

    std::size_t take() {
        while (!m_queue.empty()) {
            const auto [ratio, target] = m_queue.top();
            m_queue.pop();
            if (ratio >= m_bench->ratio(target) - min_share) {
                return target;
            }
            m_queue.emplace(m_bench->ratio(target), target);
        }
        return load_model::none;
    }
    void put_back(std::size_t target) { m_queue.emplace(m_bench->ratio(target), target); }

private:
    using item = std::pair<double, std::size_t>;
    const load_model *m_bench;
    std::priority_queue<item, std::vector<item>, std::greater<>> m_queue;
};

/// Assigns each range of `unassigned` (positions) to the least loaded target, heaviest range first.
void assign_to_least_loaded(const placement_view &view, load_model &model,
                            std::vector<std::size_t> unassigned,
                            std::vector<range_choice> &choices) {
    std::sort(unassigned.begin(), unassigned.end(), [&](std::size_t a, std::size_t b) {
        return model.share(a) != model.share(b) ? model.share(a) > model.share(b) : a < b;
    });
    least_loaded_queue queue(model, view.targets.size());
    for (const std::size_t range : unassigned) {
        const std::size_t to = queue.take();
        if (to == load_model::none) {
            return;
        }
        const range_record &record = (*view.ranges)[range];
        model.move_load(model.share(range), model.index_of(record.owner), to);
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

std::size_t moves_in_progress(const placement_view &view) {
    return static_cast<std::size_t>(
        std::count_if(view.ranges->begin(), view.ranges->end(),
                      [](const range_record &range) { return range.next != no_target; }));
}

/// Ranges of the targets for which `leaves` is set.
std::vector<std::size_t> ranges_to_drain(const placement_view &view, const load_model &model,
                                         bool placement_target::*leaves) {
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < view.ranges->size(); ++i) {
        const range_record &range = (*view.ranges)[i];
        const std::size_t owner = model.index_of(range.owner);
        if (range.next == no_target && owner != load_model::none && view.targets[owner].*leaves) {
            result.push_back(i);
        }
    }
    return result;
}

/// Least loaded target that stays within its weight share plus tolerance after taking `share`.
std::size_t destination_for(const placement_view &view, const load_model &model, double share,
                            double tolerance) {
    std::size_t best = load_model::none;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (!model.accepts(i) || model.load(i) + share > model.desired_share(i) * (1 + tolerance)) {
            continue;
        }
        if (best == load_model::none || model.ratio(i) < model.ratio(best)) {
            best = i;
        }
    }
    return best;
}

} // namespace

std::vector<double> range_shares(const placement_view &view, double prior_rate) {
    std::vector<double> shares;
    for (const load_estimate &estimate : estimate_loads(view, prior_rate, 1)) {
        shares.push_back(estimate.share);
    }
    return shares;
}

double imbalance(const placement_view &view, const placement_options &options) {
    const load_model model(view, options);
    double worst = 0;
    for (std::size_t i = 0; i < view.targets.size(); ++i) {
        if (model.accepts(i)) {
            worst = std::max(worst, model.ratio(i));
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

std::size_t most_loaded_except(const load_model &model, const std::vector<char> &skipped) {
    std::size_t most_loaded = load_model::none;
    for (std::size_t i = 0; i < skipped.size(); ++i) {
        const bool more_loaded =
            most_loaded == load_model::none || model.ratio(i) > model.ratio(most_loaded);
        if (skipped[i] == 0 && more_loaded) {
            most_loaded = i;
        }
    }
    return most_loaded;
}

/// Heaviest range of target `from` with a share of at most `max_share`. A range heavier than
/// the excess and the room elsewhere would only overload its new owner.
std::size_t range_to_move(const placement_view &view, const load_model &model, std::size_t from,
                          const std::vector<char> &moved, double max_share) {
    std::size_t best = load_model::none;
    for (const std::size_t range : model.owned(from)) {
        const bool free = moved[range] == 0 && (*view.ranges)[range].next == no_target;
        const bool better = best == load_model::none || model.share(range) > model.share(best);
        if (free && model.share(range) <= max_share && better) {
            best = range;
        }
    }
    return best;
}

/// Plans moves away from overloaded targets, each only if its gain exceeds the service's price of a
/// move.
void balance(const placement_view &view, const placement_options &options, load_model &model,
             std::size_t budget, placement_decision &decision) {
    const double threshold = options.min_gain_per_price * view.churn_price;
    const double limit = 1 + options.tolerance;
    std::vector<char> moved(view.ranges->size(), 0);
    for (const std::uint64_t split_point : decision.splits) {
        moved[position_of(*view.ranges, split_point)] =
            1; // its parts are considered in the next decision
    }
    std::vector<char> skipped(view.targets.size(), 0);
    while (budget > 0) {
        const std::size_t from = most_loaded_except(model, skipped);
        if (from == load_model::none || model.ratio(from) <= limit) {
            return;
        }
        double room = 0;
        for (std::size_t i = 0; i < view.targets.size(); ++i) {
            room = std::max(room,
                            model.accepts(i) ? model.desired_share(i) * limit - model.load(i) : 0);
        }
        const double excess = (model.load(from) - model.desired_share(from)) * limit;
        const std::size_t range = range_to_move(view, model, from, moved, std::min(excess, room));
        const std::size_t to =
            range == load_model::none
                ? load_model::none
                : destination_for(view, model, model.share(range), options.tolerance);
        const bool unnecessary = to != load_model::none && !model.busy(from) &&
                                 model.ratio(to) > options.underload_threshold;
        if (to == load_model::none || unnecessary ||
            model.share(range) / model.desired_share(from) < threshold) {
            skipped[from] = 1;
            continue;
        }
        moved[range] = 1;
        model.move_load(model.share(range), from, to);
        decision.moves.push_back({(*view.ranges)[range].first, view.targets[to].number});
        decision.move_cause = "load above weight share";
        --budget;
    }
}

/// Middle of the range at position `i`, rounded down to the start of a key; nothing if the range
/// holds a single key.
std::optional<std::uint64_t> midpoint_of(const placement_view &view, std::size_t i) {
    const std::uint64_t first = (*view.ranges)[i].first;
    const std::uint64_t middle = first + (last_hash(*view.ranges, i) - first) / 2 + 1;
    const std::uint64_t split_point = middle - middle % view.key_spacing;
    return split_point > first ? std::optional(split_point) : std::nullopt;
}

/// Split points of the heavy range at position `i`: the measured ones, else its middle.
std::vector<std::uint64_t> split_points_of(const placement_view &view, std::size_t i) {
    const std::uint64_t first = (*view.ranges)[i].first;
    const std::uint64_t last = last_hash(*view.ranges, i);
    const auto measured = view.split_points.find(first);
    if (measured == view.split_points.end()) {
        const std::optional<std::uint64_t> middle = midpoint_of(view, i);
        return middle ? std::vector{*middle} : std::vector<std::uint64_t>{};
    }
    std::vector<std::uint64_t> result;
    for (const std::uint64_t split_point : measured->second) {
        const std::uint64_t aligned = split_point - split_point % view.key_spacing;
        if (aligned > first && aligned <= last) {
            result.push_back(aligned);
        }
    }
    return result;
}

/// Isolates hot keys in ranges of their own and splits ranges that are too heavy to move.
void split_heavy(const placement_view &view, const load_model &model,
                 placement_decision &decision) {
    const std::vector<range_record> &ranges = *view.ranges;
    for (const std::uint64_t hash : view.hot_keys) {
        const std::size_t at = position_of(ranges, hash);
        if (ranges[at].next != no_target) {
            continue;
        }
        if (ranges[at].first != hash) {
            decision.splits.push_back(hash);
        } else if (last_hash(ranges, at) != hash + (view.key_spacing - 1)) {
            decision.splits.push_back(hash + view.key_spacing);
        }
    }
    for (std::size_t i = 0; i < ranges.size(); ++i) {
        const std::size_t owner = model.index_of(ranges[i].owner);
        const std::uint64_t last = last_hash(ranges, i);
        if (owner == load_model::none || ranges[i].next != no_target ||
            last - ranges[i].first < min_split_width) {
            continue;
        }
        if (model.share(i) > model.desired_share(owner) / 4 && model.ratio(owner) > 1 &&
            model.busy(owner)) {
            const std::vector<std::uint64_t> split_points = split_points_of(view, i);
            decision.splits.insert(decision.splits.end(), split_points.begin(), split_points.end());
        }
    }
    // Both rules may yield the same split point for a hot key.
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
        const std::optional<std::uint64_t> split_point = midpoint_of(view, i);
        if (split_point && ranges[i].next == no_target) {
            decision.splits.push_back(*split_point);
        }
    }
}

void merge_cold(const placement_view &view, const load_model &model, std::size_t max_merges,
                placement_decision &decision) {
    const std::vector<range_record> &ranges = *view.ranges;
    const double cold = 0.25 / static_cast<double>(ranges.size());
    for (std::size_t i = 1; i < ranges.size() && decision.merges.size() < max_merges; ++i) {
        const range_record &low = ranges[i - 1];
        const range_record &high = ranges[i];
        const bool settled = low.next == no_target && high.next == no_target &&
                             low.memory == idempotency_state::complete &&
                             high.memory == idempotency_state::complete;
        if (settled && low.owner != no_target && low.owner == high.owner &&
            model.share(i - 1) + model.share(i) < cold) {
            decision.merges.push_back(high.first);
            ++i; // the merged range is considered in the next decision
        }
    }
}

} // namespace

/// The limit grows with the number of targets: with few targets, each concurrent move affects a
/// large part of the keys.
std::size_t greedy_placement::max_concurrent_moves(const placement_view &view) const {
    if (m_options.max_concurrent_moves == 0) {
        return 0;
    }
    const std::size_t target_based_limit =
        view.targets.size() / m_options.targets_per_concurrent_move;
    return std::max(m_options.max_concurrent_moves, target_based_limit);
}

placement_decision greedy_placement::decide(const placement_view &view) {
    placement_decision decision;
    const std::size_t wanted = m_options.ranges_per_target * view.targets.size();
    const bool never_owned =
        std::all_of(view.ranges->begin(), view.ranges->end(),
                    [](const range_record &range) { return range.token == 0; });
    if (view.split_before_grant && never_owned && view.ranges->size() < wanted) {
        split_widest(view, std::min(wanted - view.ranges->size(), m_options.max_first_splits),
                     decision);
        if (!decision.splits.empty()) {
            return decision;
        }
    }
    load_model model(view, m_options);
    assign_to_least_loaded(view, model, ranges_without_owner(view), decision.grants);
    if (!decision.grants.empty()) {
        return decision; // every key gets an owner before balancing
    }
    const std::size_t in_progress = moves_in_progress(view);
    struct departure {
        bool placement_target::*leaves;
        std::size_t max_moves;
        const char *cause;
    };
    for (const departure &kind :
         {departure{&placement_target::evacuated, m_options.max_concurrent_evacuation_moves,
                    "failure domain evacuated"},
          departure{&placement_target::draining, m_options.max_concurrent_drain_moves,
                    "planned stop"}}) {
        std::vector<std::size_t> to_drain = ranges_to_drain(view, model, kind.leaves);
        if (!to_drain.empty()) {
            const std::size_t room = kind.max_moves - std::min(kind.max_moves, in_progress);
            to_drain.resize(std::min(to_drain.size(), room));
            assign_to_least_loaded(view, model, std::move(to_drain), decision.moves);
            decision.move_cause = kind.cause;
            return decision;
        }
    }
    // Also while moves are in progress: a group of adjacent keys that becomes busy is split at
    // once.
    split_heavy(view, model, decision);
    if (in_progress == 0) {
        if (decision.splits.empty() && view.ranges->size() < wanted) {
            split_widest(view, wanted - view.ranges->size(), decision);
        }
        if (decision.splits.empty() && view.ranges->size() > wanted * 3) {
            merge_cold(view, model, view.ranges->size() - wanted * 3, decision);
        }
    }
    // A merge changes the ranges that a move in the same decision could refer to.
    const std::size_t max_moves = decision.merges.empty() ? max_concurrent_moves(view) : 0;
    const std::size_t room = max_moves - std::min(max_moves, in_progress);
    balance(view, m_options, model, room, decision);
    return decision;
}

} // namespace peppertack
