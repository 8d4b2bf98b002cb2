#include "corneltally/http/client.h"

#include "corneltally/http1/body_framing.h"
#include "corneltally/http1/message_head.h"
#include "corneltally/http1/socket_condition.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace corneltally::http {

namespace {

constexpr std::size_t cMaxIdlePerTarget = 64;
/// Status of a response after which the final one follows.
constexpr int cContinue = 100;
/// Statuses of responses without a body.
constexpr int cNoContent = 204;
constexpr int cNotModified = 304;
/// Limit on the size of a response head or of its trailer.
constexpr std::size_t cMaxHeadBytes = 64 * 1024;
/// Limit on the bytes of a response that the library holds until they form a unit that it can
/// report, such as a chunk.
constexpr std::size_t cMaxUnparsedBytes = 16 * 1024 * 1024 + cMaxHeadBytes;
/// Limit on the body of a response that fetch() collects.
constexpr std::size_t cMaxFetchedBytes = 16 * 1024 * 1024;

evhttp_cmd_type commandOf(std::string_view inMethod)
{
    if (inMethod == "POST")
        return EVHTTP_REQ_POST;
    if (inMethod == "PUT")
        return EVHTTP_REQ_PUT;
    if (inMethod == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (inMethod == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_GET;
}

header_list copyHeaders(evhttp_request *inRequest)
{
    header_list headers;
    const evkeyvalq *source = evhttp_request_get_input_headers(inRequest);
    for (const evkeyval *entry = source->tqh_first; entry != nullptr; entry = entry->next.tqe_next)
        headers.emplace_back(entry->key, entry->value);
    return headers;
}

/// Whether a head is one of HTTP. The library accepts any name, coding and status but 0.
bool isValidHead(int inStatus, const header_list &inHeaders)
{
    http1::body_framing framing;
    return http1::isValidStatus(inStatus)
        && std::ranges::all_of(inHeaders, [&framing](const auto &inHeader) {
               return framing.add(inHeader.first, inHeader.second);
           });
}

/// Whether only the end of the connection ends the body of a response.
bool endsWithConnection(int inStatus, const header_list &inHeaders)
{
    return inStatus != cNoContent && inStatus != cNotModified
        && findHeader(inHeaders, "Content-Length").empty()
        && findHeader(inHeaders, "Transfer-Encoding").empty();
}

} // namespace

struct client::implementation
{
    struct running_call
    {
        implementation *owner = nullptr;
        call_id id = 0;
        call_request request;
        call_events events;
        evhttp_connection *connection = nullptr;
        evhttp_request *wireRequest = nullptr;
        /// Watches the size of the connection's input while the call runs.
        evbuffer_cb_entry *inputWatch = nullptr;
        std::optional<kernel::timer> deadline;
        std::optional<kernel::timer> idleDeadline;
        bool headSeen = false;
        bool transportError = false;
        bool tooLong = false;
        /// Whether the server had received the request when the connection ended.
        bool received = false;
    };

    kernel::event_loop &loop;
    call_id nextId = 1;
    std::unordered_map<call_id, std::unique_ptr<running_call>> calls;
    std::map<address, std::vector<evhttp_connection *>> idle;

    explicit implementation(kernel::event_loop &inLoop)
        : loop(inLoop)
    { }

    evhttp_connection *takeConnection(const call_request &inRequest)
    {
        std::vector<evhttp_connection *> &pool = idle[inRequest.target];
        if (!inRequest.freshConnection && !pool.empty()) {
            evhttp_connection *connection = pool.back();
            pool.pop_back();
            return connection;
        }
        evhttp_connection *connection = evhttp_connection_base_new(
            loop.base(), nullptr, inRequest.target.host.c_str(), inRequest.target.port);
        evhttp_connection_set_retries(connection, 0);
        // Each call has its own timers. The library's timeout would end long streams, so it is set
        // to 24 h.
        evhttp_connection_set_timeout(connection, 86'400);
        evhttp_connection_set_max_headers_size(connection, cMaxHeadBytes);
        return connection;
    }

    static evbuffer *inputOf(evhttp_connection *inConnection)
    {
        return bufferevent_get_input(evhttp_connection_get_bufferevent(inConnection));
    }

    static void unwatch(running_call &ioCall)
    {
        evhttp_connection_set_closecb(ioCall.connection, nullptr, nullptr);
        if (ioCall.inputWatch != nullptr)
            evbuffer_remove_cb_entry(inputOf(ioCall.connection),
                                     std::exchange(ioCall.inputWatch, nullptr));
    }

    /// The library sets no limit on a chunk or on the line that precedes it.
    static void sInputChanged(evbuffer *inInput, const evbuffer_cb_info *inChange, void *inCall)
    {
        auto &call = *static_cast<running_call *>(inCall);
        if (inChange->n_added == 0 || call.tooLong
            || evbuffer_get_length(inInput) <= cMaxUnparsedBytes)
            return;
        call.tooLong = true;
        // The call can't end inside this callback, in which the library fills its buffer.
        call.deadline->cancel();
        call.deadline->startOnce(core::duration::zero());
    }

    /// Called before the library closes a connection, which it may do before it reports the
    /// response.
    static void sClosing(evhttp_connection *inConnection, void *inCall)
    {
        const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(inConnection));
        static_cast<running_call *>(inCall)->received
            = !http1::hasFailed(socket) && http1::isAcknowledged(socket);
    }

    /// Frees a connection after the current callback, because the library may still use it.
    void freeLater(evhttp_connection *inConnection)
    {
        loop.post([inConnection] { evhttp_connection_free(inConnection); });
    }

    void start(running_call &ioCall)
    {
        ioCall.connection = takeConnection(ioCall.request);
        ioCall.inputWatch = evbuffer_add_cb(inputOf(ioCall.connection), &sInputChanged, &ioCall);
        evhttp_connection_set_closecb(ioCall.connection, &sClosing, &ioCall);
        ioCall.wireRequest = evhttp_request_new(&sDone, &ioCall);
        evhttp_request_set_header_cb(ioCall.wireRequest, &sHead);
        evhttp_request_set_chunked_cb(ioCall.wireRequest, &sData);
        evhttp_request_set_error_cb(ioCall.wireRequest, &sError);
        evkeyvalq *headers = evhttp_request_get_output_headers(ioCall.wireRequest);
        if (findHeader(ioCall.request.headers, "Host").empty())
            evhttp_add_header(headers, "Host", ioCall.request.target.toString().c_str());
        for (const auto &[name, value] : ioCall.request.headers)
            evhttp_add_header(headers, name.c_str(), value.c_str());
        if (!ioCall.request.body.empty()) {
            evbuffer_add(evhttp_request_get_output_buffer(ioCall.wireRequest),
                         ioCall.request.body.data(), ioCall.request.body.size());
        }
        ioCall.deadline.emplace(loop, [this, id = ioCall.id] { interrupt(id); });
        ioCall.deadline->startOnce(ioCall.request.timeout);
        if (ioCall.request.idleTimeout.count() > 0) {
            ioCall.idleDeadline.emplace(loop, [this, id = ioCall.id] { interrupt(id); });
            ioCall.idleDeadline->startOnce(ioCall.request.idleTimeout);
        }
        evhttp_make_request(ioCall.connection, ioCall.wireRequest, commandOf(ioCall.request.method),
                            ioCall.request.path.c_str());
    }

    /// Removes a call and closes its connection once the current callback has returned. The library
    /// reports nothing more of the call.
    std::unique_ptr<running_call> takeAndClose(call_id inId)
    {
        const auto found = calls.find(inId);
        if (found == calls.end())
            return nullptr;
        std::unique_ptr<running_call> call = std::move(found->second);
        calls.erase(found);
        if (call->wireRequest != nullptr) {
            evhttp_request_set_error_cb(call->wireRequest, nullptr);
            evhttp_request_set_chunked_cb(call->wireRequest, nullptr);
            evhttp_request_set_header_cb(call->wireRequest, nullptr);
            call->wireRequest->cb = [](evhttp_request *, void *) {};
            call->wireRequest = nullptr;
        }
        if (call->connection != nullptr) {
            unwatch(*call);
            freeLater(call->connection);
        }
        return call;
    }

    void interrupt(call_id inId)
    {
        const std::unique_ptr<running_call> call = takeAndClose(inId);
        if (call && call->events.onEnd)
            call->events.onEnd(call_outcome::interrupted);
    }

    void finish(running_call &ioCall, call_outcome inOutcome, bool inReusable)
    {
        const auto found = calls.find(ioCall.id);
        const std::unique_ptr<running_call> call = std::move(found->second);
        calls.erase(found);
        unwatch(*call);
        std::vector<evhttp_connection *> &pool = idle[call->request.target];
        if (inReusable && pool.size() < cMaxIdlePerTarget)
            // The library uses the connection until this callback returns.
            loop.post([this, connection = call->connection, target = call->request.target] {
                idle[target].push_back(connection);
            });
        else
            freeLater(call->connection);
        if (call->events.onEnd)
            call->events.onEnd(inOutcome);
    }

    static void sError(evhttp_request_error, void *inCall)
    {
        static_cast<running_call *>(inCall)->transportError = true;
    }

    /// Returns -1 if the response is broken; the library then reports the call as failed.
    static int sHead(evhttp_request *inRequest, void *inCall)
    {
        auto &call = *static_cast<running_call *>(inCall);
        call.headSeen = true;
        const int status = evhttp_request_get_response_code(inRequest);
        const header_list headers = copyHeaders(inRequest);
        if (!isValidHead(status, headers))
            return -1;
        if (call.idleDeadline)
            call.idleDeadline->startOnce(call.request.idleTimeout);
        // The library skips this response, but takes other interim ones for final.
        if (status == cContinue)
            return 0;
        if (status / 100 == 1)
            return -1;
        if (call.events.onHead)
            call.events.onHead(status, headers);
        return 0;
    }

    static void sData(evhttp_request *inRequest, void *inCall)
    {
        auto &call = *static_cast<running_call *>(inCall);
        if (call.idleDeadline)
            call.idleDeadline->startOnce(call.request.idleTimeout);
        evbuffer *input = evhttp_request_get_input_buffer(inRequest);
        std::string data(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, data.data(), data.size());
        if (call.events.onData && !data.empty())
            call.events.onData(data);
    }

    static void sDone(evhttp_request *inRequest, void *inCall)
    {
        auto &call = *static_cast<running_call *>(inCall);
        call.wireRequest = nullptr;
        if (inRequest == nullptr || call.transportError) {
            call.owner->finish(call, call_outcome::interrupted, false);
            return;
        }
        // After a failed connect, the library reports a request with status 0 and no error.
        const int status = evhttp_request_get_response_code(inRequest);
        if (status == 0) {
            call.owner->finish(
                call, call.headSeen ? call_outcome::interrupted : call_outcome::not_sent, false);
            return;
        }
        const header_list headers = copyHeaders(inRequest);
        if (endsWithConnection(status, headers)) {
            if (bufferevent_getfd(evhttp_connection_get_bufferevent(call.connection)) >= 0)
                sClosing(call.connection, &call);
            // A server whose process ends in the middle of its response closes its connections too,
            // but resets them when more of the request arrives.
            call.owner->finish(
                call, call.received ? call_outcome::completed : call_outcome::interrupted, false);
            return;
        }
        const bool reusable
            = !call.request.freshConnection && findHeader(headers, "Connection") != "close";
        call.owner->finish(call, call_outcome::completed, reusable);
    }
};

client::client(kernel::event_loop &inLoop)
    : mImplementation(std::make_unique<implementation>(inLoop))
{ }

client::~client()
{
    while (!mImplementation->calls.empty())
        cancel(mImplementation->calls.begin()->first);
    for (const auto &[target, pool] : mImplementation->idle) {
        for (evhttp_connection *connection : pool)
            evhttp_connection_free(connection);
    }
}

client::call_id client::call(call_request inRequest, call_events inEvents)
{
    auto call = std::make_unique<implementation::running_call>();
    const call_id id = mImplementation->nextId++;
    call->owner = mImplementation.get();
    call->id = id;
    call->request = std::move(inRequest);
    call->events = std::move(inEvents);
    mImplementation->calls.emplace(id, std::move(call));
    // Starts the call later, so that even an immediate failure is not reported inside call().
    mImplementation->loop.post([self = mImplementation.get(), id] {
        const auto found = self->calls.find(id);
        if (found != self->calls.end())
            self->start(*found->second);
    });
    return id;
}

void client::cancel(call_id inCall)
{
    // This may run inside an event of the call, so its handlers are destroyed later.
    std::shared_ptr<implementation::running_call> call = mImplementation->takeAndClose(inCall);
    if (call)
        mImplementation->loop.post([keep = std::move(call)] {});
}

client::call_id fetch(client &inClient, call_request inRequest,
                      std::function<void(const response &)> inHandler)
{
    struct collected_response
    {
        response result;
        client::call_id call = 0;
        std::function<void(const response &)> handler;
    };
    auto collected = std::make_shared<collected_response>();
    collected->handler = std::move(inHandler);
    call_events events;
    events.onHead = [collected](int inStatus, const header_list &inHeaders) {
        collected->result.status = inStatus;
        collected->result.headers = inHeaders;
    };
    events.onData = [collected, &inClient](std::string_view inData) {
        collected->result.body.append(inData);
        if (collected->result.body.size() <= cMaxFetchedBytes)
            return;
        inClient.cancel(collected->call);
        collected->result = {};
        collected->handler(collected->result);
    };
    events.onEnd = [collected](call_outcome inOutcome) {
        collected->result.outcome = inOutcome;
        collected->handler(collected->result);
    };
    collected->call = inClient.call(std::move(inRequest), std::move(events));
    return collected->call;
}

} // namespace corneltally::http
