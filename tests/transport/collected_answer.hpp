#pragma once

#include "peppertack/transport/http/http_client_pool.hpp"

#include <optional>
#include <string>

namespace peppertack::testing {

/// Keeps what a call was told.
struct collected_answer final : http_response_handler {
    void on_response_head(http_head head) override { status = head.status; }
    void on_response_body(std::string_view piece) override { body.append(piece); }
    void on_response_end() override { ended = true; }
    void on_call_failed(call_failure why, const std::string &) override { failure = why; }
    bool over() const { return ended || failure.has_value(); }
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<call_failure> failure;
};

} // namespace peppertack::testing
