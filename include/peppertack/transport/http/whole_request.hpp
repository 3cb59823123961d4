#pragma once

#include "peppertack/transport/http/http_server.hpp"

#include <functional>
#include <string>

namespace peppertack {

/// For calls with small bodies: waits for the whole request, then hands it to a function, which
/// answers over the connection, at once or later.
class whole_request : public http_request_handler {
public:
    using function = std::function<void(const std::shared_ptr<http_exchange> &, std::string body)>;

    whole_request(std::shared_ptr<http_exchange> caller, function handle)
        : m_caller(std::move(caller)), m_handle(std::move(handle)), m_charge(m_caller->budget()) {}

    void on_request_body(std::string_view piece) override {
        m_body.append(piece);
        m_charge.set(m_body.capacity());
        if (m_charge.full()) {
            const auto caller = m_caller; // the answer may end this handler
            caller->respond(503, {{"Retry-After", "1"}}, {});
        }
    }
    void on_request_end() override {
        const auto caller = m_caller;
        m_handle(caller, std::move(m_body));
    }

    /// Factory for a server whose every request goes to `handle`.
    static http_server::handler_factory factory(function handle) {
        return [handle = std::move(handle)](const std::shared_ptr<http_exchange> &caller) {
            return std::make_shared<whole_request>(caller, handle);
        };
    }

private:
    std::shared_ptr<http_exchange> m_caller;
    function m_handle;
    std::string m_body;
    byte_budget::charge m_charge; ///< for that
};

} // namespace peppertack
