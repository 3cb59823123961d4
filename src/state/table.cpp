#include "peppertack/state/table.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <csv.h>
#include <limits>
#include <set>
#include <sstream>
#include <tuple>

namespace peppertack {

namespace {

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";
constexpr std::size_t max_table_bytes = 16U << 20U;
constexpr std::size_t max_name_length = 64;

struct csv_cell_row {
    std::size_t line = 0;
    std::vector<std::string> cells;
};

struct csv_reader {
    std::vector<csv_cell_row> rows;
    std::vector<std::string> current;
    std::size_t line = 1;
    std::size_t row_line = 1;
};

void on_cell(void *data, std::size_t size, void *context) {
    auto &reader = *static_cast<csv_reader *>(context);
    std::string cell(static_cast<const char *>(data), size);
    reader.current.push_back(std::move(cell));
}

void on_row(int, void *context) {
    auto &reader = *static_cast<csv_reader *>(context);
    reader.rows.push_back({reader.row_line, std::move(reader.current)});
    reader.current.clear();
}

bool is_blank(const csv_cell_row &row) {
    return std::all_of(row.cells.begin(), row.cells.end(),
                       [](const std::string &cell) { return cell.empty(); });
}

bool parse_number(const std::string &text, double &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() && std::isfinite(value);
}

bool parse_number(const std::string &text, std::uint32_t &value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size();
}

bool parse_name(const std::string &text, std::string &value) {
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.';
    };
    if (text.empty() || text.size() > max_name_length ||
        !std::all_of(text.begin(), text.end(), allowed)) {
        return false;
    }
    value = text;
    return true;
}

constexpr const char *name_allowed = "1 to 64 of letters, digits, '-', '_', '.'";

/// Parsing rule of one column.
struct column_rule {
    const char *name;
    const char *allowed;
    bool required;
    bool (*read)(const std::string &, table_row &);
};

template <auto Member, auto Low, auto High>
bool read_bounded(const std::string &text, table_row &row) {
    auto value = row.*Member;
    if (!parse_number(text, value) || value < Low || value > High) {
        return false;
    }
    row.*Member = value;
    return true;
}

template <auto Member> bool read_name(const std::string &text, table_row &row) {
    return parse_name(text, row.*Member);
}

constexpr int max_weight = 1'000'000;
constexpr std::uint32_t max_limit = 1'000'000;

constexpr std::array<column_rule, 8> column_rules{{
    {"service", name_allowed, true, read_name<&table_row::service>},
    {"failure_domain", name_allowed, true, read_name<&table_row::failure_domain>},
    {"weight", "a number from 0 to 1000000", true, read_bounded<&table_row::weight, 0, max_weight>},
    {"max_in_flight", "a whole number from 1 to 1000000", true,
     read_bounded<&table_row::max_in_flight, 1U, max_limit>},
    {"max_connections", "a whole number from 1 to 1000000", true,
     read_bounded<&table_row::max_connections, 1U, max_limit>},
    {"max_queue", "a whole number from 0 to 1000000", true,
     read_bounded<&table_row::max_queue, 0U, max_limit>},
    {"churn_price", "a number from 0 to 1000000", false,
     read_bounded<&table_row::churn_price, 0, max_weight>},
    {"unavailable_price", "a number from 0 to 1000000", false,
     read_bounded<&table_row::unavailable_price, 0, max_weight>},
}};

/// Splits the file into rows. libcsv does not report line numbers, so it is fed one physical line
/// at a time; a row is numbered by the line on which it begins.
bool split_rows(std::string_view text, csv_reader &reader, std::vector<table_problem> &problems) {
    csv_parser parser{};
    if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0) {
        problems.push_back({0, "", "", "memory for the CSV reader"});
        return false;
    }
    bool ok = true;
    bool in_row = false;
    while (!text.empty() && ok) {
        const std::size_t length = std::min(text.find('\n'), text.size() - 1) + 1;
        const bool blank = text.substr(0, length).find_first_not_of("\r\n") == text.npos;
        const std::size_t rows_before = reader.rows.size();
        if (!in_row) {
            reader.row_line = reader.line;
        }
        ok = csv_parse(&parser, text.data(), length, on_cell, on_row, &reader) == length;
        in_row = reader.rows.size() == rows_before && (in_row || !blank);
        text.remove_prefix(length);
        ++reader.line;
    }
    ok = ok && csv_fini(&parser, on_cell, on_row, &reader) == 0;
    if (!ok) {
        problems.push_back({reader.row_line, "", csv_strerror(csv_error(&parser)),
                            "well-formed CSV with balanced quotes"});
    }
    csv_free(&parser);
    return ok;
}

using column_order = std::vector<const column_rule *>;

column_order read_header(const csv_cell_row &header, std::vector<table_problem> &problems) {
    column_order order;
    std::set<std::string> seen;
    for (const std::string &cell : header.cells) {
        const auto *rule = std::find_if(column_rules.begin(), column_rules.end(),
                                        [&](const column_rule &r) { return cell == r.name; });
        if (rule == column_rules.end()) {
            problems.push_back({header.line, cell, cell, "a column named in docs/TABLE.md"});
            order.push_back(nullptr);
            continue;
        }
        if (!seen.insert(cell).second) {
            problems.push_back({header.line, cell, cell, "each column once"});
        }
        order.push_back(rule);
    }
    for (const column_rule &rule : column_rules) {
        if (rule.required && seen.count(rule.name) == 0) {
            problems.push_back({header.line, rule.name, "", "this column is required"});
        }
    }
    return order;
}

std::optional<table_row> read_row(const csv_cell_row &cells, const column_order &order,
                                  std::vector<table_problem> &problems) {
    if (cells.cells.size() != order.size()) {
        problems.push_back({cells.line, "", std::to_string(cells.cells.size()) + " cells",
                            std::to_string(order.size()) + " cells, as in the header"});
        return std::nullopt;
    }
    table_row row;
    bool ok = true;
    for (std::size_t i = 0; i < order.size(); ++i) {
        if (order[i] != nullptr && !order[i]->read(cells.cells[i], row)) {
            problems.push_back({cells.line, order[i]->name, cells.cells[i], order[i]->allowed});
            ok = false;
        }
    }
    return ok ? std::optional(row) : std::nullopt;
}

std::string number_text(double value) {
    std::array<char, 32> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), result.ptr};
}

bool row_before(const table_row &a, const table_row &b) {
    return std::tie(a.service, a.failure_domain) < std::tie(b.service, b.failure_domain);
}

} // namespace

const table_row *table::find(std::string_view service, std::string_view failure_domain) const {
    for (const table_row &row : m_rows) {
        if (row.service == service && row.failure_domain == failure_domain) {
            return &row;
        }
    }
    return nullptr;
}

bool table::has_service(std::string_view service) const {
    return std::any_of(m_rows.begin(), m_rows.end(),
                       [&](const table_row &row) { return row.service == service; });
}

std::vector<std::string> table::services() const {
    std::vector<std::string> names;
    for (const table_row &row : m_rows) {
        if (names.empty() || names.back() != row.service) {
            names.push_back(row.service);
        }
    }
    return names;
}

std::string table::to_csv() const {
    std::ostringstream out;
    for (const column_rule &rule : column_rules) {
        out << (&rule == column_rules.data() ? "" : ",") << rule.name;
    }
    out << '\n';
    for (const table_row &row : m_rows) {
        out << row.service << ',' << row.failure_domain << ',' << number_text(row.weight) << ','
            << row.max_in_flight << ',' << row.max_connections << ',' << row.max_queue << ','
            << number_text(row.churn_price) << ',' << number_text(row.unavailable_price) << '\n';
    }
    return out.str();
}

std::optional<table> make_table(std::string_view csv, std::vector<table_problem> &problems) {
    problems.clear();
    if (csv.size() > max_table_bytes) {
        problems.push_back({0, "", std::to_string(csv.size()) + " bytes", "at most 16 MiB"});
        return std::nullopt;
    }
    if (csv.substr(0, byte_order_mark.size()) == byte_order_mark) {
        csv.remove_prefix(byte_order_mark.size());
    }
    csv_reader reader;
    if (!split_rows(csv, reader, problems)) {
        return std::nullopt;
    }
    std::erase_if(reader.rows, is_blank);
    if (reader.rows.size() < 2) {
        problems.push_back({1, "", "", "a header line and at least one row"});
        return std::nullopt;
    }
    const column_order order = read_header(reader.rows.front(), problems);
    table result;
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t i = 1; i < reader.rows.size(); ++i) {
        const std::optional<table_row> row = read_row(reader.rows[i], order, problems);
        if (!row) {
            continue;
        }
        if (!places.emplace(row->service, row->failure_domain).second) {
            problems.push_back({reader.rows[i].line, "service", row->service,
                                "one row per service and failure domain"});
        }
        result.m_rows.push_back(*row);
    }
    if (!problems.empty()) {
        return std::nullopt;
    }
    std::sort(result.m_rows.begin(), result.m_rows.end(), row_before);
    return result;
}

std::string describe(const table_problem &problem) {
    std::string text = "line " + std::to_string(problem.line);
    if (!problem.column.empty()) {
        text += ", column " + problem.column;
    }
    return text + ": \"" + problem.value + "\" is not allowed; allowed: " + problem.allowed;
}

} // namespace peppertack
