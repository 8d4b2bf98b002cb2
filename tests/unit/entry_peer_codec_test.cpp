// Guards against messages that are changed by encoding and decoding, and against reads beyond the
// end of a frame.

#include "corneltally/entry/peer_codec.h"

#include <random>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::entry;
using namespace std::chrono_literals;

namespace {

const core::time_point cNow(1'000s);

run sampleRun()
{
    return {.requestId = "entry-1-17-3",
            .account = "harbour",
            .route = "chat",
            .kind = settings::endpoint_kind::service,
            .adapter = "tone",
            .version = "3",
            .baseModel = "base-7",
            .method = "POST",
            .path = "/v1/completions",
            .contentType = "application/json",
            .body = std::string("a\0b\xff", 4),
            .orderId = "order",
            .promptTokens = 12.5,
            .maxTokens = 256,
            .stream = true,
            .repeatable = true,
            .trafficClass = settings::traffic_class::patient,
            .deadline = cNow + 5s,
            .streamIdle = 3s};
}

std::vector<wire_message> sampleMessages()
{
    const core::error error{core::error_kind::overloaded, "queue full", "wait"};
    return {
        peer_hello{"entry-2", 77, 12},
        peer_heartbeat{77, 1234, true, 12},
        peer_drain_notice{},
        peer_message(run_submit{sampleRun(), "engine-1", "entry-1", 9}),
        peer_message(run_cancel{"entry-1-17-3", "entry-1"}),
        peer_message(run_event{"r", run_head{200, "text/event-stream"}}),
        peer_message(run_event{"r", run_chunk{41, std::string("x\0y", 3)}}),
        peer_message(run_event{"r", run_end{run_outcome::not_run, error, 17, 3, "engine-1"}}),
        peer_message(endpoint_status{.endpoint = "engine-1",
                                     .owner = "entry-2",
                                     .fence = 2049,
                                     .accepting = true,
                                     .resident = {{"tone", "3"}, {"brief", "1"}},
                                     .loading = {{"terse", "2"}},
                                     .running = 4,
                                     .queued = 7,
                                     .queuedTokens = 1500.5,
                                     .estimatedWait = 40ms}),
        peer_message(loan_request{"harbour", 5, 100, 20}),
        peer_message(loan_grant{"harbour", 5, 90, 80, 10, 2s}),
        peer_message(settings_records{{{7, "{}"}, {8, "{\"id\":\"c\"}"}}}),
        peer_message(settings_request{6}),
        peer_message(settings_snapshot{8, "{\"nodes\":{}}"}),
    };
}

} // namespace

TEST_CASE("every message is unchanged by encoding and decoding")
{
    for (const wire_message &message : sampleMessages()) {
        const std::string frame = encodePeerFrame(message, cNow);
        const core::result<wire_message> decoded = decodePeerFrame(frame, cNow);
        REQUIRE(decoded.hasValue());
        CHECK(decoded->index() == message.index());
        // Encoding the decoded message gives the same bytes only if no field was lost.
        CHECK(encodePeerFrame(*decoded, cNow) == frame);
    }
}

TEST_CASE("the fields of a run arrive unchanged and its deadline keeps the remaining time")
{
    const run sent = sampleRun();
    const std::string frame
        = encodePeerFrame(peer_message(run_submit{sent, "engine-1", "entry-1", 9}), cNow);
    const core::time_point otherClock(5s);
    const core::result<wire_message> decoded = decodePeerFrame(frame, otherClock);
    REQUIRE(decoded.hasValue());
    const auto &received = std::get<run_submit>(std::get<peer_message>(*decoded));
    run expected = sent;
    expected.deadline = otherClock + 5s;
    CHECK(received.request == expected);
    CHECK(received.endpoint == "engine-1");
    CHECK(received.origin == "entry-1");
    CHECK(received.resumeFrom == 9);
}

TEST_CASE("events and statuses arrive unchanged")
{
    for (const wire_message &message : sampleMessages()) {
        const auto *sent = std::get_if<peer_message>(&message);
        if (sent == nullptr)
            continue;
        const core::result<wire_message> decoded
            = decodePeerFrame(encodePeerFrame(message, cNow), cNow);
        REQUIRE(decoded.hasValue());
        const auto &received = std::get<peer_message>(*decoded);
        if (std::holds_alternative<run_event>(*sent))
            CHECK(std::get<run_event>(received) == std::get<run_event>(*sent));
        if (std::holds_alternative<endpoint_status>(*sent))
            CHECK(std::get<endpoint_status>(received) == std::get<endpoint_status>(*sent));
    }
}

TEST_CASE("a truncated frame is rejected")
{
    for (const wire_message &message : sampleMessages()) {
        const std::string frame = encodePeerFrame(message, cNow);
        // The last bytes may be padding; a frame that lost more than those is incomplete.
        for (std::size_t length = 0; length + 16 < frame.size(); ++length) {
            const std::string cut = frame.substr(0, length);
            CHECK_FALSE(decodePeerFrame(cut, cNow).hasValue());
        }
    }
}

TEST_CASE("corrupted frames are rejected or decoded without reads beyond the frame")
{
    std::mt19937 random(7);
    for (const wire_message &message : sampleMessages()) {
        const std::string frame = encodePeerFrame(message, cNow);
        for (int round = 0; round < 2'000; ++round) {
            std::string corrupted = frame;
            for (int flips = 0; flips < 3; ++flips)
                corrupted[random() % corrupted.size()] = static_cast<char>(random());
            // Sanitizer builds detect a read beyond the frame.
            const core::result<wire_message> decoded = decodePeerFrame(corrupted, cNow);
            if (decoded)
                CHECK_FALSE(encodePeerFrame(*decoded, cNow).empty());
        }
    }
}

TEST_CASE("values outside of their enumeration are rejected")
{
    const std::string frame = encodePeerFrame(
        peer_message(run_event{"r", run_end{run_outcome::unknown, {}, 0, 0, ""}}), cNow);
    int refused = 0;
    for (std::size_t position = 0; position < frame.size(); ++position) {
        std::string corrupted = frame;
        corrupted[position] = static_cast<char>(0x7f);
        const core::result<wire_message> decoded = decodePeerFrame(corrupted, cNow);
        if (!decoded) {
            ++refused;
            continue;
        }
        const auto *content = std::get_if<peer_message>(&decoded.value());
        if (content == nullptr || !std::holds_alternative<run_event>(*content))
            continue;
        const auto *end = std::get_if<run_end>(&std::get<run_event>(*content).event);
        if (end != nullptr) {
            CHECK(end->outcome <= run_outcome::unknown);
            CHECK(end->error.kind <= core::error_kind::internal);
        }
    }
    CHECK(refused > 0);
}
