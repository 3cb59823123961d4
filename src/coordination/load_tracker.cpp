#include "peppertack/coordination/load_tracker.hpp"

#include <algorithm>

namespace peppertack {

namespace {

/// Twenty reports, so that a node that is unreachable for a few seconds does not count as idle.
constexpr duration load_retention = std::chrono::seconds(10);
/// Weight of the latest report in the moving average. At two reports per second the average follows
/// a burst within a second.
constexpr double latest_report_weight = 0.5;
/// A key above both this share of its service's requests and `min_hot_rate` per second gets a
/// range of its own. A lighter key uses less than a tenth of a target.
constexpr double min_hot_share = 0.02;
constexpr double min_hot_rate = 50;
/// A capacity measurement has a weight of 1 / `capacity_smoothing` in the moving average. Reports
/// come once per second; keys should follow a lasting difference, not a single slow second.
constexpr double capacity_smoothing = 4;
/// Reports before a capacity is used, since targets are slow in their first seconds.
constexpr std::uint32_t min_capacity_reports = 3;
/// Bounds of a target's capacity relative to the mean, so that an outlier moves few keys. Targets
/// of one service differ by up to a factor of three.
constexpr double min_capacity_factor = 0.3;
constexpr double max_capacity_factor = 2.5;

} // namespace

void load_tracker::record(const std::string &service, target_number target,
                          const renew_request &report, instant now) {
    if (report.capacity > 0) {
        measured_capacity &known = m_capacities[target];
        known.value +=
            (report.capacity - known.value) / std::min<double>(++known.reports, capacity_smoothing);
    }
    service_load &load = m_services[service];
    for (const range_load &item : report.loads) {
        measured_rate &measured = load.ranges[item.first];
        const double rate =
            measured.rate * (1 - latest_report_weight) + item.requests * latest_report_weight;
        measured = {rate, now, item.split_points};
    }
    for (const hot_key &item : report.hot_keys) {
        load.hot[item.hash] = {static_cast<double>(item.requests), now};
    }
}

void load_tracker::remove_expired(instant now) {
    const auto expired = [now](const auto &item) { return item.second.at + load_retention < now; };
    for (auto &[service, load] : m_services) {
        std::erase_if(load.ranges, expired);
        std::erase_if(load.hot, expired);
    }
}

void load_tracker::clear() {
    m_capacities.clear();
    m_services.clear();
}

void load_tracker::add_loads(const std::string &service, placement_view &view) const {
    const auto load = m_services.find(service);
    if (load == m_services.end()) {
        return;
    }
    double total = 0;
    for (const auto &[first, measured] : load->second.ranges) {
        view.loads[first] = measured.rate;
        view.split_points[first] = measured.split_points;
        total += measured.rate;
    }
    for (const auto &[hash, measured] : load->second.hot) {
        if (measured.rate > min_hot_rate && measured.rate > total * min_hot_share) {
            view.hot_keys.push_back(hash);
        }
    }
    std::sort(view.hot_keys.begin(), view.hot_keys.end());
}

double load_tracker::capacity_of(const placement_target &target) const {
    const auto found = m_capacities.find(target.number);
    const bool reliable =
        found != m_capacities.end() && found->second.reports >= min_capacity_reports;
    return reliable && target.weight > 0 ? found->second.value : 0.0;
}

void load_tracker::scale_weights_by_capacity(placement_view &view) const {
    double total = 0;
    std::size_t measured = 0;
    for (const placement_target &target : view.targets) {
        const double capacity = capacity_of(target);
        total += capacity;
        measured += capacity > 0 ? 1 : 0;
    }
    if (measured == 0) {
        return;
    }
    const double mean = total / static_cast<double>(measured);
    for (placement_target &target : view.targets) {
        if (const double capacity = capacity_of(target); capacity > 0) {
            target.capacity = capacity;
            target.weight *= std::clamp(capacity / mean, min_capacity_factor, max_capacity_factor);
        }
    }
}

void load_tracker::divide_load(const std::string &service, std::uint64_t first,
                               const std::vector<std::uint64_t> &split_points) {
    const auto load = m_services.find(service);
    if (load == m_services.end()) {
        return;
    }
    const auto found = load->second.ranges.find(first);
    if (found == load->second.ranges.end()) {
        return;
    }
    found->second.rate /= static_cast<double>(split_points.size() + 1);
    found->second.split_points.clear();
    const measured_rate part = found->second;
    for (const std::uint64_t split_point : split_points) {
        load->second.ranges[split_point] = part;
    }
}

} // namespace peppertack
