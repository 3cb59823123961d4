#pragma once

#include "peppertack/coordination/graceful_stop.hpp"
#include "peppertack/coordination/hold_call_scheduler.hpp"
#include "peppertack/coordination/hold_manager.hpp"
#include "peppertack/coordination/messages.hpp"
#include "peppertack/coordination/node_options.hpp"
#include "peppertack/coordination/retry_budget.hpp"
#include "peppertack/coordination/target_selector.hpp"
#include "peppertack/coordination/traffic_policy.hpp"
#include "peppertack/state/routing_table.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace peppertack {

class hold_call_format;

/// Names of the headers that callers, targets and this system exchange. A deployment has its own.
struct traffic_headers {
    std::string request_id = "Request-Id";   ///< echoed by targets; tells answers apart
    std::string deadline_ms = "Deadline-Ms"; ///< how long the sender waits
    std::string key = "Key";                 ///< ordered key of a request to a keyed service
    std::string caller_service =
        "Caller-Service"; ///< set here: service beside which a request began
    std::string expected_target =
        "Expected-Target";                     ///< set here: any other target refuses to run it
    std::string not_executed = "Not-Executed"; ///< with an answer: the target did not run it
    std::string target_name = "Target-Name";   ///< with a health answer: which target this is
    std::string cold_ms = "Cold-Ms"; ///< with a health answer: how long the target stays cold
    /// With an answer: requests a second that the target takes from all nodes together.
    std::string target_limit = "Target-Limit";
    std::string target_leaving = "Target-Leaving"; ///< with an answer: 1 if the target will stop
};

/// Options of the traffic part of a node.
struct traffic_options {
    std::string caller_address; ///< IP:port for callers and the local target's own calls
    std::string node_address;   ///< IP:port for requests that other nodes forward
    std::string service;        ///< of the local target
    /// IP:port of the local target, asked once at the start; empty: its heartbeat is waited for.
    std::string target_address;
    traffic_headers headers;
    node_options node;
    hold_manager::options holds;
    hold_call_scheduler::options hold_calls;
    /// Writes calls of holds; null: targets that take their keys by calls are given none.
    std::shared_ptr<const hold_call_format> hold_format;
    /// What the settings say of the local target's service, until a table is known.
    hold_delivery expected_delivery = hold_delivery::by_heartbeat;
    target_selector::options selector;
    traffic_policy policy;
    /// Requests sent to a second target, as a share of this node's requests to a service and a few
    /// more. All nodes' shares together must stay below what the targets are promised:
    /// `retry_slack` besides the share, for all nodes.
    retry_budget::options retries{.share = 0.16, .max_tokens = 3};
    double retry_slack = 48;
    /// Of these, the part for requests that may have run: each of their runs calls other targets
    /// again.
    retry_budget::options reruns{.share = 0.05, .max_tokens = 2};
    /// Bound on the requests that reach a cold target in any second: the rate of its service times
    /// the first, and so many more.
    double cold_overrun = 1;
    double cold_slack = 0;
    /// After a node learns of an evacuation, targets in that failure domain get requests for keys
    /// that have not moved yet for this long.
    duration evacuation_grace = std::chrono::milliseconds(2500);
    duration heartbeat_interval = std::chrono::seconds(1); ///< of targets
    graceful_stop::options stop{.acceptance = std::chrono::milliseconds(1800),
                                .refusal = std::chrono::milliseconds(2800),
                                .limit = std::chrono::milliseconds(5700),
                                .answers = std::chrono::milliseconds(200),
                                .closing_time = std::chrono::milliseconds(150)};
    /// A node gets its routing table within this time after its start, unless it is cut off: an
    /// election, two renewals, and a map of 10,000 ranges over a link of 10 Mbit/s.
    duration routes_startup = std::chrono::milliseconds(1500);
    /// Longest wait of a request for its key to get an owner, as a part of its latency objective: a
    /// planned move is over by then, and the caller is told soon enough to come back if it is not.
    double parked_part = 0.6;
    std::size_t retained_body = 512U << 10U; ///< a request up to this can be sent to another target
    /// A body above this is sent to another node only when that node asks for it: twenty of these
    /// fit into the queue of a link of 8 Mbit/s without holding up others for half a second.
    std::size_t announced_body = 16U << 10U;
    /// Such bodies that a node takes in at a time.
    std::uint32_t body_turns = 8;
    /// A body that takes longer than this to come no longer keeps others from their turn.
    duration body_turn_limit = std::chrono::seconds(1);
    std::size_t buffered_answer = 64U << 10U; ///< an answer up to this is passed on only when whole
    /// Descriptors that the process may have open. Callers get a part of them, so that other nodes,
    /// the local target's heartbeats and voters are served whatever callers do.
    std::size_t max_descriptors = 4096;
    std::size_t held_bytes = 64U << 20U; ///< of requests and answers on their way, all together
    std::size_t held_back = 256U << 10U; ///< bytes queued on one side before the other is paused
};

} // namespace peppertack
