#pragma once

#include "corneltally/http1/listener.h"
#include "corneltally/http1/message_head.h"
#include "corneltally/http1/message_parser.h"
#include "corneltally/http1/socket_stream.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "platform/names.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace corneltally::front_test {

using namespace std::chrono_literals;

/// Events of each stream of a paced_endpoint.
inline constexpr int cStreamEvents = 8;

inline std::string streamEvent(const std::string &inRequest, int inNumber)
{
    return "id: " + std::to_string(inNumber) + "\ndata: " + inRequest + "\n\n";
}

inline std::string chunked(const std::string &inData)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", inData.size());
    return size.data() + inData + "\r\n";
}

/// What the endpoints of a test did with the requests that reached them, by request id.
struct endpoint_record
{
    std::set<std::string> received;
    /// Requests whose answer an endpoint broke off.
    std::set<std::string> broken;
};

/// An endpoint that takes some time for each answer. It fails only if told to.
class paced_endpoint
{
public:
    paced_endpoint(kernel::event_loop &inLoop, std::uint32_t inSeed, bool inFails,
                   endpoint_record &outRecord)
        : mLoop(inLoop)
        , mRandom(inSeed)
        , mFails(inFails)
        , mRecord(outRecord)
    {
        REQUIRE(mListener.listen({"127.0.0.1", 0}));
    }

    http1::address address() const { return {"127.0.0.1", mListener.port()}; }

    /// Takes no further connections. The answers in progress are completed, and their connections
    /// are then closed.
    void leave()
    {
        mLeaving = true;
        mListener.stop();
        for (const auto &entry : mConnections) {
            if (!entry->busy)
                entry->stream.shutdownWrite();
        }
    }

private:
    struct connection
    {
        connection(kernel::event_loop &inLoop, int inSocket, paced_endpoint &ioOwner)
            : stream(inLoop, inSocket, 5s)
            , pace(inLoop, [this, &ioOwner] { ioOwner.step(*this); })
        { }

        http1::socket_stream stream;
        kernel::timer pace;
        http1::message_parser parser{http1::message_parser::kind::request};
        std::string request;
        bool busy = false;
        bool closes = false;
        int nextEvent = 0;
        /// Event before which the answer is broken off; 0: none.
        int breaksBefore = 0;
    };

    int draw(int inBelow)
    {
        return static_cast<int>(mRandom() % static_cast<std::uint32_t>(inBelow));
    }

    void accept(int inSocket)
    {
        mConnections.push_back(std::make_unique<connection>(mLoop, inSocket, *this));
        connection &entry = *mConnections.back();
        entry.stream.setEvents({.onConnected = {},
                                .onInput = [this, &entry] { read(entry); },
                                .onDrained = {},
                                .onEnd =
                                    [&entry](http1::stream_end) {
                                        entry.pace.cancel();
                                        entry.stream.close();
                                    }});
    }

    void read(connection &ioEntry)
    {
        while (!ioEntry.busy && !ioEntry.stream.input().empty()) {
            const std::size_t taken = ioEntry.parser.feed(ioEntry.stream.input());
            ioEntry.stream.consume(taken);
            if (ioEntry.parser.complete())
                begin(ioEntry);
            else if (taken == 0)
                return;
        }
    }

    void begin(connection &ioEntry)
    {
        const http1::request_head &head = ioEntry.parser.request();
        const auto field = [&head](std::string_view inName) {
            return std::string(http1::findField(head.fields, inName).value_or(""));
        };
        ioEntry.busy = true;
        ioEntry.request = field(platform::cRequestIdField);
        mRecord.received.insert(ioEntry.request);
        const bool streams = head.target.find("/stream/") != std::string::npos;
        const int last = std::atoi(field(platform::cLastEventIdField).c_str());
        ioEntry.nextEvent = streams ? last + 1 : 0;
        ioEntry.closes = mLeaving || draw(10) == 0;
        ioEntry.breaksBefore = mFails && draw(8) == 0 ? 1 + draw(cStreamEvents) : 0;
        if (streams)
            ioEntry.stream.write(headOf(ioEntry, 200)
                                 + "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
        ioEntry.pace.startOnce(std::chrono::milliseconds(draw(120)));
    }

    std::string headOf(const connection &inEntry, int inStatus) const
    {
        std::string head = "HTTP/1.1 " + std::to_string(inStatus) + " Scripted\r\n"
            + std::string(platform::cSealField) + ": s1\r\n"
            + std::string(platform::cRequestIdField) + ": " + inEntry.request + "\r\n";
        if (inEntry.closes)
            head += "Connection: close\r\n";
        if (mLeaving)
            head += std::string(platform::cLeavingField) + ": 1\r\n";
        return head;
    }

    /// Sends the next part of an answer.
    void step(connection &ioEntry)
    {
        if (ioEntry.breaksBefore > 0 && ioEntry.nextEvent >= ioEntry.breaksBefore) {
            breakOff(ioEntry);
            return;
        }
        if (ioEntry.nextEvent > 0 && ioEntry.nextEvent <= cStreamEvents) {
            ioEntry.stream.write(chunked(streamEvent(ioEntry.request, ioEntry.nextEvent)));
            ++ioEntry.nextEvent;
            ioEntry.pace.startOnce(std::chrono::milliseconds(draw(50)));
            return;
        }
        if (ioEntry.nextEvent > 0) {
            ioEntry.stream.write("0\r\n\r\n");
        } else if (mFails && draw(8) == 0) {
            const bool refuses = draw(2) == 0;
            ioEntry.stream.write(
                headOf(ioEntry, refuses ? 503 : 500)
                + (refuses ? std::string(platform::cNotExecutedField) + ": 1\r\n" : "")
                + "Content-Length: 0\r\n\r\n");
        } else {
            ioEntry.stream.write(headOf(ioEntry, 200)
                                 + "Content-Length: " + std::to_string(ioEntry.request.size())
                                 + "\r\n\r\n" + ioEntry.request);
        }
        ioEntry.busy = false;
        ioEntry.parser = http1::message_parser(http1::message_parser::kind::request);
        if (ioEntry.closes || mLeaving)
            ioEntry.stream.shutdownWrite();
        else
            read(ioEntry);
    }

    void breakOff(connection &ioEntry)
    {
        mRecord.broken.insert(ioEntry.request);
        if (draw(2) == 0)
            ioEntry.stream.reset();
        else
            ioEntry.stream.close();
    }

    kernel::event_loop &mLoop;
    std::minstd_rand mRandom;
    bool mFails = false;
    bool mLeaving = false;
    endpoint_record &mRecord;
    std::vector<std::unique_ptr<connection>> mConnections;
    http1::listener mListener{mLoop, [this](int inSocket) { accept(inSocket); }};
};

} // namespace corneltally::front_test
