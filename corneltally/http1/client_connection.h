#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http1/message_head.h"
#include "corneltally/http1/message_parser.h"
#include "corneltally/http1/socket_stream.h"
#include "corneltally/kernel/timer.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::http1 {

/// How an exchange with a server ended.
struct exchange_end
{
    enum class kind {
        /// The whole response arrived.
        complete,
        /// No connection could be opened.
        not_connected,
        /// The connection ended early, or the received bytes are not a valid response.
        broken,
        /// The connection was not ready before the request had to be sent.
        not_begun,
    };

    kind outcome = kind::broken;
    /// Whether any byte of the request may have reached the server.
    bool sent = false;
    /// Reason for the log and for labels of metrics.
    std::string_view reason;
    /// Whether the exchange broke because the connection ended.
    bool connectionLost = false;
};

/// Client side of an HTTP/1.1 connection. Carries one exchange at a time.
class client_connection
{
public:
    struct events
    {
        /// Returns whether a response belongs to the request. A response that doesn't is read and
        /// discarded.
        std::function<bool(const response_head &)> accepts;
        std::function<void(const response_head &)> onHead;
        /// Returns whether more of the body is wanted; if not, the exchange ends as broken.
        std::function<bool(std::string_view inData)> onBody;
        /// Last event of an exchange. The handler may destroy the connection.
        std::function<void(const exchange_end &)> onEnd;
    };

    client_connection(kernel::event_loop &inLoop, const address &inTarget,
                      core::duration inDataTimeout);

    /// Sends a request. The head must contain the fields that frame the body. With inSendBefore
    /// nothing is sent from that time on; the exchange then ends as not_begun, later.
    void start(const request_head &inHead, std::string_view inBody, events inEvents,
               std::optional<core::time_point> inSendBefore = std::nullopt);

    /// Whether another exchange may start on this connection.
    bool reusable() const { return mReusable && mStream.isOpen(); }

    const address &target() const { return mTarget; }
    bool used() const { return mExchanges > 0; }

    /// When the last byte arrived, or when the connection was opened.
    core::time_point lastInput() const { return mLastInput; }

    /// Idle time after which the server closes the connection, if it announced one.
    std::optional<core::duration> serverIdleLimit() const { return mServerIdleLimit; }

    /// Whether any byte of the current request may have reached the server.
    bool sent() const { return mStream.sentBytes() > mSentBefore; }

    /// Stops or resumes reading until the end of the exchange.
    void setReading(bool inReading) { mStream.setReading(inReading); }

private:
    void connected();
    void connectTimeExpired();
    void writeBefore(core::time_point inEnd);
    void readInput();
    bool deliver(std::size_t inParsedBytes);
    bool skip(std::size_t inBytes);
    void finish(exchange_end::kind inOutcome, std::string_view inReason,
                bool inConnectionLost = false);
    void streamEnded(stream_end inEnd);
    void endBodyWithConnection();
    void updateReuse(const response_head &inHead);

    socket_stream mStream;
    kernel::timer mConnectTimer;
    kernel::timer mAcknowledgeTimer;
    address mTarget;
    events mEvents;
    std::optional<message_parser> mParser;
    /// Request that is sent once connected, unless mSendBefore has passed.
    std::string mUnsentRequest;
    std::optional<core::time_point> mSendBefore;
    bool mRunning = false;
    bool mConnected = false;
    bool mConnectTimeOver = false;
    bool mReusable = true;
    bool mHeadDelivered = false;
    bool mDropping = false;
    /// Bytes of responses that were not reported in this exchange.
    std::size_t mSkippedBytes = 0;
    std::size_t mSentBefore = 0;
    int mExchanges = 0;
    core::time_point mLastInput;
    std::optional<core::duration> mServerIdleLimit;
};

} // namespace corneltally::http1
