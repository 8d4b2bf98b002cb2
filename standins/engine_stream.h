#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/exchange.h"
#include "standins/adapter_ref.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace standins {

/// What a completion asks for.
struct engine_request
{
    std::string id;
    adapter_ref model;
    /// The caller's "user" field; part of the text, so that a reader can tell answers apart.
    std::string user;
    std::string account;
    bool chat = false;
    bool streamed = false;
    /// The lower number is served first.
    long long priority = 0;
    std::uint64_t promptTokens = 1;
    std::uint64_t maxTokens = 16;
};

/// A run of the engine. Its tokens follow from the request and the index, so that any part can be
/// sent again without being stored.
class engine_stream
{
public:
    using exchange_pointer = std::shared_ptr<corneltally::http::exchange>;

    enum class state { queued, running, finished, broken };

    explicit engine_stream(engine_request inRequest);

    const engine_request &request() const { return mRequest; }
    state current() const { return mState; }
    bool hasCaller() const { return mCaller != nullptr; }
    bool isOver() const { return mState == state::finished || mState == state::broken; }
    std::uint64_t produced() const { return mProduced; }
    corneltally::core::time_point endedAt() const { return mEndedAt; }
    double startedWall() const { return mStartedWall; }

    void start(corneltally::core::time_point inNow, corneltally::core::duration inPrefill);

    /// Lets tokens come into being up to the present; a token time of 0 gives a bounded number.
    void produce(corneltally::core::time_point inNow, corneltally::core::duration inTokenTime);

    /// Shifts the schedule after a stall, so that the missed tokens do not appear at once.
    void delay(corneltally::core::duration inBy) { mFirstTokenAt += inBy; }

    /// Ends a run before its last token.
    void breakOff(corneltally::core::time_point inNow);

    /// Sends tokens from an index to a caller, as events or as one answer. A previous caller's
    /// connection is closed.
    void attach(const exchange_pointer &inExchange, std::uint64_t inFrom, bool inStreamed);

    /// Forgets a caller whose connection ended.
    void detach(const corneltally::http::exchange *inExchange);

    /// Writes what is produced and not sent yet.
    void flush();

    /// Closes the caller's connection in mid-answer.
    void abortCaller();

    /// Text of a token.
    std::string tokenText(std::uint64_t inIndex) const;

private:
    void appendEvent(std::string &ioText, std::uint64_t inIndex) const;
    std::string wholeAnswer() const;
    std::string usage() const;
    void sendWhole();

    engine_request mRequest;
    state mState = state::queued;
    std::uint64_t mProduced = 0;
    corneltally::core::time_point mFirstTokenAt;
    corneltally::core::time_point mEndedAt;
    double mStartedWall = 0;
    std::string mEventHead;
    std::string mTextHead;
    std::string mTextTail;
    exchange_pointer mCaller;
    bool mCallerStreams = false;
    std::uint64_t mSent = 0;
};

} // namespace standins
