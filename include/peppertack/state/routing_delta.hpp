#pragma once

#include "peppertack/state/routing_table.hpp"

#include <set>

namespace peppertack {

/// What leads from one routing table to the next: the rows that are new or changed, and the names
/// of those that are gone. An operator changes a few rows of hundreds, and the log, the audit and
/// every node are told only of these. An immutable value once made.
struct routing_delta {
    std::uint64_t base_version = 0; ///< routing table that it changes; 0: the empty one
    std::uint64_t version = 0;      ///< routing table that results
    std::map<std::string, route> routes;
    std::map<std::string, routed_service> services;
    std::set<std::string> removed_routes;
    std::set<std::string> removed_services;
    std::optional<caller_limits> limits;

    friend bool operator==(const routing_delta &, const routing_delta &) = default;
};

/// Thread safe, as all functions here.
routing_delta difference(const routing_table &from, const routing_table &to);
/// The routing table that results. Yields nothing if `routing` is not the one that `delta` changes;
/// the empty routing table may be made from any.
std::optional<routing_table> apply(const routing_table &routing, const routing_delta &delta);
/// Both changes as one. Precondition: `second` changes what `first` results in.
routing_delta join(const routing_delta &first, const routing_delta &second);
/// The same without the operator's own text of each row, which only voters give back.
routing_delta without_sources(routing_delta delta);

/// JSON text of a delta for the log and for nodes.
std::string encode(const routing_delta &delta);
/// Reads what `encode` wrote. Yields nothing, with the reason, for anything else.
std::optional<routing_delta> decode_delta(std::string_view text, std::string &reason);
/// The same for a whole routing table.
std::string encode(const routing_table &routing);
std::optional<routing_table> decode_routing_table(std::string_view text, std::string &reason);

} // namespace peppertack
