#include "peppertack/state/table.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peppertack;

namespace {

constexpr const char *header =
    "service,failure_domain,weight,max_in_flight,max_connections,max_queue\n";

std::vector<table_problem> problems_of(const std::string &csv) {
    std::vector<table_problem> problems;
    CHECK_FALSE(make_table(csv, problems));
    return problems;
}

} // namespace

TEST_CASE("a table in spreadsheet CSV is parsed") {
    const std::string csv = "\xef\xbb\xbf\"weight\",service,max_queue,failure_domain,"
                            "max_connections,max_in_flight\r\n"
                            "\r\n"
                            "2.5,giri,200,zisa,120,14\r\n"
                            ",,,,,\r\n"
                            "\"1\",\"giri\",200,mondello,120,14";
    std::vector<table_problem> problems;
    const std::optional<table> read = make_table(csv, problems);
    REQUIRE(read);
    REQUIRE(read->rows().size() == 2);
    CHECK(read->find("giri", "zisa")->weight == 2.5);
    CHECK(read->find("giri", "mondello")->max_queue == 200);
    CHECK(read->find("giri", "brancaccio") == nullptr);
    CHECK(make_table(read->to_csv(), problems) == read);
}

TEST_CASE("every error is reported with line, column, value and allowed range") {
    const std::vector<table_problem> problems =
        problems_of(std::string(header) + "giri,zisa,-1,14,120,200\ngi ri,zisa,1,0,x,200\n");
    REQUIRE(problems.size() == 4);
    CHECK(problems[0] == table_problem{2, "weight", "-1", "a number from 0 to 1000000"});
    CHECK(problems[1].column == "service");
    CHECK(problems[2].line == 3);
    CHECK(problems[2].column == "max_in_flight");
    CHECK(problems[3].value == "x");
    CHECK(describe(problems[0]) ==
          "line 2, column weight: \"-1\" is not allowed; allowed: a number from 0 to 1000000");
}

TEST_CASE("invalid tables are rejected") {
    CHECK(problems_of("").size() == 1);
    CHECK(problems_of("service,failure_domain\na,b\n").size() == 4);
    CHECK(problems_of(std::string(header) + "a,b,1,1,1,1\na,b,2,1,1,1\n")[0].allowed ==
          "one row per service and failure domain");
    CHECK(problems_of(std::string(header) + "a,b,1,1,1\n")[0].value == "5 cells");
    CHECK(problems_of(std::string(header) + "a,b,nan,1,1,1\n")[0].column == "weight");
    CHECK(problems_of("service,colour\na,b\n")[0].column == "colour");
    CHECK(problems_of(std::string(header) + "\"a,b,1,1,1,1\n")[0].line == 2);
}

TEST_CASE("line numbers count line breaks within quotes") {
    const std::vector<table_problem> problems =
        problems_of(std::string(header) + "\"a\nb\",c,1,1,1,1\na,c,x,1,1,1\n");
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].line == 2);
    CHECK(problems[1].line == 4);
}

TEST_CASE("arbitrary input does not crash the parser") {
    CHECK(rc::check("arbitrary bytes", [](const std::string &bytes) {
        std::vector<table_problem> problems;
        const bool read = make_table(bytes, problems).has_value();
        RC_ASSERT(read == problems.empty());
    }));
    CHECK(rc::check("a valid table with bytes changed", [] {
        std::string csv = std::string(header) + "giri,zisa,1,14,120,200\ngiri,mondello,1,1,1,1\n";
        const int changes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < changes; ++i) {
            csv[*rc::gen::inRange<std::size_t>(0, csv.size())] = *rc::gen::arbitrary<char>();
        }
        std::vector<table_problem> problems;
        const bool read = make_table(csv, problems).has_value();
        RC_ASSERT(read == problems.empty());
    }));
}
