// Tells the clusters of a test program whether their case has failed.

#include "failure_report.hpp"

#include <doctest/doctest.h>

namespace {

class failure_listener final : public doctest::IReporter {
public:
    explicit failure_listener(const doctest::ContextOptions &) {}

    void report_query(const doctest::QueryData &) override {}
    void test_run_start() override {}
    void test_run_end(const doctest::TestRunStats &) override {}
    void test_case_start(const doctest::TestCaseData &) override {
        peppertack::testing::set_case_failed(false);
    }
    void test_case_reenter(const doctest::TestCaseData &) override {
        peppertack::testing::set_case_failed(false);
    }
    void test_case_end(const doctest::CurrentTestCaseStats &) override {}
    void test_case_exception(const doctest::TestCaseException &) override {}
    void subcase_start(const doctest::SubcaseSignature &) override {}
    void subcase_end() override {}
    void log_assert(const doctest::AssertData &data) override {
        if (data.m_failed) {
            peppertack::testing::set_case_failed(true);
        }
    }
    void log_message(const doctest::MessageData &data) override {
        if ((data.m_severity & doctest::assertType::is_warn) == 0) {
            peppertack::testing::set_case_failed(true);
        }
    }
    void test_case_skipped(const doctest::TestCaseData &) override {}
};

} // namespace

REGISTER_LISTENER("failures", 1, failure_listener);
