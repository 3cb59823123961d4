#include "net.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int backlog = 256;
constexpr std::string_view head_end = "\r\n\r\n";

sockaddr_in address_of(const endpoint &at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

http_message parse_head(const std::string &head) {
    http_message message;
    std::istringstream lines(head);
    std::getline(lines, message.start_line);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        message.headers[lower(line.substr(0, colon))] =
            begin == std::string::npos ? std::string() : line.substr(begin);
    }
    if (!message.start_line.empty() && message.start_line.back() == '\r') {
        message.start_line.pop_back();
    }
    return message;
}

int remaining_ms(instant limit) {
    const auto left = std::chrono::duration_cast<milliseconds>(limit - clock_type::now()).count();
    return static_cast<int>(std::max<std::int64_t>(left, 0));
}

} // namespace

const std::string *http_message::find(const std::string &name) const {
    const auto found = headers.find(lower(name));
    return found == headers.end() ? nullptr : &found->second;
}

std::string http_message::word(std::size_t index) const {
    std::istringstream words(start_line);
    std::string result;
    for (std::size_t i = 0; i <= index; ++i) {
        result.clear();
        words >> result;
    }
    return result;
}

int http_message::status() const {
    const std::string text = word(1);
    return text.empty() ? 0 : std::stoi(text);
}

tcp_stream::tcp_stream(tcp_stream &&other) noexcept
    : m_handle(std::exchange(other.m_handle, -1)), m_input(std::move(other.m_input)) {}

tcp_stream &tcp_stream::operator=(tcp_stream &&other) noexcept {
    if (this != &other) {
        close();
        m_handle = std::exchange(other.m_handle, -1);
        m_input = std::move(other.m_input);
    }
    return *this;
}

tcp_stream::~tcp_stream() {
    close();
}

void tcp_stream::close() {
    if (m_handle >= 0) {
        ::close(std::exchange(m_handle, -1));
    }
}

void tcp_stream::shut() const {
    if (m_handle >= 0) {
        ::shutdown(m_handle, SHUT_RDWR);
    }
}

tcp_stream tcp_stream::connect(const endpoint &to, milliseconds patience, int receive_buffer) {
    tcp_stream stream(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0) {
        ::setsockopt(stream.m_handle, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                     sizeof receive_buffer);
    }
    const int flags = ::fcntl(stream.m_handle, F_GETFL);
    ::fcntl(stream.m_handle, F_SETFL, flags | O_NONBLOCK);
    const sockaddr_in address = address_of(to);
    const int begun =
        ::connect(stream.m_handle, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    pollfd wait{.fd = stream.m_handle, .events = POLLOUT, .revents = 0};
    int error = begun == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        socklen_t size = sizeof error;
        const bool ready = ::poll(&wait, 1, static_cast<int>(patience.count())) > 0;
        if (!ready || ::getsockopt(stream.m_handle, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
            error = ETIMEDOUT;
        }
    }
    if (error != 0) {
        return {};
    }
    ::fcntl(stream.m_handle, F_SETFL, flags);
    const int on = 1;
    ::setsockopt(stream.m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return stream;
}

bool tcp_stream::write(const std::string &bytes) const {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t sent =
            ::send(m_handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

bool tcp_stream::fill(instant limit) {
    pollfd wait{.fd = m_handle, .events = POLLIN, .revents = 0};
    if (m_handle < 0 || ::poll(&wait, 1, remaining_ms(limit)) <= 0) {
        return false;
    }
    std::array<char, 16384> block{};
    const ssize_t got = ::recv(m_handle, block.data(), block.size(), 0);
    if (got <= 0) {
        return false;
    }
    m_input.append(block.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<http_message> tcp_stream::read(milliseconds patience) {
    const instant limit = clock_type::now() + patience;
    while (m_input.find(head_end) == std::string::npos) {
        if (!fill(limit)) {
            return std::nullopt;
        }
    }
    const std::size_t head_size = m_input.find(head_end) + head_end.size();
    http_message message = parse_head(m_input.substr(0, head_size));
    const std::string *encoding = message.find("transfer-encoding");
    if (encoding == nullptr) {
        const std::string *length = message.find("content-length");
        const std::size_t size = length == nullptr ? 0 : std::stoul(*length);
        while (m_input.size() < head_size + size) {
            if (!fill(limit)) {
                return std::nullopt;
            }
        }
        message.body = m_input.substr(head_size, size);
        m_input.erase(0, head_size + size);
        return message;
    }
    std::size_t at = head_size;
    while (true) {
        const std::size_t line = m_input.find("\r\n", at);
        const std::size_t size =
            line == std::string::npos ? 0 : std::stoul(m_input.substr(at, line - at), nullptr, 16);
        const bool whole = line != std::string::npos && m_input.size() >= line + 2 + size + 2;
        if (!whole) {
            if (!fill(limit)) {
                return std::nullopt;
            }
            continue;
        }
        message.body.append(m_input, line + 2, size);
        at = line + 2 + size + 2;
        if (size == 0) {
            m_input.erase(0, at);
            return message;
        }
    }
}

int listen_on(const endpoint &at) {
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(at);
    if (::bind(handle, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 ||
        ::listen(handle, backlog) != 0) {
        ::close(handle);
        return -1;
    }
    return handle;
}

std::string http_bytes(const std::string &start_line,
                       const std::map<std::string, std::string> &headers, const std::string &body) {
    std::string bytes = start_line + "\r\n";
    for (const auto &[name, value] : headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    return bytes.append(body);
}

std::optional<http_message> call(const endpoint &to, const std::string &start_line,
                                 const std::map<std::string, std::string> &headers,
                                 const std::string &body, milliseconds patience) {
    tcp_stream stream = tcp_stream::connect(to, patience);
    if (!stream.open() || !stream.write(http_bytes(start_line, headers, body))) {
        return std::nullopt;
    }
    return stream.read(patience);
}

} // namespace review
