#pragma once

#include "peppertack/transport/http/http_reader.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peppertack::testing {

/// A caller's connection. Requests are sent without waiting for answers, and answers are read at
/// the pace that the caller chooses. Not thread safe; belongs to one loop.
class pipelining_connection final : public http_message_sink {
public:
    enum class state : std::uint8_t {
        connecting,
        open,
        ended,  ///< by the other side, or by an answer that closes it; also if it never was open
        garbled ///< the other side sent what is no answer
    };
    struct answer {
        http_head head;
        std::string body;
    };

    /// Begins to connect to "IP:port". `window`: receive buffer in bytes; 0: as the system has it.
    pipelining_connection(asio::io_context &io, const std::string &address, int window);

    state now() const { return m_state; }
    /// Queues bytes, which `pass` writes.
    void send(std::string_view bytes) { m_out += bytes; }
    /// Writes what the system takes and reads at most about `most` bytes. Yields whether any came.
    bool pass(std::size_t most);
    /// Answers that came whole since the last call. One that closes the connection is the last.
    std::vector<answer> take_answers() { return std::exchange(m_answers, {}); }

private:
    void on_head(http_head head) override { m_coming = {.head = std::move(head), .body = {}}; }
    void on_body(std::string_view piece) override { m_coming.body.append(piece); }
    void on_message_end() override { m_answers.push_back(std::move(m_coming)); }
    void take(std::string_view bytes);
    void end(state how);

    asio::ip::tcp::socket m_socket;
    state m_state = state::connecting;
    std::string m_out;
    http_reader m_reader{http_reader::kind::responses, {}};
    answer m_coming;
    std::vector<answer> m_answers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace peppertack::testing
