#include "corneltally/http/client.h"

#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <map>
#include <optional>
#include <unordered_map>
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
        std::optional<kernel::timer> deadline;
        std::optional<kernel::timer> idleDeadline;
        bool headSeen = false;
        bool transportError = false;
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
        return connection;
    }

    /// Frees a connection after the current callback, because the library may still use it.
    void freeLater(evhttp_connection *inConnection)
    {
        loop.post([inConnection] { evhttp_connection_free(inConnection); });
    }

    void start(running_call &ioCall)
    {
        ioCall.connection = takeConnection(ioCall.request);
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
        if (call->connection != nullptr)
            freeLater(call->connection);
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

    static int sHead(evhttp_request *inRequest, void *inCall)
    {
        auto &call = *static_cast<running_call *>(inCall);
        call.headSeen = true;
        if (call.idleDeadline)
            call.idleDeadline->startOnce(call.request.idleTimeout);
        if (call.events.onHead)
            call.events.onHead(evhttp_request_get_response_code(inRequest), copyHeaders(inRequest));
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
        if (evhttp_request_get_response_code(inRequest) == 0) {
            call.owner->finish(
                call, call.headSeen ? call_outcome::interrupted : call_outcome::not_sent, false);
            return;
        }
        const std::string_view connectionHeader = findHeader(copyHeaders(inRequest), "Connection");
        const bool reusable = !call.request.freshConnection && connectionHeader != "close";
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
    auto collected = std::make_shared<response>();
    call_events events;
    events.onHead = [collected](int inStatus, const header_list &inHeaders) {
        collected->status = inStatus;
        collected->headers = inHeaders;
    };
    events.onData = [collected](std::string_view inData) { collected->body.append(inData); };
    events.onEnd = [collected, handler = std::move(inHandler)](call_outcome inOutcome) {
        collected->outcome = inOutcome;
        handler(*collected);
    };
    return inClient.call(std::move(inRequest), std::move(events));
}

} // namespace corneltally::http
