#pragma once

#include "peppertack/coordination/hold_call_scheduler.hpp"
#include "peppertack/transport/http/http_client_pool.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peppertack {

/// How a deployment writes the calls by which targets are told what they hold. Immutable, thread
/// safe.
class hold_call_format {
public:
    virtual ~hold_call_format() = default;
    /// The request of a call; a grant runs for `length`.
    virtual whole_call request(const hold_call &call, const std::string &address,
                               duration length) const = 0;
    /// What the target says; `token_refused` only of a grant. `identified` if by its contents the
    /// answer can't be one to a grant or to another release. Precondition: the answer is whole.
    virtual hold_call_end read_answer(const hold_call &call, const http_head &head) const = 0;
};

/// Carries out the calls that a `hold_call_scheduler` decides on. Not thread safe.
class hold_call_runner {
public:
    struct callbacks {
        /// Directly before the bytes are written: how long a grant may run; nothing: not any more.
        std::function<std::optional<duration>(std::uint64_t)> write;
        std::function<void(const hold_call &, const hold_call_end &)> end;
        /// The target's address takes no connections; told when the attempt was begun.
        std::function<void(instant)> refused;
    };

    /// `pool` carries nothing else: an answer to a request could be taken for one to a call.
    hold_call_runner(http_client_pool &pool, std::shared_ptr<const hold_call_format> format,
                     callbacks calls);
    ~hold_call_runner();

    /// Begins a call to the target at "IP:port".
    void start(const hold_call &call, const std::string &address);
    /// Gives up a call and tells that it is lost.
    void lose(std::uint64_t id);
    /// Gives up the calls for which `wanted` is false.
    void keep_only(const std::function<bool(std::uint64_t)> &wanted);

private:
    class exchange;

    void end(const hold_call &call, const hold_call_end &how,
             std::optional<instant> refused = std::nullopt);

    http_client_pool &m_pool;
    std::shared_ptr<const hold_call_format> m_format;
    callbacks m_callbacks;
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_running; ///< by call
};

} // namespace peppertack
