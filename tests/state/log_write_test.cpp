#include "../coordination/fake_storage.hpp"
#include "peppertack/state/durable_log.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <string>
#include <vector>

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

TEST_CASE("what a killed process wrote is durable once it was synced, not once it is read back") {
    // Guards against entries and votes that are acknowledged out of the page cache: the process was
    // killed between its write and its sync, was started again, and then the power failed.
    for (unsigned int seed = 1; seed <= 50; ++seed) {
        fake_storage files;
        {
            durable_log log = opened(files);
            REQUIRE(log.append({entry(1, 1)}));
            REQUIRE(write_next(log, files));
            REQUIRE(log.append({entry(2, 1)}));
            REQUIRE(log.save_vote({2, "b"}));
            REQUIRE(perform(*log.begin_write(), files, false).written);
        }
        durable_log log = opened(files);
        REQUIRE(log.last_index() == 2);
        CHECK(log.durable_index() == 0);
        CHECK_FALSE(log.vote_durable());
        if (seed % 2 == 0) {
            REQUIRE(write_next(log, files));
            CHECK(log.durable_index() == 2);
            CHECK(log.vote_durable());
        } else {
            // Behind a write that is missing, a second one would make the log look damaged.
            REQUIRE(log.append({entry(3, 2)}));
            CHECK(log.begin_write()->syncs_first);
        }
        const std::uint64_t acknowledged = log.durable_index();
        std::mt19937_64 random(seed);
        files.crash(random);
        CHECK(opened(files).last_index() >= acknowledged);
    }
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

// Guards against syncs one after the other before a voter can answer, and against a voter that goes
// by a name which it no longer knows after a power loss.
TEST_CASE("a new log has no file until its first change, which also stores its companion") {
    const stored_file identity{.name = "identity", .bytes = "name"};
    const durable_log::options settings{.write_behind = true, .companion = identity};
    fake_storage files;
    std::string reason;
    std::optional<durable_log> log = durable_log::open(files, settings, reason);
    REQUIRE_MESSAGE(log, reason);
    CHECK(files.list()->empty());
    REQUIRE(log->save_vote({1, "a"}));
    REQUIRE(log->append({entry(1, 1)}));
    CHECK_FALSE(log->vote_durable());
    REQUIRE(write_next(*log, files));
    CHECK(log->vote_durable());
    CHECK(files.read(identity.name) == identity.bytes);
    while (write_next(*log, files)) {
    }
    CHECK(opened(files).vote() == vote_record{1, "a"});
    CHECK(opened(files).last_index() == 1);
}

TEST_CASE("a crash during the first write of a log keeps any of its files") {
    const stored_file identity{.name = "identity", .bytes = "name"};
    const durable_log::options settings{.write_behind = true, .companion = identity};
    fake_storage complete;
    std::string reason;
    {
        std::optional<durable_log> log = durable_log::open(complete, settings, reason);
        REQUIRE_MESSAGE(log, reason);
        REQUIRE(log->save_vote({1, "a"}));
        REQUIRE(write_next(*log, complete));
    }
    const std::vector<std::string> names = *complete.list();
    REQUIRE(names.size() == 2);
    for (unsigned int kept = 0; kept < 4; ++kept) {
        CAPTURE(kept);
        fake_storage files = complete;
        for (std::size_t i = 0; i < names.size(); ++i) {
            if ((kept & (1U << i)) == 0) {
                files.remove(names[i]);
            }
        }
        const bool log_kept = files.list()->size() > files.read(identity.name).has_value();
        std::optional<durable_log> log = durable_log::open(files, settings, reason);
        REQUIRE_MESSAGE(log, reason);
        CHECK(log->vote() == (log_kept ? vote_record{1, "a"} : vote_record{}));
        // Nothing is promised before both files are there.
        CHECK((!log_kept || files.read(identity.name) == identity.bytes));
        REQUIRE(log->save_vote({2, "b"}));
        REQUIRE(write_next(*log, files));
        CHECK(log->vote_durable());
        CHECK(files.read(identity.name) == identity.bytes);
        CHECK(opened(files).vote() == vote_record{2, "b"});
    }
}

TEST_CASE("the companion of a log whose first write failed is stored when it is reopened") {
    const stored_file identity{.name = "identity", .bytes = "name"};
    fake_storage files;
    std::string reason;
    std::optional<durable_log> log =
        durable_log::open(files, {.write_behind = true, .companion = identity}, reason);
    REQUIRE_MESSAGE(log, reason);
    REQUIRE(log->save_vote({1, "a"}));
    files.set_fault(fake_storage::fault::full);
    REQUIRE(write_next(*log, files));
    CHECK(log->failed());
    files.set_fault(fake_storage::fault::none);
    open_failure failure;
    const std::optional<durable_log> again = durable_log::reopen(*log, failure);
    REQUIRE_MESSAGE(again, failure.reason);
    CHECK(files.read(identity.name) == identity.bytes);
}
