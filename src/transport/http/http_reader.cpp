#include "peppertack/transport/http/http_reader.hpp"

#include "peppertack/protocol/http_syntax.hpp"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace peppertack {

namespace {

namespace beast = boost::beast;
using beast::http::verb;

constexpr std::string_view blank_line = "\r\n\r\n";
/// Room for usual heads, kept between messages.
constexpr std::size_t kept_capacity = 4U << 10U;
constexpr int bad_request = 400;
constexpr int header_too_large = 431;
constexpr int body_too_large = 413;

} // namespace

/// The library's parser with its findings turned into a head and calls of the sink.
template <bool IsRequest>
class http_reader::parser final : public beast::http::basic_parser<IsRequest> {
public:
    using base = beast::http::basic_parser<IsRequest>;
    using text = beast::string_view;
    using code = boost::system::error_code;

    explicit parser(const limits &bounds) {
        this->eager(false); // returns after the head, where reading may pause
        this->header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
        this->body_limit(bounds.body_bytes);
        m_trailer_limit = bounds.header_bytes;
    }
    void set_sink(http_message_sink *sink) { m_sink = sink; }

private:
    void on_request_impl(verb, text method, text target, int version, code &) override {
        m_head.method.assign(method.data(), method.size());
        m_head.target.assign(target.data(), target.size());
        m_version = version;
    }
    void on_response_impl(int status, text, int version, code &error) override {
        if (!is_response_status(status)) {
            error = beast::http::error::bad_status;
            return;
        }
        m_head.status = status;
        m_version = version;
    }
    void on_field_impl(beast::http::field, text name, text value, code &error) override {
        if (!this->is_header_done()) {
            m_head.headers.push_back({std::string(name), std::string(value)});
            return;
        }
        // Fields behind a body, which nobody passes on.
        m_trailer_bytes += name.size() + value.size();
        if (m_trailer_bytes > m_trailer_limit) {
            error = beast::http::error::header_limit;
        }
    }
    void on_header_impl(code &error) override {
        const std::string *encoding = m_head.find("Transfer-Encoding");
        const bool plain = encoding == nullptr || same_header_name(*encoding, "chunked");
        if (!plain || (encoding != nullptr && m_version < 11)) {
            // Another coding, or one that an old peer would not know: the end of the body could be
            // taken to be elsewhere.
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        if (!plain_length()) {
            error = beast::http::error::bad_content_length;
            return;
        }
        m_head.keep_alive = this->keep_alive();
        if (this->chunked()) {
            m_head.framing = body_framing::chunked;
        } else if (const auto length = this->content_length()) {
            m_head.framing = body_framing::length;
            m_head.content_length = *length;
        } else if (this->need_eof()) {
            m_head.framing = body_framing::until_close;
        }
        m_sink->on_head(std::move(m_head));
    }
    /// The library takes a list of equal lengths; others read only its first or last item.
    bool plain_length() const {
        std::size_t lengths = 0;
        for (const header_field &field : m_head.headers) {
            if (!same_header_name(field.name, "Content-Length")) {
                continue;
            }
            ++lengths;
            if (lengths > 1 || !parse_decimal(field.value)) {
                return false;
            }
        }
        return true;
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> &, code &) override {}
    std::size_t on_body_impl(text piece, code &) override {
        m_sink->on_body({piece.data(), piece.size()});
        return piece.size();
    }
    void on_chunk_header_impl(std::uint64_t, text, code &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, text piece, code &) override {
        m_sink->on_body({piece.data(), piece.size()});
        return piece.size();
    }
    void on_finish_impl(code &) override {}

    http_head m_head;
    int m_version = 11;
    std::size_t m_trailer_bytes = 0;
    std::size_t m_trailer_limit = 0;
    http_message_sink *m_sink = nullptr;
};

http_reader::http_reader(kind what, limits bounds) : m_kind(what), m_limits(bounds) {
    next();
}

http_reader::~http_reader() = default;

void http_reader::next() {
    if (m_kind == kind::requests) {
        m_request = std::make_unique<parser<true>>(m_limits);
    } else {
        m_response = std::make_unique<parser<false>>(m_limits);
    }
    m_head_whole = false;
    m_no_body = false;
}

void http_reader::expect_no_body() {
    m_no_body = true;
    m_response->skip(true);
}

bool http_reader::in_message() const {
    return m_head_whole || !m_kept.empty();
}

bool http_reader::head_done() const {
    return m_kind == kind::requests ? m_request->is_header_done() : m_response->is_header_done();
}

http_reader::state http_reader::refuse(int status, std::string why) {
    m_refusal_status = status;
    m_reason = std::move(why);
    return state::refused;
}

/// The library joins folded lines and skips some odd line ends; other parties split there.
bool http_reader::head_is_plain(std::string_view head) {
    for (std::size_t at = 0; at < head.size(); ++at) {
        const bool line_feed = head[at] == '\n';
        const bool bare = line_feed && (at == 0 || head[at - 1] != '\r');
        const bool folded =
            line_feed && at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t');
        const bool lone_return = head[at] == '\r' && at + 1 < head.size() && head[at + 1] != '\n';
        if (bare || folded || lone_return || head[at] == '\0') {
            return false;
        }
    }
    return true;
}

http_reader::state http_reader::take(std::string_view bytes, http_message_sink &sink) {
    m_kept.append(bytes);
    return read(sink);
}

http_reader::state http_reader::read(http_message_sink &sink) {
    if (!m_head_whole) {
        // Blank lines before a message are allowed and mean nothing.
        const std::size_t start = m_kept.find_first_not_of("\r\n");
        m_kept.erase(0, start == std::string::npos ? m_kept.size() : start);
        const std::size_t end = m_kept.find(blank_line);
        const std::size_t size = end == std::string::npos ? m_kept.size() : end;
        if (size > m_limits.header_bytes) {
            return refuse(header_too_large, "the head is longer than " +
                                                std::to_string(m_limits.header_bytes) + " bytes");
        }
        if (!head_is_plain(std::string_view(m_kept).substr(0, size))) {
            return refuse(bad_request, "a line of the head does not end as it must");
        }
        if (end == std::string::npos) {
            return state::more;
        }
        m_head_whole = true;
    }
    return m_kind == kind::requests ? run(*m_request, sink) : run(*m_response, sink);
}

template <class Parser>
http_reader::state http_reader::run(Parser &parser, http_message_sink &sink) {
    parser.set_sink(&sink);
    while (!m_kept.empty() && !parser.is_done()) {
        boost::system::error_code error;
        const std::size_t used = parser.put(boost::asio::buffer(m_kept), error);
        m_kept.erase(0, used);
        if (m_kept.empty() && m_kept.capacity() > kept_capacity) {
            std::string().swap(m_kept); // a large body has passed through
        }
        if (error == beast::http::error::need_more) {
            // Within a body the parser leaves only a line, or a block of lines, that has no end
            // yet.
            return m_kept.size() > m_limits.header_bytes
                       ? refuse(header_too_large, "a chunk's line or a trailer is longer than " +
                                                      std::to_string(m_limits.header_bytes) +
                                                      " bytes")
                       : state::more;
        }
        if (error == beast::http::error::body_limit) {
            return refuse(body_too_large, "the body is longer than " +
                                              std::to_string(m_limits.body_bytes) + " bytes");
        }
        if (error == beast::http::error::header_limit) {
            return refuse(header_too_large, error.message());
        }
        if (error) {
            return refuse(bad_request, error.message());
        }
        // Once the head is read, all that has come is parsed at once: a body in small chunks would
        // else be moved to the front of the buffer with each chunk.
        parser.eager(true);
        if (std::exchange(m_paused, false)) {
            return state::paused;
        }
        if (used == 0) {
            break;
        }
    }
    if (!parser.is_done()) {
        return state::more;
    }
    sink.on_message_end();
    return state::ended;
}

http_reader::state http_reader::take_end(http_message_sink &sink) {
    const bool until_close = m_kind == kind::responses && m_response->is_header_done() &&
                             m_response->need_eof() && !m_response->is_done();
    if (!until_close) {
        return refuse(bad_request, "the connection ended inside a message");
    }
    sink.on_message_end();
    return state::ended;
}

} // namespace peppertack
