#pragma once

#include "peppertack/state/routing_table.hpp"

#include <set>

namespace peppertack {

/// Difference between two routing tables: rows added or changed, and names of rows removed.
/// Operators usually change a few rows of hundreds, so the log, the audit records and the nodes
/// receive only the difference. Immutable once constructed.
struct routing_delta {
    std::uint64_t base_version = 0; ///< version to which it applies; 0: the empty routing table
    std::uint64_t version = 0;      ///< version of the result
    std::map<std::string, route> routes;
    std::map<std::string, routed_service> services;
    std::set<std::string> removed_routes;
    std::set<std::string> removed_services;
    std::optional<caller_limits> limits;

    friend bool operator==(const routing_delta &, const routing_delta &) = default;
};

/// All functions in this header are thread safe.
routing_delta difference(const routing_table &from, const routing_table &to);
/// Applies `delta` to `routing`. Returns nullopt if `routing` is not the base version of `delta`. A
/// delta with base version 0 applies to any routing table and replaces it.
std::optional<routing_table> apply(const routing_table &routing, const routing_delta &delta);
/// Composes two deltas. Precondition: the base of `second` is the result of `first`.
routing_delta join(const routing_delta &first, const routing_delta &second);
/// Removes the operator's source text of each row, which only voters return.
routing_delta without_sources(routing_delta delta);

/// Encodes a delta as JSON for the log and for nodes.
std::string encode(const routing_delta &delta);
/// Decodes the output of `encode`. Returns nullopt and sets `reason` for any other input.
std::optional<routing_delta> decode_delta(std::string_view text, std::string &reason);
/// Encodes a complete routing table, as a delta with base version 0.
std::string encode(const routing_table &routing);
std::optional<routing_table> decode_routing_table(std::string_view text, std::string &reason);

} // namespace peppertack
