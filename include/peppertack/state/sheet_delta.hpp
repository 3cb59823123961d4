#pragma once

#include "peppertack/state/routing_sheet.hpp"

#include <set>

namespace peppertack {

/// What leads from one routing sheet to the next: the rows that are new or changed, and the names
/// of those that are gone. An operator changes a few rows of hundreds, and the log, the audit and
/// every node are told only of these. An immutable value once made.
struct sheet_delta {
    std::uint64_t base_version = 0; ///< sheet that it changes; 0: the empty one
    std::uint64_t version = 0;      ///< sheet that results
    std::map<std::string, route> routes;
    std::map<std::string, routed_service> services;
    std::set<std::string> removed_routes;
    std::set<std::string> removed_services;
    std::optional<caller_limits> limits;

    friend bool operator==(const sheet_delta &, const sheet_delta &) = default;
};

/// Thread safe, as all functions here.
sheet_delta difference(const routing_sheet &from, const routing_sheet &to);
/// The sheet that results. Yields nothing if `sheet` is not the one that `delta` changes; the empty
/// sheet may be made from any.
std::optional<routing_sheet> apply(const routing_sheet &sheet, const sheet_delta &delta);
/// Both changes as one. Precondition: `second` changes what `first` results in.
sheet_delta join(const sheet_delta &first, const sheet_delta &second);
/// The same without the operator's own text of each row, which only voters give back.
sheet_delta without_sources(sheet_delta delta);

/// JSON text of a delta for the log and for nodes.
std::string encode(const sheet_delta &delta);
/// Reads what `encode` wrote. Yields nothing, with the reason, for anything else.
std::optional<sheet_delta> decode_delta(std::string_view text, std::string &reason);
/// The same for a whole sheet.
std::string encode(const routing_sheet &sheet);
std::optional<routing_sheet> decode_sheet(std::string_view text, std::string &reason);

} // namespace peppertack
