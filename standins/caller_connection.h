#pragma once

#include "corneltally/http/client.h"
#include "corneltally/http1/message_parser.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace standins {

/// How a connection ended, as far as its caller can see.
enum class connection_end {
    none,
    /// The other side ended its direction; the caller may still write.
    orderly,
    /// Also a connection that could not be opened.
    reset
};

/// A request that its caller sent in full.
struct sent_request
{
    std::string id;
    /// When its last byte was sent.
    std::chrono::steady_clock::time_point sent;
    /// Whether the caller could see, before it began to send, that the connection was closing.
    bool sentOnClosing = false;
    /// Status of the answer; zero if none began.
    int status = 0;
    /// Body of the answer, as far as it has arrived.
    std::string body;
    /// Whether the answer is complete.
    bool answered = false;

    friend bool operator==(const sent_request &, const sent_request &) = default;
};

/// A request with a body as it is sent on a connection.
std::string requestText(const corneltally::http::call_request &inCall);

/// The caller's side of a connection, by plain socket calls that don't wait. It stays open when the
/// other side ends its direction, and accounts for requests and answers.
class caller_connection
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit caller_connection(unsigned short inPort);
    ~caller_connection();
    caller_connection(const caller_connection &) = delete;
    caller_connection &operator=(const caller_connection &) = delete;

    int socket() const { return mSocket; }
    /// Events to wait for, beside errors, before the next call of receive().
    short pollEvents() const;

    /// Sends bytes that complete the requests with the given ids. The beginning of a request may be
    /// sent before, without its id.
    void send(std::string_view inBytes, const std::vector<std::string> &inIds);
    /// Reads what has arrived.
    void receive();

    connection_end end() const { return mEnd; }
    /// When the end of the other direction, or the reset, was seen.
    time_point endSeen() const { return mEndSeen; }
    /// Whether the other side ended its direction or announced that in an answer.
    bool isClosing() const { return mClosing; }
    bool awaitsAnswer() const;
    /// Whether requests wait for an answer or for the reset that shows that they were not read. A
    /// further send could cause a reset by itself.
    bool mustKeepQuiet() const;

    const std::vector<sent_request> &requests() const { return mRequests; }
    /// Once the connection has ended: requests that were read and got no complete answer, although
    /// the caller could not know that the connection was closing. A reset shows that the requests
    /// to which no answer began were not read.
    std::vector<sent_request> lost() const;

private:
    void answerReceived();
    void endedWith(connection_end inEnd);
    bool hasFailed();

    int mSocket = -1;
    connection_end mEnd = connection_end::none;
    time_point mEndSeen;
    bool mClosing = false;
    /// A request was begun, and whether the connection was closing then.
    bool mBegun = false;
    bool mBegunOnClosing = false;
    /// Status of an answer that came before its request was sent in full.
    int mEarlyStatus = 0;
    std::vector<sent_request> mRequests;
    /// Index of the request that the next answer belongs to.
    std::size_t mNext = 0;
    std::string mInput;
    corneltally::http1::message_parser mAnswer;
};

} // namespace standins
