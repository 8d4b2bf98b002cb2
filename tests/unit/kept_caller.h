#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http1/message_parser.h"
#include "corneltally/http1/socket_stream.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "paced_endpoint.h"
#include "platform/names.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::front_test {

/// What the callers of a test got for the requests that they had sent whole.
struct caller_tally
{
    std::map<int, int> statuses;
    int streams = 0;
    int cutStreams = 0;
    /// Requests that crossed the closing of their connection.
    int crossed = 0;
    /// Pipelined requests behind the last answer of a connection.
    int behindLast = 0;
    /// Violations, each with the request that it is about.
    std::vector<std::string> faults;
};

/// A caller that keeps its connection and sends requests of many kinds, some of them before it has
/// the last answer. Judges the answers by what it sees itself.
class kept_caller
{
public:
    struct surroundings
    {
        kernel::event_loop &loop;
        http1::address target;
        const endpoint_record &endpoints;
        /// Shortest time that any configuration gives a request.
        core::duration shortestTime{};
        /// When the instance ends the requests that still run.
        core::time_point stopAt = core::time_point::max();
        caller_tally tally = {};
    };

    /// A request that crosses the closing of its connection, and was not passed on, has this long
    /// to get its answer.
    static constexpr core::duration cCrossingTime = 200ms;

    kept_caller(surroundings &ioAround, std::string inName, std::uint32_t inSeed)
        : mAround(ioAround)
        , mName(std::move(inName))
        , mRandom(inSeed)
    {
        mNext.startOnce(std::chrono::milliseconds(draw(60)));
    }

    /// Sends no further requests.
    void stop() { mStopped = true; }
    bool isWaiting() const { return !mOpen.empty(); }

    /// Judges the requests without an answer as the connection ends.
    void connectionEnded()
    {
        mNext.cancel();
        mPieces.clear();
        for (const request &open : std::exchange(mOpen, {})) {
            if (!mStream || mStream->sentBytes() < open.end)
                break;
            if (mCutOrLast)
                ++mAround.tally.behindLast;
            else if (mParser.headComplete())
                judgeCut(open);
            else
                judgeUnanswered(open);
        }
        mStream.reset();
        if (!mStopped)
            mNext.startOnce(std::chrono::milliseconds(1 + draw(30)));
    }

private:
    struct request
    {
        std::string id;
        bool streams = false;
        /// Offset of its end in what is sent on the connection.
        std::size_t end = 0;
        core::time_point begunAt;
        core::time_point sentAt = core::time_point::max();
    };

    struct piece
    {
        std::string bytes;
        core::duration pause{};
    };

    int draw(int inBelow)
    {
        return static_cast<int>(mRandom() % static_cast<std::uint32_t>(inBelow));
    }

    void fault(const request &inRequest, const std::string &inWhat)
    {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
            core::boot_clock::now() - inRequest.sentAt);
        mAround.tally.faults.push_back(inRequest.id + ", sent " + std::to_string(age.count())
                                       + " ms ago: " + inWhat);
    }

    void connect()
    {
        mParser = http1::message_parser(http1::message_parser::kind::response);
        mBody.clear();
        mCutOrLast = false;
        mPlanned = 0;
        mWritten = 0;
        mStream = std::make_unique<http1::socket_stream>(mAround.loop, mAround.target, 5s);
        mStream->setEvents({.onConnected = {},
                            .onInput = [this] { read(); },
                            .onDrained = {},
                            .onEnd = [this](http1::stream_end) { connectionEnded(); }});
    }

    /// Sends the next piece, or begins the next requests.
    void next()
    {
        if (mPieces.empty()) {
            if (mStopped)
                return;
            if (!mStream)
                connect();
            for (int count = draw(5) == 0 ? 2 + draw(2) : 1; count > 0; --count)
                plan();
        }
        const piece sent = std::move(mPieces.front());
        mPieces.pop_front();
        mStream->write(sent.bytes);
        mWritten += sent.bytes.size();
        for (request &open : mOpen) {
            if (mWritten >= open.end)
                open.sentAt = std::min(open.sentAt, core::boot_clock::now());
        }
        if (!mPieces.empty())
            mNext.startOnce(sent.pause);
    }

    /// Plans a request of a random kind.
    void plan()
    {
        const std::vector<std::string> paths{"/once/",          "/repeat/",    "/once/stream/",
                                             "/repeat/stream/", "/lm/stream/", "/removed/"};
        const std::string &path = paths[static_cast<std::size_t>(draw(6))];
        const std::string id = mName + "-" + std::to_string(++mSent);
        const bool uploads = draw(8) == 0;
        const std::string body(uploads ? 200'000 : 4, 'b');
        std::string text = "POST " + path + "1 HTTP/1.1\r\nHost: shop.example\r\n"
            + std::string(platform::cRequestIdField) + ": " + id + "\r\n"
            + std::string(platform::cAuthorizationField) + ": Token " + (draw(8) == 0 ? "k2" : "k1")
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        if (path.starts_with("/lm/"))
            text += std::string(platform::cModelField) + ": base/a" + std::to_string(draw(3))
                + "\r\n" + std::string(platform::cTokenCountField) + ": 100,20\r\n";
        if (draw(8) == 0)
            text += "Padding: " + std::string(6'000, 'p') + "\r\n";
        text += "\r\n" + body;
        mPlanned += text.size();
        mOpen.push_back({.id = id,
                         .streams = path.find("stream") != std::string::npos,
                         .end = mPlanned,
                         .begunAt = core::boot_clock::now()});
        const std::size_t pieces = uploads ? 12 : draw(6) == 0 ? 2 : 1;
        const std::size_t size = text.size() / pieces + 1;
        for (std::size_t begin = 0; begin < text.size(); begin += size)
            mPieces.push_back(
                {text.substr(begin, size), std::chrono::milliseconds(draw(2) == 0 ? 0 : draw(40))});
    }

    void read()
    {
        while (mStream && !mStream->input().empty()) {
            if (mOpen.empty()) {
                mAround.tally.faults.push_back(mName + ": bytes that answer no request");
                connectionEnded();
                return;
            }
            const std::size_t taken = mParser.feed(mStream->input());
            mStream->consume(taken);
            mBody += mParser.takeBody();
            if (mParser.failed()) {
                fault(mOpen.front(), "the bytes are not an answer");
                connectionEnded();
                return;
            }
            if (mParser.complete())
                answered();
            else if (taken == 0)
                return;
        }
    }

    void answered()
    {
        const request done = mOpen.front();
        mOpen.pop_front();
        const http1::response_head head = mParser.response();
        ++mAround.tally.statuses[head.status];
        const auto named = http1::findField(head.fields, platform::cRequestIdField);
        if (named && *named != done.id)
            fault(done, "got the answer to " + std::string(*named));
        if (head.status == 200)
            judgeBody(done);
        mParser = http1::message_parser(http1::message_parser::kind::response);
        mBody.clear();
        if (!head.keepAlive) {
            mCutOrLast = true;
            connectionEnded();
        } else if (mOpen.empty()) {
            mNext.startOnce(std::chrono::milliseconds(draw(8) == 0 ? 200 + draw(300) : draw(40)));
        }
    }

    void judgeBody(const request &inRequest)
    {
        std::string expected;
        for (int number = 1; inRequest.streams && number <= cStreamEvents; ++number)
            expected += streamEvent(inRequest.id, number);
        if (mBody != (inRequest.streams ? expected : inRequest.id))
            fault(inRequest, "got a wrong or incomplete body as a complete one");
        mAround.tally.streams += inRequest.streams ? 1 : 0;
    }

    void judgeCut(const request &inRequest)
    {
        mCutOrLast = true;
        const core::time_point now = core::boot_clock::now();
        if (!inRequest.streams)
            fault(inRequest, "an answer that is no stream was cut");
        else if (mParser.endsWithConnection())
            fault(inRequest, "a stream was cut and looks complete");
        else if (!mAround.endpoints.broken.contains(inRequest.id) && now < mAround.stopAt
                 && now - inRequest.begunAt < mAround.shortestTime)
            fault(inRequest, "a stream was cut without a reason");
        ++mAround.tally.cutStreams;
    }

    void judgeUnanswered(const request &inRequest)
    {
        if (mAround.endpoints.received.contains(inRequest.id))
            fault(inRequest, "was passed on and got no answer");
        else if (core::boot_clock::now() - inRequest.sentAt > cCrossingTime)
            fault(inRequest, "got no answer");
        else
            ++mAround.tally.crossed;
    }

    surroundings &mAround;
    std::string mName;
    std::minstd_rand mRandom;
    kernel::timer mNext{mAround.loop, [this] { next(); }};
    std::unique_ptr<http1::socket_stream> mStream;
    http1::message_parser mParser{http1::message_parser::kind::response};
    std::string mBody;
    /// Requests without a complete answer, the oldest first.
    std::deque<request> mOpen;
    std::deque<piece> mPieces;
    /// Bytes of the requests on this connection, and those that were written of them.
    std::size_t mPlanned = 0;
    std::size_t mWritten = 0;
    int mSent = 0;
    bool mStopped = false;
    /// Whether the connection carries no further answer.
    bool mCutOrLast = false;
};

} // namespace corneltally::front_test
