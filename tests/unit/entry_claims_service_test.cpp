// Guards against a claims service that grants keys without the log, that hangs after a lost answer
// or an outage, or that grants one key to two instances.

#include "corneltally/entry/claims_service.h"
#include "corneltally/kernel/event_loop.h"

#include <functional>
#include <map>
#include <memory>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using entry::claim_outcome;

namespace {

/// The records of the log, shared by the mock clients of all instances.
struct shared_log
{
    std::vector<platform::log_record> records;
    bool reachable = true;
    /// Appends whose answer is lost, with and without effect.
    int loseAnswers = 0;
    int loseAppends = 0;
};

/// Log client without sockets. Every call is answered after 10 ms, also a read that finds nothing.
class mock_log
{
public:
    mock_log(kernel::event_loop &inLoop, shared_log &inShared)
        : mLoop(inLoop)
        , mShared(inShared)
    { }

    void append(const std::string &inStream, std::string inRecord,
                platform::append_handler inHandler)
    {
        CHECK(inStream == "claims");
        platform::append_result result;
        if (mShared.reachable && mShared.loseAppends > 0) {
            --mShared.loseAppends;
        } else if (mShared.reachable) {
            result.offset = mShared.records.size() + 1;
            mShared.records.push_back({result.offset, 1000, std::move(inRecord)});
            result.outcome = platform::append_outcome::appended;
            if (mShared.loseAnswers > 0) {
                --mShared.loseAnswers;
                result.outcome = platform::append_outcome::unknown;
            }
        }
        answer([result, handler = std::move(inHandler)] { handler(result); });
    }

    void read(const platform::read_request &inRequest, platform::read_handler inHandler)
    {
        const core::time_point sentAt = core::boot_clock::now();
        answer([this, from = inRequest.from, sentAt, handler = std::move(inHandler)] {
            platform::read_result result{.sentAt = sentAt};
            if (mShared.reachable && from == 0) {
                result.outcome = platform::read_outcome::expired;
                result.first = 1;
            } else if (mShared.reachable) {
                result.outcome = platform::read_outcome::records;
                result.first = 1;
                result.next = mShared.records.size() + 1;
                for (std::uint64_t offset = from; offset < result.next; ++offset)
                    result.records.push_back(mShared.records[offset - 1]);
            }
            handler(result);
        });
    }

    void cancelAll() { mTimers.clear(); }

private:
    void answer(std::function<void()> inAnswer)
    {
        const int id = mNextId++;
        auto timer = std::make_unique<kernel::timer>(mLoop, [this, id, call = std::move(inAnswer)] {
            const auto self = mTimers.extract(id);
            call();
        });
        timer->startOnce(10ms);
        mTimers.emplace(id, std::move(timer));
    }

    kernel::event_loop &mLoop;
    shared_log &mShared;
    int mNextId = 0;
    std::map<int, std::unique_ptr<kernel::timer>> mTimers;
};

static_assert(platform::log_service<mock_log>);

using service = entry::claims_service<mock_log>;

/// An instance with the claims service, and the answers that its front end received.
struct instance
{
    kernel::service_registry registry;
    service *claims = nullptr;
    std::map<std::string, entry::claim_result> results;

    instance(kernel::event_loop &inLoop, shared_log &inLog, const std::string &inName)
        : registry(inLoop)
    {
        claims = &registry.add(std::make_unique<service>(
            registry, std::make_unique<mock_log>(inLoop, inLog), inName, 7));
        registry.handle<entry::claim_result>("front_end", [this](const auto &inResult) {
            CHECK(results.emplace(inResult.requestId, inResult).second);
        });
        registry.startAll();
    }

    void begin(const std::string &inId, core::duration inLimit = 20s)
    {
        registry.post("claims",
                      entry::claim_begin{inId, "k", "d", core::boot_clock::now() + inLimit});
    }
    bool has(const std::string &inId) const { return results.contains(inId); }
};

/// Two instances on one loop.
struct fleet
{
    kernel::event_loop loop;
    shared_log log;
    instance one{loop, log, "entry-1"};
    instance two{loop, log, "entry-2"};

    fleet()
    {
        REQUIRE(until([this] {
            return one.claims->coordinator().isCaughtUp() && two.claims->coordinator().isCaughtUp();
        }));
    }

    bool until(const std::function<bool()> &inCondition)
    {
        bool isMet = false;
        kernel::timer limit(loop, [this] { loop.stop(); });
        kernel::timer check(loop, [&] {
            isMet = inCondition();
            if (isMet)
                loop.stop();
        });
        limit.startOnce(20s);
        check.startRepeating(5ms);
        loop.run();
        return isMet;
    }
};

} // namespace

TEST_CASE("of two instances with one key, one runs and the other gets its answer")
{
    fleet instances;
    instances.one.begin("r1");
    instances.two.begin("r2");
    REQUIRE(instances.until([&] { return instances.one.has("r1") || instances.two.has("r2"); }));
    instance &holder = instances.one.has("r1") ? instances.one : instances.two;
    instance &waiter = instances.one.has("r1") ? instances.two : instances.one;
    const entry::claim_result granted = holder.results.begin()->second;
    CHECK(granted.outcome == claim_outcome::granted);
    CHECK(waiter.results.empty());
    holder.registry.post("claims",
                         entry::claim_finish{"k", granted.claimId, 201, "text/plain", "ordered"});
    REQUIRE(instances.until([&] { return !waiter.results.empty(); }));
    CHECK(waiter.results.begin()->second.outcome == claim_outcome::answered);
    CHECK(waiter.results.begin()->second.body == "ordered");
}

TEST_CASE("a lost answer delays a claim, but neither loses nor duplicates it")
{
    fleet instances;
    SECTION("with effect")
    {
        instances.log.loseAnswers = 1;
    }
    SECTION("without effect")
    {
        instances.log.loseAppends = 1;
    }
    instances.one.begin("r1");
    REQUIRE(instances.until([&] { return instances.one.has("r1"); }));
    CHECK(instances.one.results["r1"].outcome == claim_outcome::granted);
    CHECK(instances.log.records.size() == 1);
}

TEST_CASE("claims are refused during an outage of the log and accepted after it")
{
    fleet instances;
    instances.log.reachable = false;
    REQUIRE(instances.until([&] { return !instances.one.claims->coordinator().isLogReachable(); }));
    instances.one.begin("r1");
    REQUIRE(instances.until([&] { return instances.one.has("r1"); }));
    CHECK(instances.one.results["r1"].outcome == claim_outcome::refused);
    CHECK(instances.one.results["r1"].retryAfterSeconds >= 1);
    CHECK(instances.one.results["r1"].error.kind == core::error_kind::unavailable);

    instances.log.reachable = true;
    REQUIRE(instances.until([&] { return instances.one.claims->coordinator().isLogReachable(); }));
    instances.one.begin("r2");
    REQUIRE(instances.until([&] { return instances.one.has("r2"); }));
    CHECK(instances.one.results["r2"].outcome == claim_outcome::granted);
}

TEST_CASE("a pause during an append neither blocks later claims nor duplicates one")
{
    fleet instances;
    instances.one.begin("r1");
    REQUIRE(instances.until([&] { return !instances.log.records.empty(); }));
    instances.one.registry.post("claims", entry::process_paused{2s});
    REQUIRE(instances.until([&] { return instances.one.has("r1"); }));
    instances.two.begin("r2", 200ms);
    REQUIRE(instances.until([&] { return instances.two.has("r2"); }));
    CHECK(instances.two.results["r2"].outcome == claim_outcome::unknown);
    CHECK(instances.one.claims->dump().find("\"caught_up\":true") != std::string::npos);
}
