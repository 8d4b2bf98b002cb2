#include "corneltally/http/exchange.h"

#include <cassert>

#include <evhtp.h>

namespace corneltally::http {

namespace {

std::string_view methodName(htp_method inMethod)
{
    switch (inMethod) {
    case htp_method_GET:
        return "GET";
    case htp_method_HEAD:
        return "HEAD";
    case htp_method_POST:
        return "POST";
    case htp_method_PUT:
        return "PUT";
    case htp_method_DELETE:
        return "DELETE";
    case htp_method_PATCH:
        return "PATCH";
    case htp_method_OPTIONS:
        return "OPTIONS";
    default:
        return "UNKNOWN";
    }
}

int appendPair(evhtp_kv_t *inPair, void *outList)
{
    auto &list = *static_cast<header_list *>(outList);
    list.emplace_back(std::string(inPair->key, inPair->klen),
                      inPair->val == nullptr ? std::string()
                                             : std::string(inPair->val, inPair->vlen));
    return 0;
}

} // namespace

exchange::exchange(evhtp_request *inRequest)
    : mRequest(inRequest)
    , mMethod(methodName(evhtp_request_get_method(inRequest)))
{
    if (inRequest->uri != nullptr) {
        if (inRequest->uri->path != nullptr && inRequest->uri->path->full != nullptr)
            mPath = inRequest->uri->path->full;
        if (inRequest->uri->query != nullptr)
            evhtp_kvs_for_each(inRequest->uri->query, appendPair, &mQuery);
    }
    evhtp_kvs_for_each(inRequest->headers_in, appendPair, &mHeaders);
    const std::size_t length = evbuffer_get_length(inRequest->buffer_in);
    mBody.resize(length);
    evbuffer_remove(inRequest->buffer_in, mBody.data(), length);
}

exchange::~exchange() = default;

std::string_view exchange::header(std::string_view inName) const
{
    return findHeader(mHeaders, inName);
}

std::string_view exchange::query(std::string_view inName) const
{
    return findHeader(mQuery, inName);
}

void exchange::reply(int inStatus, const header_list &inHeaders, std::string_view inBody)
{
    assert(!mAnswered);
    mAnswered = true;
    if (mRequest == nullptr)
        return;
    addHeaders(inHeaders);
    evbuffer_add(mRequest->buffer_out, inBody.data(), inBody.size());
    evhtp_send_reply(mRequest, static_cast<evhtp_res>(inStatus));
}

void exchange::replyJson(int inStatus, std::string_view inBody, header_list inHeaders)
{
    inHeaders.emplace_back("Content-Type", "application/json");
    reply(inStatus, inHeaders, inBody);
}

void exchange::startStream(int inStatus, const header_list &inHeaders)
{
    assert(!mAnswered && !mStreaming);
    mStreaming = true;
    if (mRequest == nullptr)
        return;
    addHeaders(inHeaders);
    evhtp_send_reply_chunk_start(mRequest, static_cast<evhtp_res>(inStatus));
}

void exchange::sendChunk(std::string_view inData)
{
    assert(mStreaming && !mAnswered);
    // A chunk of length 0 would end the response.
    if (mRequest == nullptr || inData.empty())
        return;
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, inData.data(), inData.size());
    evhtp_send_reply_chunk(mRequest, chunk);
    evbuffer_free(chunk);
}

void exchange::endStream()
{
    assert(mStreaming && !mAnswered);
    mAnswered = true;
    if (mRequest != nullptr)
        evhtp_send_reply_chunk_end(mRequest);
}

void exchange::abort()
{
    mAnswered = true;
    mClosedHandler = nullptr;
    if (mRequest == nullptr)
        return;
    evhtp_connection_t *connection = evhtp_request_get_connection(mRequest);
    mRequest = nullptr;
    // The library's callback for this event frees the connection and the request.
    bufferevent_trigger_event(evhtp_connection_get_bev(connection), BEV_EVENT_EOF,
                              BEV_TRIG_DEFER_CALLBACKS);
}

std::size_t exchange::pendingBytes() const
{
    if (mRequest == nullptr)
        return 0;
    bufferevent *stream = evhtp_request_get_bev(mRequest);
    return stream == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream));
}

void exchange::detach()
{
    mRequest = nullptr;
    if (!mAnswered && mClosedHandler) {
        const std::function<void()> handler = std::move(mClosedHandler);
        mClosedHandler = nullptr;
        handler();
    }
}

void exchange::addHeaders(const header_list &inHeaders)
{
    for (const auto &[name, value] : inHeaders) {
        evhtp_headers_add_header(mRequest->headers_out,
                                 evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    }
}

} // namespace corneltally::http
