#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peppertack {

/// One row of the operators' table: one service in one failure domain. docs/TABLE.md describes
/// columns, units and ranges.
struct table_row {
    std::string service;
    std::string failure_domain;
    double weight = 1.0;
    std::uint32_t max_in_flight = 0;
    std::uint32_t max_connections = 0;
    std::uint32_t max_queue = 0;
    double churn_price = 1.0;
    double unavailable_price = 1.0;

    friend bool operator==(const table_row &, const table_row &) = default;
};

/// Validation error in a table file, with its location.
struct table_problem {
    std::size_t line = 0; ///< 1-based line in the file
    std::string column;
    std::string value;
    std::string allowed;

    friend bool operator==(const table_problem &, const table_problem &) = default;
};

/// The operators' table. Immutable once constructed; rows are sorted by service and failure domain.
class table {
public:
    table() = default;

    const std::vector<table_row> &rows() const { return m_rows; }
    /// Row for a service in a failure domain, or null if the table has none.
    const table_row *find(std::string_view service, std::string_view failure_domain) const;
    bool has_service(std::string_view service) const;
    std::vector<std::string> services() const;
    /// CSV with all columns in documented order; `make_table` parses it to an equal table.
    std::string to_csv() const;

    friend bool operator==(const table &, const table &) = default;
    friend std::optional<table> make_table(std::string_view, std::vector<table_problem> &);

private:
    std::vector<table_row> m_rows;
};

/// Parses a table from CSV (quoted cells, CRLF, byte order mark, blank lines, columns in any
/// order). Returns nullopt on any error; `problems` then lists all of them. Thread safe.
std::optional<table> make_table(std::string_view csv, std::vector<table_problem> &problems);

/// Human-readable line: `line 3, column weight: "x" is not allowed; allowed: ...`.
std::string describe(const table_problem &problem);

} // namespace peppertack
