#pragma once

#include "corneltally/http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evhtp_request;

namespace corneltally::http {

/// A request received by a server, and its response. Once the caller closes its connection, the
/// exchange is closed and ignores all response data.
class exchange
{
public:
    explicit exchange(evhtp_request *inRequest);
    ~exchange();
    exchange(const exchange &) = delete;
    exchange &operator=(const exchange &) = delete;

    /// Method in upper case; "UNKNOWN" for any other than GET, HEAD, POST, PUT, DELETE,
    /// PATCH and OPTIONS.
    const std::string &method() const { return mMethod; }
    /// Path without the query.
    const std::string &path() const { return mPath; }
    const std::string &body() const { return mBody; }
    const header_list &headers() const { return mHeaders; }
    std::string_view header(std::string_view inName) const;
    /// Value of a query parameter; empty if it is absent.
    std::string_view query(std::string_view inName) const;
    const header_list &queryParameters() const { return mQuery; }

    /// Sends a complete response.
    void reply(int inStatus, const header_list &inHeaders, std::string_view inBody);

    /// Sends a complete JSON response.
    void replyJson(int inStatus, std::string_view inBody, header_list inHeaders = {});

    /// Starts a chunked response, continued by sendChunk() and ended by endStream().
    void startStream(int inStatus, const header_list &inHeaders);
    void sendChunk(std::string_view inData);
    void endStream();

    /// Closes the connection without completing the response.
    void abort();

    bool isClosed() const { return mRequest == nullptr; }
    bool isStreaming() const { return mStreaming; }
    bool isAnswered() const { return mAnswered; }
    /// Number of bytes written but not yet passed to the socket.
    std::size_t pendingBytes() const;

    /// Sets a handler that is called at most once, when the caller's connection ends before the
    /// response is complete.
    void onClosed(std::function<void()> inHandler) { mClosedHandler = std::move(inHandler); }

    /// Called by the server when the connection or the request ended.
    void detach();

private:
    void addHeaders(const header_list &inHeaders);

    evhtp_request *mRequest;
    std::string mMethod;
    std::string mPath;
    std::string mBody;
    header_list mHeaders;
    header_list mQuery;
    std::function<void()> mClosedHandler;
    bool mStreaming = false;
    bool mAnswered = false;
};

} // namespace corneltally::http
