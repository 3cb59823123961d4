#include "../coordination/fake_storage.hpp"
#include "peppertack/state/durable_log.hpp"
#include "peppertack/state/posix_storage.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <rapidcheck.h>
#include <unistd.h>

using namespace peppertack;
using namespace peppertack::testing;

namespace {

log_entry entry(std::uint64_t index, std::uint64_t term) {
    return {index, term, entry_kind::command, "payload " + std::to_string(index)};
}

durable_log opened(storage &files) {
    std::string reason;
    std::optional<durable_log> log = durable_log::open(files, reason);
    REQUIRE_MESSAGE(log, reason);
    return std::move(*log);
}

} // namespace

TEST_CASE("what was appended is there after opening again") {
    fake_storage files;
    {
        durable_log log = opened(files);
        CHECK(log.save_vote({3, "a"}));
        CHECK(log.append({entry(1, 1), entry(2, 1), entry(3, 2)}));
        CHECK(log.append({entry(2, 3)})); // a new leader replaces the end
    }
    const durable_log log = opened(files);
    CHECK(log.vote() == vote_record{3, "a"});
    CHECK(log.last_index() == 2);
    CHECK(log.term_at(2) == 3);
    CHECK(*log.entry_at(1) == entry(1, 1));
    CHECK(log.entry_at(3) == nullptr);
}

TEST_CASE("a torn tail is cut, and what was synced before it stays") {
    // Symptom: a voter that lost power refuses to start. Sequence: append and sync; append again
    // and crash before the sync, which leaves a part of the last frame. Cause it guards against:
    // taking a half-written frame for damage.
    std::mt19937_64 random(7);
    for (int round = 0; round < 200; ++round) {
        fake_storage files;
        durable_log log = opened(files);
        CHECK(log.append({entry(1, 1)}));
        files.set_fault(fake_storage::fault::sync_fails);
        CHECK_FALSE(log.append({entry(2, 1), entry(3, 1)}));
        CHECK(log.failed());
        files.crash(random);
        const durable_log again = opened(files);
        CHECK((again.last_index() == 1 || again.last_index() == 3));
        CHECK(*again.entry_at(1) == entry(1, 1));
    }
}

TEST_CASE("a damaged middle is refused") {
    // Symptom: an acknowledged decision is missing after a restart and nobody was told. Sequence:
    // two synced frames; a bit of the first one rots; restart. Cause it guards against: cutting at
    // the first bad checksum although synced frames follow.
    fake_storage files;
    {
        durable_log log = opened(files);
        CHECK(log.append({entry(1, 1)}));
        CHECK(log.append({entry(2, 1)}));
    }
    const std::string name = files.list()->back();
    files.bytes_of(name)[60] ^= 1;
    std::string reason;
    CHECK_FALSE(durable_log::open(files, reason));
    CHECK(reason.find("damaged") != std::string::npos);
}

TEST_CASE("after one failed write nothing more is promised") {
    fake_storage files;
    durable_log log = opened(files);
    files.set_fault(fake_storage::fault::full);
    CHECK_FALSE(log.append({entry(1, 1)}));
    files.set_fault(fake_storage::fault::none);
    CHECK_FALSE(log.append({entry(1, 1)}));
    CHECK_FALSE(log.save_vote({1, "a"}));
    CHECK(log.last_reason().find("disk full") != std::string::npos);
}

TEST_CASE("a snapshot drops what it covers and keeps the rest and the vote") {
    fake_storage files;
    {
        durable_log log = opened(files);
        CHECK(log.save_vote({2, "b"}));
        CHECK(log.append({entry(1, 1), entry(2, 1), entry(3, 2)}));
        CHECK(log.save_snapshot({2, 1, "members", "state"}));
        CHECK(log.append({entry(4, 2)}));
    }
    const durable_log log = opened(files);
    CHECK(log.first_index() == 3);
    CHECK(log.last_index() == 4);
    CHECK(log.term_at(2) == 1);
    CHECK(log.snapshot()->state == "state");
    CHECK(log.vote() == vote_record{2, "b"});
    CHECK(files.list()->size() == 2);
}

TEST_CASE("no bytes in the log file crash the voter") {
    CHECK(rc::check("changed bytes", [] {
        fake_storage files;
        {
            std::string reason;
            std::optional<durable_log> log = durable_log::open(files, reason);
            log->append({entry(1, 1), entry(2, 1)});
            log->append({entry(3, 1)});
        }
        std::string &bytes = files.bytes_of(files.list()->back());
        const int changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        }
        std::string reason;
        const std::optional<durable_log> log = durable_log::open(files, reason);
        RC_ASSERT(log.has_value() || !reason.empty());
    }));
}

TEST_CASE("a file that was not finished is not taken for the log") {
    // A voter that was killed while it began a new file for its log came up with an empty log and
    // without its vote: it read the file under its temporary name, which sorts behind the whole
    // one, and removed the whole one. It could have voted twice in one term, and entries that it
    // had acknowledged were gone. On a disk whose syncs take seconds the kill has as long to come.
    const std::string folder = std::filesystem::temp_directory_path() /
                               ("peppertack-unfinished-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    std::string reason;
    {
        const auto files = posix_storage::make(folder, reason);
        REQUIRE_MESSAGE(files, reason);
        durable_log log = opened(*files);
        CHECK(log.save_vote({3, "a"}));
        CHECK(log.append({entry(1, 3)}));
    }
    std::ofstream(folder + "/log-00000000000000000009.new") << "PTL";
    {
        const auto files = posix_storage::make(folder, reason);
        REQUIRE_MESSAGE(files, reason);
        const durable_log log = opened(*files);
        CHECK(log.vote() == vote_record{3, "a"});
        CHECK(log.last_index() == 1);
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE("files on a real disk") {
    const std::string folder =
        std::filesystem::temp_directory_path() / ("peppertack-test-" + std::to_string(::getpid()));
    std::string reason;
    {
        const auto files = posix_storage::make(folder, reason);
        REQUIRE(files);
        CHECK_FALSE(posix_storage::make(folder, reason)); // one process at a time
        durable_log log = opened(*files);
        CHECK(log.append({entry(1, 1), entry(2, 1)}));
        CHECK(log.save_snapshot({1, 1, "m", "s"}));
        CHECK(log.append({entry(3, 1)}));
    }
    {
        const auto files = posix_storage::make(folder, reason);
        REQUIRE(files);
        const durable_log log = opened(*files);
        CHECK(log.last_index() == 3);
        CHECK(log.first_index() == 2);
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE("a replacement that was not finished is taken for no file") {
    // A voter forgot its vote and its entries. Room ran out while the file behind a new snapshot
    // was being written under the name "log-00000000000000000002.new"; the part that was written
    // stayed, sorted behind the real file, was read as the newest log and cut to nothing, and the
    // real one was removed as an older one.
    const std::string folder = std::filesystem::temp_directory_path() /
                               ("peppertack-test-half-" + std::to_string(::getpid()));
    std::string reason;
    const auto files = posix_storage::make(folder, reason);
    REQUIRE(files);
    {
        durable_log log = opened(*files);
        CHECK(log.save_vote({7, "a"}));
        CHECK(log.append({entry(1, 1), entry(2, 1)}));
    }
    std::ofstream(folder + "/log-00000000000000000002.new") << "PTL";
    {
        const durable_log log = opened(*files);
        CHECK(log.vote() == vote_record{7, "a"});
        CHECK(log.last_index() == 2);
    }
    std::filesystem::remove_all(folder);
}

TEST_CASE("entries that were replaced do not come back behind a snapshot") {
    // A voter held a last entry that no leader counted any more, and could have voted for one that
    // lacked an acknowledged decision, since its own log seemed to end in an earlier term. The
    // snapshot had been stored, the file for what follows it had not: the older file was read on,
    // passing over what the snapshot covers, and with it over what had replaced the entries behind.
    const auto reopened_over = [](const auto &write, const log_snapshot &snapshot) {
        fake_storage files;
        durable_log log = opened(files);
        write(log);
        const std::string name = files.list()->back();
        const std::string older = files.bytes_of(name);
        REQUIRE(log.save_snapshot(snapshot));
        files.remove(files.list()->front()); // the file begun behind the snapshot
        files.replace(name, older);
        return opened(files);
    };
    const durable_log replaced_below = reopened_over(
        [](durable_log &log) {
            REQUIRE(log.append({entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}));
            REQUIRE(log.append({entry(2, 2), entry(3, 2)}));
        },
        {3, 2, "members", "state"});
    CHECK(replaced_below.last_index() == 3);
    const durable_log another_history = reopened_over(
        [](durable_log &log) {
            REQUIRE(log.append({entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)}));
        },
        {3, 2, "members", "state"});
    CHECK(another_history.last_index() == 3);
    const durable_log same_history = reopened_over(
        [](durable_log &log) {
            REQUIRE(log.append({entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2)}));
        },
        {3, 2, "members", "state"});
    CHECK(same_history.last_index() == 4);
}

TEST_CASE("a disk that can't be read is not taken for an empty one") {
    // A voter began anew under its old name, without the vote and the entries that it had promised.
    // A folder or file that could not be read for a moment counted as missing, and the log was
    // begun over the real one.
    fake_storage files;
    {
        durable_log log = opened(files);
        CHECK(log.save_vote({7, "a"}));
        CHECK(log.append({entry(1, 1), entry(2, 1)}));
    }
    files.set_fault(fake_storage::fault::unreadable);
    std::string reason;
    CHECK_FALSE(durable_log::open(files, reason));
    CHECK(reason.find("input/output error") != std::string::npos);
    files.set_fault(fake_storage::fault::none);
    const durable_log log = opened(files);
    CHECK(log.vote() == vote_record{7, "a"});
    CHECK(log.last_index() == 2);
}

TEST_CASE("a log is opened again once the disk takes writes, and holds what was promised") {
    fake_storage files;
    durable_log log = opened(files);
    REQUIRE(log.save_vote({7, "a"}));
    REQUIRE(log.append({entry(1, 1), entry(2, 1), entry(3, 1)}));
    REQUIRE(log.save_snapshot({2, 1, "members", "state"}));
    files.set_fault(fake_storage::fault::full);
    REQUIRE_FALSE(log.append({entry(4, 1)}));
    open_failure failure;
    CHECK_FALSE(durable_log::reopen(log, failure));
    CHECK(failure.retryable);
    files.set_fault(fake_storage::fault::none);
    std::optional<durable_log> again = durable_log::reopen(log, failure);
    REQUIRE(again);
    CHECK(again->vote() == vote_record{7, "a"});
    CHECK(again->snapshot() == log.snapshot());
    CHECK(again->last_index() == 3);
    CHECK(again->append({entry(4, 2)}));
    CHECK(opened(files).term_at(4) == 2);
}

TEST_CASE("what a failed sync left in doubt is on the disk when the log is opened again") {
    // The kernel may drop the pages of a sync that failed: they are read as written, and no later
    // sync brings them to the disk.
    std::mt19937_64 random(11);
    for (int round = 0; round < 50; ++round) {
        fake_storage files;
        durable_log log = opened(files);
        REQUIRE(log.append({entry(1, 1)}));
        files.set_fault(fake_storage::fault::sync_fails);
        REQUIRE_FALSE(log.append({entry(2, 1)}));
        files.set_fault(fake_storage::fault::none);
        open_failure failure;
        std::optional<durable_log> again = durable_log::reopen(log, failure);
        REQUIRE(again);
        CHECK(again->last_index() == 2);
        CHECK(again->save_vote({9, "b"}));
        files.crash(random);
        CHECK(opened(files).last_index() == 2);
        CHECK(opened(files).vote() == vote_record{9, "b"});
    }
}

TEST_CASE("a disk that holds less than was promised is not taken again") {
    const auto tried_with = [](const auto &write, const auto &spoil) {
        fake_storage files;
        durable_log log = opened(files);
        const std::string name = files.list()->back();
        const std::string before = files.bytes_of(name);
        write(log);
        files.set_fault(fake_storage::fault::full);
        CHECK_FALSE(log.save_vote({20, "z"}));
        files.set_fault(fake_storage::fault::none);
        spoil(files, name, before);
        open_failure failure;
        const bool taken = durable_log::reopen(log, failure).has_value();
        CHECK(taken != (failure.reason.find("less than was promised") != std::string::npos));
        CHECK_FALSE(failure.retryable);
        return taken;
    };
    const auto vote = [](durable_log &log) { REQUIRE(log.save_vote({7, "a"})); };
    const auto append = [](durable_log &log) { REQUIRE(log.append({entry(1, 1), entry(2, 1)})); };
    const auto nothing = [](fake_storage &, const std::string &, const std::string &) {};
    const auto forget = [](fake_storage &files, const std::string &name,
                           const std::string &before) { files.bytes_of(name) = before; };
    CHECK(tried_with(vote, nothing));
    CHECK(tried_with(append, nothing));
    CHECK_FALSE(tried_with(vote, forget));
    CHECK_FALSE(tried_with(append, forget));
    // More than was promised is no harm: the write that failed reached the disk after all.
    CHECK(tried_with(append, [](fake_storage &files, const std::string &, const auto &) {
        durable_log later = opened(files);
        REQUIRE(later.append({entry(2, 3)}));
    }));
}
