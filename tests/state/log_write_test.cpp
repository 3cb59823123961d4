#include "../coordination/fake_storage.hpp"
#include "peppertack/state/durable_log.hpp"

#include <doctest/doctest.h>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

log_entry entry(std::uint64_t index, std::uint64_t term) {
    return {index, term, entry_kind::command, "entry " + std::to_string(index)};
}

durable_log opened(fake_storage &files) {
    std::string reason;
    std::optional<durable_log> log = durable_log::open(files, {.write_behind = true}, reason);
    REQUIRE_MESSAGE(log, reason);
    return std::move(*log);
}

/// Executes the next write. Returns false if there is none.
bool write_next(durable_log &log, fake_storage &files) {
    const std::optional<log_write> write = log.begin_write();
    if (write) {
        log.end_write(perform(*write, files, true));
    }
    return write.has_value();
}

} // namespace

TEST_CASE("a change is visible immediately and durable once its write has completed") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.append({entry(1, 1), entry(2, 1)}));
    REQUIRE(log.save_vote({1, "a"}));
    CHECK(log.last_index() == 2);
    CHECK(log.durable_index() == 0);
    CHECK_FALSE(log.vote_durable());
    CHECK(opened(files).last_index() == 0);
    REQUIRE(write_next(log, files));
    CHECK(log.durable_index() == 2);
    CHECK(log.vote_durable());
    CHECK(log.written() == log.staged());
    CHECK(opened(files).last_index() == 2);
    CHECK(opened(files).vote() == vote_record{1, "a"});
}

TEST_CASE("changes staged during a write share the next write") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.append({entry(1, 1)}));
    const std::optional<log_write> first = log.begin_write();
    REQUIRE(first);
    for (std::uint64_t index = 2; index <= 9; ++index) {
        REQUIRE(log.append({entry(index, 1)}));
    }
    CHECK_FALSE(log.begin_write()); // one write at a time
    log.end_write(perform(*first, files, true));
    CHECK(log.durable_index() == 1);
    REQUIRE(write_next(log, files));
    CHECK(log.durable_index() == 9);
    CHECK_FALSE(log.begin_write());
    CHECK(opened(files).last_index() == 9);
}

// Guards against acknowledging an entry because of the write of the entry that it replaced.
TEST_CASE("the write of a replaced entry does not make its replacement durable") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.append({entry(1, 1), entry(2, 1), entry(3, 1)}));
    const std::optional<log_write> first = log.begin_write();
    REQUIRE(first);
    REQUIRE(log.append({entry(2, 2), entry(3, 2)}));
    log.end_write(perform(*first, files, true));
    CHECK(log.durable_index() == 1);
    REQUIRE(write_next(log, files));
    CHECK(log.durable_index() == 3);
    CHECK(opened(files).term_at(3) == 2);
}

TEST_CASE("a snapshot is written after the entries staged before it") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.append({entry(1, 1), entry(2, 1), entry(3, 1)}));
    REQUIRE(log.save_snapshot({.index = 2, .term = 1, .state = "state"}));
    REQUIRE(log.append({entry(4, 1)}));
    CHECK(log.first_index() == 3);
    CHECK(log.durable_index() == 0);
    while (write_next(log, files)) {
    }
    CHECK(log.durable_index() == 4);
    const durable_log again = opened(files);
    CHECK(again.snapshot() == log.snapshot());
    CHECK(again.first_index() == 3);
    CHECK(again.last_index() == 4);
}

// Guards against a voter that rejects an intact disk because it lacks data that was never
// acknowledged.
TEST_CASE("reopening tolerates the loss of staged changes that were not written") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.append({entry(1, 1)}));
    REQUIRE(write_next(log, files));
    REQUIRE(log.append({entry(2, 1)}));
    files.set_fault(fake_storage::fault::full);
    REQUIRE(write_next(log, files));
    CHECK(log.failed());
    CHECK_FALSE(log.append({entry(3, 1)}));
    CHECK_FALSE(log.begin_write());
    files.set_fault(fake_storage::fault::none);
    open_failure failure;
    const std::optional<durable_log> again = durable_log::reopen(log, failure);
    REQUIRE_MESSAGE(again, failure.reason);
    CHECK(again->last_index() >= 1);
    CHECK(again->durable_index() == again->last_index());
}

TEST_CASE("reopening fails if a durable entry is missing") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.append({entry(1, 1)}));
    REQUIRE(write_next(log, files));
    REQUIRE(log.append({entry(2, 1)}));
    files.set_fault(fake_storage::fault::sync_fails);
    REQUIRE(write_next(log, files));
    files = fake_storage();
    open_failure failure;
    CHECK_FALSE(durable_log::reopen(log, failure));
    CHECK_FALSE(failure.retryable);
}
