// Guards against a change that is applied twice or reported wrongly after an answer of the log was
// lost, and against reports that differ from the verdict of the log's readers.

#include "corneltally/entry/settings_publisher.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/settings/change_file.h"

#include <deque>
#include <functional>
#include <optional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using entry::publish_outcome;
using settings::change;

namespace {

/// Fault of the mock log at one append.
enum class append_fault {
    none,
    refused,
    /// The record is written and the answer is lost.
    answer_lost,
    /// The record is not written and no answer arrives.
    record_lost,
    /// The record is written only when the next append arrives.
    record_late,
};

class mock_log
{
public:
    explicit mock_log(kernel::event_loop &inLoop)
        : mLoop(inLoop)
    { }

    std::vector<std::string> records;
    std::deque<append_fault> faults;
    std::uint64_t first = 1;
    int failingReads = 0;
    int appends = 0;
    /// Called before each append takes effect, to act as another operator.
    std::function<void()> beforeAppend;

    void append(const std::string &, const std::string &inRecord,
                platform::append_handler inHandler)
    {
        ++appends;
        if (beforeAppend)
            beforeAppend();
        if (mLate)
            records.push_back(*std::exchange(mLate, std::nullopt));
        append_fault fault = append_fault::none;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        platform::append_result result;
        result.reason = {core::error_kind::unavailable, "no answer", "try again"};
        if (fault == append_fault::refused)
            result.outcome = platform::append_outcome::refused;
        if (fault == append_fault::record_late)
            mLate = inRecord;
        if (fault == append_fault::none || fault == append_fault::answer_lost)
            records.push_back(inRecord);
        if (fault == append_fault::none) {
            result.outcome = platform::append_outcome::appended;
            result.offset = records.size();
        }
        mLoop.post([result, handler = std::move(inHandler)] { handler(result); });
    }

    void read(const platform::read_request &inRequest, platform::read_handler inHandler)
    {
        platform::read_result result;
        if (failingReads > 0) {
            --failingReads;
            result.reason = {core::error_kind::unavailable, "log is down", "wait"};
        } else if (inRequest.from < first && first > 1) {
            result.outcome = platform::read_outcome::expired;
            result.first = first;
        } else {
            result.outcome = platform::read_outcome::records;
            result.first = first;
            result.next = records.size() + 1;
            // Small pages make the publisher read several of them.
            for (std::uint64_t offset = std::max<std::uint64_t>(1, inRequest.from);
                 offset < result.next && result.records.size() < 2; ++offset)
                result.records.push_back({offset, 0, records[offset - 1]});
        }
        mLoop.post([result, handler = std::move(inHandler)] { handler(result); });
    }

    void cancelAll() { }

private:
    kernel::event_loop &mLoop;
    std::optional<std::string> mLate;
};

struct fixture
{
    kernel::event_loop loop;
    mock_log log{loop};
    entry::settings_publisher<mock_log> publisher;

    /// Tests that reach the time limit pass a short one.
    explicit fixture(core::duration inTimeLimit = 20s)
        : publisher(loop, log, inTimeLimit)
    { }

    std::optional<core::error> load()
    {
        std::optional<core::error> reason;
        publisher.load([&](const auto &inReason) {
            reason = inReason;
            loop.stop();
        });
        loop.run();
        return reason;
    }

    change makeChange(const std::string &inId, const std::string &inVersion)
    {
        change result{.id = inId, .author = "operator"};
        result.set
            = {{"/adapters/tone", "version", inVersion}, {"/adapters/tone", "base_model", "base"}};
        settings::completeBase(result, publisher.replica().tree());
        return result;
    }

    entry::publish_result publish(const change &inChange)
    {
        entry::publish_result result;
        publisher.publish(inChange, [&](const auto &inResult) {
            result = inResult;
            loop.stop();
        });
        loop.run();
        return result;
    }

    /// Number of changes that a reader of the log accepts.
    int acceptedCount() const
    {
        settings::settings_replica reader;
        int accepted = 0;
        for (std::size_t i = 0; i < log.records.size(); ++i) {
            for (const auto &verdict : reader.addLogRecord(i + 1, log.records[i], 0))
                accepted += verdict.outcome == settings::record_outcome::accepted ? 1 : 0;
        }
        return accepted;
    }
};

} // namespace

TEST_CASE("a change is appended and reported with the verdict of the log's readers")
{
    fixture test;
    test.log.records = {"x", "y", "z"};
    REQUIRE_FALSE(test.load().has_value());
    const auto result = test.publish(test.makeChange("c1", "1"));
    CHECK(result.outcome == publish_outcome::accepted);
    CHECK(result.offset == 4);
    CHECK(test.publish(test.makeChange("c2", "2")).outcome == publish_outcome::accepted);
    CHECK(test.acceptedCount() == 2);
}

TEST_CASE("a change that conflicts with another operator's is reported as rejected with the reason")
{
    fixture test;
    REQUIRE_FALSE(test.load().has_value());
    const change other = test.makeChange("other", "9");
    test.log.beforeAppend = [&] { test.log.records.push_back(other.toJson()); };
    const auto result = test.publish(test.makeChange("mine", "1"));
    CHECK(result.outcome == publish_outcome::rejected);
    CHECK(result.offset == 2);
    CHECK(result.reason.message.find("version 1") != std::string::npos);
    CHECK_FALSE(result.reason.remedy.empty());
}

TEST_CASE("a lost answer is resolved on the log without a second append")
{
    fixture test;
    REQUIRE_FALSE(test.load().has_value());
    test.log.faults = {append_fault::answer_lost};
    // The look-up must succeed after an outage before the record may be sent again.
    test.log.failingReads = 3;
    const auto result = test.publish(test.makeChange("c1", "1"));
    CHECK(result.outcome == publish_outcome::accepted);
    CHECK(test.log.appends == 1);
}

TEST_CASE("a record that was lost is sent again and takes effect once")
{
    fixture test;
    REQUIRE_FALSE(test.load().has_value());
    test.log.faults = {append_fault::record_lost, append_fault::record_lost};
    CHECK(test.publish(test.makeChange("c1", "1")).outcome == publish_outcome::accepted);
    CHECK(test.log.appends == 3);
    CHECK(test.acceptedCount() == 1);
}

TEST_CASE("a record that arrives after it was sent again takes effect once")
{
    fixture test;
    REQUIRE_FALSE(test.load().has_value());
    test.log.faults = {append_fault::record_late};
    const auto result = test.publish(test.makeChange("c1", "1"));
    CHECK(result.outcome == publish_outcome::accepted);
    CHECK(result.offset == 1);
    CHECK(test.log.records.size() == 2);
    CHECK(test.acceptedCount() == 1);
}

TEST_CASE("an append that is refused throughout is reported as not published")
{
    fixture test(500ms);
    REQUIRE_FALSE(test.load().has_value());
    test.log.faults.assign(1'000, append_fault::refused);
    const auto result = test.publish(test.makeChange("c1", "1"));
    CHECK(result.outcome == publish_outcome::not_published);
    CHECK(test.log.records.empty());
}

TEST_CASE("the outcome after a lost answer is unknown until the log was read")
{
    fixture test(500ms);
    REQUIRE_FALSE(test.load().has_value());
    test.log.faults = {append_fault::answer_lost};
    test.log.failingReads = 1'000;
    CHECK(test.publish(test.makeChange("c1", "1")).outcome == publish_outcome::unknown);
    // Publishing with the same id later reports the verdict and appends nothing.
    test.log.failingReads = 0;
    entry::settings_publisher<mock_log> later(test.loop, test.log, 20s);
    later.load([&](const auto &inReason) {
        CHECK_FALSE(inReason.has_value());
        test.loop.stop();
    });
    test.loop.run();
    entry::publish_result result;
    later.publish(test.makeChange("c1", "1"), [&](const auto &inResult) {
        result = inResult;
        test.loop.stop();
    });
    test.loop.run();
    CHECK(result.outcome == publish_outcome::accepted);
    CHECK(result.offset == 1);
    CHECK(test.log.appends == 1);
}

TEST_CASE("loading fails with a remedy if the log is down or its first records expired")
{
    fixture test(500ms);
    SECTION("down")
    {
        test.log.failingReads = 1'000;
    }
    SECTION("expired without a snapshot")
    {
        test.log.records = {"x", "y", "z"};
        test.log.first = 3;
    }
    const auto reason = test.load();
    REQUIRE(reason.has_value());
    CHECK_FALSE(reason->message.empty());
    CHECK_FALSE(reason->remedy.empty());
}

TEST_CASE("change files are read from TOML and JSON, and mistakes are reported with lines")
{
    const auto fromToml = settings::readChangeFile(R"(author = "me"
remove = ["/routes/old"]
[base]
"/adapters/tone" = 5
[set]
max_queue = 9
[set.adapters.tone]
version = "4"
)",
                                                   "change.toml");
    REQUIRE(fromToml.hasValue());
    CHECK(fromToml->author == "me");
    CHECK(fromToml->remove == std::vector<std::string>{"/routes/old"});
    CHECK(fromToml->base == std::map<std::string, std::uint64_t>{{"/adapters/tone", 5}});
    REQUIRE(fromToml->set.size() == 2);
    const auto fromJson = settings::readChangeFile(" \n" + fromToml->toJson(), "change.json");
    REQUIRE(fromJson.hasValue());
    CHECK(*fromJson == *fromToml);
    std::vector<settings::problem> problems;
    CHECK_FALSE(settings::readChangeFile("author = 1\nset = 2\n[base]\nx = -1\n[more]\ny = 1\n",
                                         "change.toml", &problems)
                    .hasValue());
    std::vector<int> lines;
    lines.reserve(problems.size());
    for (const auto &entry : problems)
        lines.push_back(entry.line);
    std::ranges::sort(lines);
    CHECK(lines == std::vector<int>{1, 2, 4, 6});
}

TEST_CASE("a whole tree is split into changes that apply one after the other")
{
    std::string text = "max_queue = 7\n[accounts]\nburst_tokens = 1\nrate_tokens_per_second = 1\n"
                       "[accounts.empty]\n[accounts.empty.keys.k1]\ndigest = \""
        + std::string(64, 'a')
        + "\"\n[endpoints.e1]\naddress = \"127.0.0.1:1\"\nfailure_domain = \"n\"\n"
          "kind = \"service\"\n[routes.r1]\nkind = \"service\"\npath = \"/r\"\n"
          "endpoints = [\"e1\"]\naccounts = [\"empty\"]\n[adapters]\nbase_model = \"b\"\n";
    for (int i = 0; i < 6'000; ++i)
        text += "[adapters.adapter-" + std::to_string(i) + "]\nversion = \"1\"\n";
    const auto tree = settings::settings_tree::sFromToml(text, "tree.toml");
    REQUIRE(tree.hasValue());
    const auto changes = settings::changesFor(*tree);
    CHECK(changes.size() > 1);
    settings::settings_tree built;
    std::uint64_t offset = 0;
    for (change entry : changes) {
        entry.id = "c" + std::to_string(++offset);
        CHECK(entry.toJson().size() < 400 * 1024);
        const auto reason = built.applyInPlace(entry, offset);
        INFO((reason ? reason->message : std::string()));
        REQUIRE_FALSE(reason.has_value());
    }
    REQUIRE(built.nodes().size() == tree->nodes().size());
    for (const auto &[path, node] : tree->nodes())
        REQUIRE(built.nodes().find(path)->second.values == node.values);
}
