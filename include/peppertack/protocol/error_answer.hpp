#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/error_kind.hpp"

#include <cstdint>
#include <string>

namespace peppertack {

/// Whose fault an error is.
enum class blame : std::uint8_t {
    nobody, ///< no error
    sender, ///< whoever sent the request: only they can do something about it
    system, ///< this system's or a target's: the request itself is proper
};

/// How a kind of error is told to a caller or an operator.
struct error_answer {
    error_kind kind;
    blame by;
    int status;        ///< HTTP status; 4xx if and only if the sender is at fault
    const char *name;  ///< stable, for programs; also the end of the problem type
    const char *title; ///< for people
};

/// Entry of the closed table. Thread safe.
const error_answer &answer_for(error_kind kind);

/// What a node tells a caller when the node that it forwarded the request to refused it for `kind`.
/// Only the node that took a request knows what the caller sent. Another node judges by what it was
/// handed over, and by routes and a target that may be others by now: a caller who believed it
/// would give up on a proper request. So a fault of the sender becomes one of the system here.
/// Thread safe.
error_kind refusal_by_other_node(error_kind kind);

/// Body of an `application/problem+json` answer.
std::string problem_json(error_kind kind, const std::string &detail, outcome result);

/// "ran", "not-run" or "unknown".
const char *outcome_name(outcome result);

} // namespace peppertack
