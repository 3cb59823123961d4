#pragma once

#include "peppertack/coordination/messages.hpp"
#include "peppertack/state/error_kind.hpp"

#include <string>

namespace peppertack {

/// How a kind of error is told to a caller or an operator.
struct error_answer {
    error_kind kind;
    int status;        ///< HTTP status
    const char *name;  ///< stable, for programs; also the end of the problem type
    const char *title; ///< for people
};

/// Entry of the closed table. Thread safe.
const error_answer &answer_for(error_kind kind);

/// Body of an `application/problem+json` answer.
std::string problem_json(error_kind kind, const std::string &detail, outcome result);

/// "ran", "not-run" or "unknown".
const char *outcome_name(outcome result);

} // namespace peppertack
