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

TEST_CASE("appended entries survive reopening") {
    fake_storage files;
    {
        durable_log log = opened(files);
        CHECK(log.save_vote({3, "a"}));
        CHECK(log.append({entry(1, 1), entry(2, 1), entry(3, 2)}));
        CHECK(log.append({entry(2, 3)})); // a new leader replaces the tail
    }
    const durable_log log = opened(files);
    CHECK(log.vote() == vote_record{3, "a"});
    CHECK(log.last_index() == 2);
    CHECK(log.term_at(2) == 3);
    CHECK(*log.entry_at(1) == entry(1, 1));
    CHECK(log.entry_at(3) == nullptr);
}

TEST_CASE("a torn tail is truncated and the synced entries before it are kept") {
    // Guards against a voter that refuses to start after a power loss. A crash between append and
    // sync leaves a part of the last frame, which must not be taken for damage.
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

TEST_CASE("damage before the last frame is rejected") {
    // Guards against silently losing an acknowledged decision. A bit of the first of two synced
    // frames flips before a restart; truncating at the first bad checksum would drop the second
    // frame too.
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

TEST_CASE("all writes fail after one failed write") {
    fake_storage files;
    durable_log log = opened(files);
    files.set_fault(fake_storage::fault::full);
    CHECK_FALSE(log.append({entry(1, 1)}));
    files.set_fault(fake_storage::fault::none);
    CHECK_FALSE(log.append({entry(1, 1)}));
    CHECK_FALSE(log.save_vote({1, "a"}));
    CHECK(log.last_reason().find("disk full") != std::string::npos);
}

TEST_CASE("a snapshot drops the entries it covers and keeps the rest and the vote") {
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

TEST_CASE("a corrupted log file does not crash the voter") {
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

TEST_CASE("a partially created log file is not taken for the log") {
    // Guards against losing vote and entries when a voter is killed while it creates a log file,
    // which is the more likely the slower the syncs are. The temporary file sorts after the
    // complete one; if it were read as the newest log, the complete one would be removed, and the
    // voter could vote twice in one term.
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

TEST_CASE("a log on a real file system") {
    const std::string folder =
        std::filesystem::temp_directory_path() / ("peppertack-test-" + std::to_string(::getpid()));
    std::string reason;
    {
        const auto files = posix_storage::make(folder, reason);
        REQUIRE(files);
        CHECK_FALSE(posix_storage::make(folder, reason)); // locked against a second process
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

TEST_CASE("a partially written replacement file is ignored") {
    // Guards against losing vote and entries when the disk fills up while the log file after a
    // snapshot is written as "log-00000000000000000002.new". The partial file sorts after the
    // actual log; if it were read as the newest log, it would be truncated to nothing and the
    // actual one removed.
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

TEST_CASE("replaced entries do not reappear after a snapshot") {
    // Guards against a voter whose log seems to end in an earlier term, so that it could vote for a
    // candidate that lacks an acknowledged decision. After a crash between storing a snapshot and
    // creating its log file, the previous file is loaded; skipping the entries that the snapshot
    // covers must not skip their replacement of the entries after them.
    const auto reopened_over = [](const auto &write, const log_snapshot &snapshot) {
        fake_storage files;
        durable_log log = opened(files);
        write(log);
        const std::string name = files.list()->back();
        const std::string older = files.bytes_of(name);
        REQUIRE(log.save_snapshot(snapshot));
        files.remove(files.list()->front()); // the log file created after the snapshot
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

TEST_CASE("an unreadable disk is not taken for an empty one") {
    // Guards against a voter that restarts under its name without its vote and acknowledged
    // entries. A directory or file that can't be read temporarily must not count as missing, or an
    // empty log would replace the actual one.
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

TEST_CASE("a log reopens with all durable data once the disk accepts writes") {
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

TEST_CASE("reopening rewrites data that a failed sync left in doubt") {
    // The kernel may drop the dirty pages of a failed sync: they read back as written, but no later
    // sync writes them to disk.
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

TEST_CASE("reopening fails if the disk lacks acknowledged data") {
    const auto tried_with = [](const auto &write, const auto &spoil) {
        fake_storage files;
        durable_log log = opened(files);
        REQUIRE(log.save_vote({1, "b"})); // the file begins with the first change
        const std::string name = files.list()->back();
        const std::string before = files.bytes_of(name);
        write(log);
        files.set_fault(fake_storage::fault::full);
        CHECK_FALSE(log.save_vote({20, "z"}));
        files.set_fault(fake_storage::fault::none);
        spoil(files, name, before);
        open_failure failure;
        const bool taken = durable_log::reopen(log, failure).has_value();
        CHECK(taken != (failure.reason.find("lacks data that this voter acknowledged") !=
                        std::string::npos));
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
    // Holding more than was acknowledged is valid: the failed write did reach the disk.
    CHECK(tried_with(append, [](fake_storage &files, const std::string &, const auto &) {
        durable_log later = opened(files);
        REQUIRE(later.append({entry(2, 3)}));
    }));
}
