#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

/// Blocking sockets and a small HTTP/1.1 reader and writer for the stand-ins of the review.
namespace review {

using clock_type = std::chrono::steady_clock;
using instant = clock_type::time_point;
using std::chrono::milliseconds;

/// IPv4 address and port.
struct endpoint {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A request or an answer with its whole body. Names of headers are in lower case.
struct http_message {
    std::string start_line;
    std::map<std::string, std::string> headers;
    std::string body;

    const std::string *find(const std::string &name) const;
    /// Word `index` of the start line, such as the method or the status.
    std::string word(std::size_t index) const;
    int status() const;
};

/// A socket that is closed with its owner.
class tcp_stream {
public:
    tcp_stream() = default;
    explicit tcp_stream(int handle) : m_handle(handle) {}
    tcp_stream(tcp_stream &&other) noexcept;
    tcp_stream &operator=(tcp_stream &&other) noexcept;
    tcp_stream(const tcp_stream &) = delete;
    tcp_stream &operator=(const tcp_stream &) = delete;
    ~tcp_stream();

    /// `receive_buffer`: bytes, 0 for the system's default.
    static tcp_stream connect(const endpoint &to, milliseconds patience, int receive_buffer = 0);

    bool open() const { return m_handle >= 0; }
    int handle() const { return m_handle; }
    bool write(const std::string &bytes) const;
    /// Reads the next message. Nothing if the connection ends or `patience` passes before it is
    /// whole.
    std::optional<http_message> read(milliseconds patience);
    /// Whether bytes of a message came without making it whole.
    bool partly_read() const { return !m_input.empty(); }
    /// Wakes a thread that reads.
    void shut() const;
    void close();

private:
    bool fill(instant limit);

    int m_handle = -1;
    std::string m_input;
};

/// Listens on an address; -1 if it can't be had.
int listen_on(const endpoint &at);

std::string http_bytes(const std::string &start_line,
                       const std::map<std::string, std::string> &headers, const std::string &body);

/// One call over a connection of its own.
std::optional<http_message> call(const endpoint &to, const std::string &start_line,
                                 const std::map<std::string, std::string> &headers,
                                 const std::string &body, milliseconds patience);

} // namespace review
