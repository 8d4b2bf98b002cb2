// Guards against instances that disagree on the tree, miss a change, return to an older version, or
// write snapshots so late that a record that a new instance needs expires.

#include "corneltally/settings/change.h"
#include "corneltally/settings/settings_replica.h"

#include <random>

#include <catch2/catch.hpp>

using namespace corneltally;
using settings::change;
using settings::record_outcome;
using settings::record_verdict;
using settings::setting_value;
using settings::settings_replica;
using settings::settings_tree;
using settings::snapshot_part;

namespace {

constexpr std::int64_t cHour = 3'600'000;

/// A log of the platform. Expiry of records advances its first offset.
struct test_log
{
    struct entry
    {
        std::string data;
        std::int64_t timeMs = 0;
    };
    std::vector<entry> entries;
    std::uint64_t first = 1;

    std::uint64_t append(std::string inData, std::int64_t inTimeMs = 0)
    {
        entries.push_back({std::move(inData), inTimeMs});
        return entries.size();
    }

    /// Adds all retained records to a replica.
    std::vector<record_verdict> readInto(settings_replica &ioReplica, std::uint64_t inFrom = 0,
                                         std::int64_t inNowMs = 0) const
    {
        std::vector<record_verdict> verdicts;
        ioReplica.noteLogStart(first, inNowMs);
        for (std::uint64_t offset = std::max(first, inFrom); offset <= entries.size(); ++offset) {
            const entry &record = entries[offset - 1];
            const auto more = ioReplica.addLogRecord(offset, record.data, record.timeMs);
            verdicts.insert(verdicts.end(), more.begin(), more.end());
        }
        return verdicts;
    }
};

change setVersion(const settings_tree &inTree, const std::string &inId,
                  const std::string &inAdapter, const std::string &inVersion)
{
    const std::string path = "/adapters/" + inAdapter;
    return {.id = inId,
            .author = "operator",
            .base = {{path, inTree.nodeVersion(path)}},
            .set = {{path, "version", inVersion}, {path, "base_model", "base"}},
            .remove = {}};
}

std::string adapterVersion(const settings_replica &inReplica, const std::string &inAdapter)
{
    const auto found = inReplica.tree().find("/adapters/" + inAdapter, "version");
    return found ? std::get<std::string>(found->value) : std::string();
}

/// Returns a log with changes that create and modify nodes, conflict, are malformed or duplicate.
test_log mixedLog(int inRecords)
{
    test_log log;
    settings_replica operatorView;
    settings_replica outdatedView;
    std::mt19937 random(7);
    for (int i = 0; i < inRecords; ++i) {
        const std::string adapter = "a" + std::to_string(random() % 5);
        // Every third change is based on a tree that is up to ten records old.
        const settings_tree &view = i % 3 == 0 ? outdatedView.tree() : operatorView.tree();
        std::string record
            = setVersion(view, "c" + std::to_string(i), adapter, std::to_string(i)).toJson();
        if (i % 7 == 3)
            record = "not a change";
        if (i % 11 == 5)
            record = log.entries.back().data;
        const std::uint64_t offset = log.append(record, i);
        operatorView.addLogRecord(offset, record, i);
        if (i % 10 == 9)
            outdatedView = operatorView;
    }
    return log;
}

} // namespace

TEST_CASE("two replicas get the same verdicts and the same bytes from the same log")
{
    const test_log log = mixedLog(200);
    settings_replica first;
    settings_replica second;
    const auto verdicts = log.readInto(first);
    // The second replica gets the records in another order and some twice, as from peers.
    std::vector<record_verdict> others;
    for (std::uint64_t block = 0; block < 20; ++block) {
        for (std::uint64_t back = 10; back > 0; --back) {
            const std::uint64_t offset = block * 10 + back;
            const auto more = second.addPeerRecord(offset, log.entries[offset - 1].data);
            others.insert(others.end(), more.begin(), more.end());
            CHECK(second.addPeerRecord(offset, log.entries[offset - 1].data).empty());
        }
    }
    REQUIRE(verdicts.size() == 200);
    REQUIRE(others.size() == 200);
    int accepted = 0;
    int rejected = 0;
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
        CHECK(verdicts[i].offset == i + 1);
        CHECK(verdicts[i].outcome == others[i].outcome);
        CHECK(verdicts[i].reason == others[i].reason);
        CHECK((verdicts[i].outcome == record_outcome::rejected)
              == !verdicts[i].reason.message.empty());
        (verdicts[i].outcome == record_outcome::accepted ? accepted : rejected) += 1;
    }
    CHECK(accepted > 50);
    CHECK(rejected > 50);
    CHECK(first.tree().toJson() == second.tree().toJson());
    CHECK(first.snapshotRecords() == second.snapshotRecords());
}

TEST_CASE("of two conflicting changes every replica accepts the first on the log")
{
    test_log log;
    settings_replica base;
    log.append(setVersion(base.tree(), "c0", "tone", "1").toJson());
    log.readInto(base);
    log.append(setVersion(base.tree(), "left", "tone", "2").toJson());
    log.append(setVersion(base.tree(), "right", "tone", "3").toJson());
    settings_replica reader;
    const auto verdicts = log.readInto(reader);
    REQUIRE(verdicts.size() == 3);
    CHECK(verdicts[1].outcome == record_outcome::accepted);
    CHECK(verdicts[2].outcome == record_outcome::rejected);
    CHECK(verdicts[2].changeId == "right");
    CHECK(verdicts[2].reason.kind == core::error_kind::conflict);
    CHECK(verdicts[2].reason.message.find("version 2") != std::string::npos);
    CHECK(adapterVersion(reader, "tone") == "2");
    CHECK(reader.tree().version() == 2);
    CHECK(reader.nextOffset() == 4);
}

TEST_CASE("a record that was appended twice takes effect once")
{
    test_log log;
    settings_replica reader;
    const std::string record = setVersion(reader.tree(), "c0", "tone", "1").toJson();
    log.append(record);
    log.append(record);
    const auto verdicts = log.readInto(reader);
    REQUIRE(verdicts.size() == 2);
    CHECK(verdicts[0].outcome == record_outcome::accepted);
    CHECK(verdicts[1].outcome == record_outcome::rejected);
    CHECK(verdicts[1].reason.message.find("already applied at offset 1") != std::string::npos);
}

TEST_CASE("a replica that starts after records expired recovers the full tree from the snapshot")
{
    test_log log = mixedLog(50);
    settings_replica whole;
    log.readInto(whole);
    const auto snapshot = whole.snapshotRecords();
    for (const std::string &record : snapshot)
        log.append(record);
    const std::string later = setVersion(whole.tree(), "later", "a1", "9000").toJson();
    log.append(later);
    log.readInto(whole, 51);
    log.first = 30;

    settings_replica late;
    log.readInto(late);
    CHECK_FALSE(late.hasGap());
    CHECK(adapterVersion(late, "a1") == "9000");
    CHECK(late.tree().toJson() == whole.tree().toJson());
    CHECK(late.nextOffset() == whole.nextOffset());
    CHECK(late.snapshotRecords() == whole.snapshotRecords());
}

TEST_CASE("a gap without a snapshot on the log is detected and closed by a peer's tree")
{
    test_log log = mixedLog(50);
    settings_replica whole;
    log.readInto(whole);
    log.first = 40;
    settings_replica late;
    CHECK(log.readInto(late).empty());
    CHECK(late.hasGap());
    CHECK(late.nextOffset() == 0);
    CHECK_FALSE(late.snapshotDue(1000 * cHour, 0));
    for (const std::string &record : whole.snapshotRecords())
        late.addPeerSnapshot(record);
    CHECK_FALSE(late.hasGap());
    CHECK(late.tree().toJson() == whole.tree().toJson());
}

TEST_CASE("an expired log without any records left is a gap")
{
    settings_replica late;
    late.noteLogStart(40, 0);
    CHECK(late.hasGap());
    settings_replica fresh;
    fresh.noteLogStart(1, 0);
    CHECK_FALSE(fresh.hasGap());
}

TEST_CASE("older snapshots and records of a peer have no effect")
{
    const test_log log = mixedLog(60);
    settings_replica older;
    settings_replica newer;
    for (std::uint64_t offset = 1; offset <= 60; ++offset) {
        const std::string &data = log.entries[offset - 1].data;
        if (offset <= 40)
            older.addLogRecord(offset, data, 0);
        newer.addLogRecord(offset, data, 0);
    }
    const std::string before = newer.tree().toJson();
    for (const std::string &record : older.snapshotRecords())
        CHECK(newer.addPeerSnapshot(record).empty());
    for (std::uint64_t offset = 1; offset <= 40; ++offset)
        CHECK(newer.addPeerRecord(offset, log.entries[offset - 1].data).empty());
    CHECK(newer.tree().toJson() == before);
    CHECK(newer.nextOffset() == 61);
    // In the other direction the older replica catches up.
    const auto missing = newer.recordsAfter(40, 1'000'000);
    REQUIRE(missing.has_value());
    for (const auto &record : *missing)
        older.addPeerRecord(record.offset, record.data);
    CHECK(older.tree().toJson() == before);
}

TEST_CASE("records for peers are limited in size and end where a snapshot was adopted")
{
    const test_log log = mixedLog(60);
    settings_replica whole;
    log.readInto(whole);
    CHECK(whole.recordsAfter(60, 1'000)->empty());
    CHECK(whole.recordsAfter(0, 1'000'000)->size() == 60);
    const auto few = whole.recordsAfter(10, 400);
    REQUIRE(few.has_value());
    CHECK_FALSE(few->empty());
    CHECK(few->size() < 50);
    CHECK(few->front().offset == 11);
    settings_replica late;
    for (const std::string &record : whole.snapshotRecords())
        late.addPeerSnapshot(record);
    CHECK_FALSE(late.recordsAfter(10, 1'000).has_value());
    // Records from before the adopted tree would not be contiguous with later ones.
    settings_replica behind;
    for (std::uint64_t offset = 1; offset <= 5; ++offset)
        behind.addLogRecord(offset, log.entries[offset - 1].data, 0);
    for (const std::string &record : whole.snapshotRecords())
        behind.addPeerSnapshot(record);
    CHECK(behind.nextOffset() == 61);
    CHECK_FALSE(behind.recordsAfter(2, 1'000'000).has_value());
}

TEST_CASE("large snapshots are split, and parts of different writers can be combined")
{
    settings_replica whole;
    std::uint64_t offset = 0;
    for (int block = 0; block < 9; ++block) {
        change large{.id = "large-" + std::to_string(block), .author = "operator"};
        for (int i = 0; i < 1'000; ++i) {
            const std::string path = "/adapters/adapter-" + std::to_string(block * 1'000 + i);
            large.base[path] = 0;
            large.set.push_back({path, "version", "1"});
            large.set.push_back({path, "base_model", "base"});
        }
        const auto verdicts = whole.addLogRecord(++offset, large.toJson(), 0);
        REQUIRE(verdicts.at(0).outcome == record_outcome::accepted);
    }
    settings_replica other = whole;
    const auto records = whole.snapshotRecords();
    const auto others = other.snapshotRecords();
    REQUIRE(records.size() > 2);
    CHECK(records == others);
    settings_replica late;
    late.noteLogStart(++offset, 0);
    for (std::size_t i = records.size(); i-- > 1;) {
        CHECK(records[i].size() < 512 * 1024);
        late.addLogRecord(offset++, i % 2 == 0 ? records[i] : others[i], 0);
        CHECK(late.hasGap());
    }
    late.addLogRecord(offset++, records[0], 0);
    CHECK_FALSE(late.hasGap());
    CHECK(late.tree().toJson() == whole.tree().toJson());
    CHECK(late.nextOffset() == offset);
    // A snapshot with an expired part is unusable: a new one is due at once.
    const std::uint64_t oldestPart = offset - records.size();
    late.noteLogStart(oldestPart, 0);
    CHECK_FALSE(late.snapshotDue(0, 0));
    late.noteLogStart(oldestPart + 1, 0);
    CHECK(late.snapshotDue(0, 0));
}

TEST_CASE("a change that is too long for a message is rejected by log readers and peers alike")
{
    settings_replica fromLog;
    settings_replica fromPeer;
    change large{.id = "large", .author = "operator"};
    for (int i = 0; i < 6'000; ++i) {
        const std::string path = "/adapters/adapter-" + std::to_string(i);
        large.base[path] = 0;
        large.set.push_back({path, "version", "1"});
        large.set.push_back({path, "base_model", "base"});
    }
    REQUIRE(settings_tree().apply(large, 1).hasValue());
    REQUIRE(large.toJson().size() > 512 * 1024);
    const auto first = fromLog.addLogRecord(1, large.toJson(), 0);
    const auto second = fromPeer.addPeerRecord(1, large.toJson());
    REQUIRE(first.size() == 1);
    REQUIRE(second.size() == 1);
    CHECK(first[0].outcome == record_outcome::rejected);
    CHECK(first[0].reason == second[0].reason);
    const auto kept = fromLog.recordsAfter(0, 1'000'000);
    REQUIRE(kept.has_value());
    CHECK(kept->at(0).data.size() < 100);
}

TEST_CASE("a corrupted snapshot is not adopted")
{
    const test_log log = mixedLog(20);
    settings_replica whole;
    log.readInto(whole);
    auto part = snapshot_part::sFromRecord(whole.snapshotRecords().at(0));
    REQUIRE(part.has_value());
    // The corrupted tree is well-formed and valid, but does not match the digest.
    const std::size_t at = part->data.find("\"base\"");
    REQUIRE(at != std::string::npos);
    part->data.replace(at, 6, "\"bass\"");
    settings_replica late;
    late.addPeerSnapshot(part->toRecord());
    late.addPeerSnapshot("{\"snapshot\":{}}");
    late.addPeerSnapshot("nothing");
    CHECK(late.nextOffset() == 0);
    CHECK(late.tree().nodes().empty());
}

TEST_CASE("a change at offset 0 is rejected, so that both ways of numbering a log work")
{
    settings_replica reader;
    const std::string record = setVersion(reader.tree(), "c0", "tone", "1").toJson();
    CHECK(reader.addLogRecord(0, record, 0).at(0).outcome == record_outcome::rejected);
    CHECK(reader.addLogRecord(1, record, 0).at(0).outcome == record_outcome::accepted);
}

TEST_CASE("a snapshot is due at half of the retention of the oldest needed record")
{
    test_log log;
    settings_replica reader;
    const std::int64_t half = reader.retention().count() * 1000 / 2;
    log.append(setVersion(reader.tree(), "c0", "tone", "1").toJson(), 1'000);
    log.readInto(reader);
    CHECK_FALSE(reader.snapshotDue(1'000 + half - 1, 0));
    CHECK(reader.snapshotDue(1'000 + half, 0));
    // Instances of a higher rank wait longer, so that those of a lower rank can write it first.
    CHECK_FALSE(reader.snapshotDue(1'000 + half, 1));
    CHECK(reader.snapshotDue(1'000 + half * 14 / 10, 30));

    for (const std::string &record : reader.snapshotRecords())
        log.append(record, half);
    log.readInto(reader, 2);
    CHECK_FALSE(reader.snapshotDue(1'000 + half, 0));
    // The snapshot itself expires as well.
    CHECK_FALSE(reader.snapshotDue(half + half - 1, 0));
    CHECK(reader.snapshotDue(half + half, 0));
}

TEST_CASE("a replica with a gap writes no snapshot")
{
    settings_replica reader;
    reader.addLogRecord(1, setVersion(reader.tree(), "c0", "tone", "1").toJson(), 0);
    REQUIRE(reader.snapshotDue(1'000 * cHour, 0));
    reader.addPeerRecord(9, "later");
    REQUIRE(reader.hasGap());
    CHECK_FALSE(reader.snapshotDue(1'000 * cHour, 0));
}

TEST_CASE("a retention shorter than configured is detected from expired records")
{
    test_log log;
    settings_replica reader;
    log.append(setVersion(reader.tree(), "c0", "tone", "1").toJson(), 0);
    log.readInto(reader);
    for (const std::string &record : reader.snapshotRecords())
        log.append(record, cHour);
    log.readInto(reader, 2, cHour);
    REQUIRE_FALSE(reader.snapshotDue(4 * cHour, 0));
    // The snapshot expires after four hours: a new one is due at once.
    reader.noteLogStart(3, 5 * cHour);
    CHECK(reader.snapshotDue(5 * cHour, 4));
    for (const std::string &record : reader.snapshotRecords())
        log.append(record, 5 * cHour);
    log.readInto(reader, 3, 5 * cHour);
    CHECK_FALSE(reader.snapshotDue(6 * cHour, 0));
    CHECK(reader.snapshotDue(7 * cHour, 0));
}

TEST_CASE("a snapshot is due after many records, so that a new instance starts quickly")
{
    settings_replica reader;
    std::uint64_t offset = 0;
    while (offset < 4'000) {
        ++offset;
        const auto edit = setVersion(reader.tree(), "c" + std::to_string(offset), "tone",
                                     std::to_string(offset));
        reader.addLogRecord(offset, edit.toJson(), 0);
    }
    CHECK_FALSE(reader.snapshotDue(1, 0));
    reader.addLogRecord(offset + 1, "more", 0);
    CHECK(reader.snapshotDue(1, 0));
    CHECK_FALSE(reader.snapshotDue(1, 3));
}
