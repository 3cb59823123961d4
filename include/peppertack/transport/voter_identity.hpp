#pragma once

#include "peppertack/state/storage.hpp"
#include "peppertack/transport/daemon_settings.hpp"

#include <optional>
#include <string>
#include <vector>

namespace peppertack {

/// Who a process is among the voters; see `address_of` for the form of the name.
struct voter_identity {
    node_address name;
    std::vector<node_address> founders; ///< the first members, on a process that is one of them
    /// File that has to be durable before this voter promises anything; empty if it is stored.
    std::optional<stored_file> unstored;

    friend bool operator==(const voter_identity &, const voter_identity &) = default;
};

/// Reads the identity from the data folder, or makes one at the first start, which the voter's log
/// stores together with its own first file. A process without a data folder, or whose voters are
/// fixed by the settings, goes by its address. Yields nothing, with the reason, if the folder can't
/// be used.
std::optional<voter_identity> load_identity(const daemon_settings &settings, std::string &reason);

} // namespace peppertack
