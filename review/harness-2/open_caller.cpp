#include "review/harness-2/open_caller.h"

#include "platform/names.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace platform = corneltally::platform;
using corneltally::http1::message_parser;

namespace {

constexpr int cMaxPollMs = 5;

void addField(std::string &ioText, std::string_view inName, std::string_view inValue)
{
    if (!inValue.empty())
        ioText.append(inName).append(": ").append(inValue).append("\r\n");
}

} // namespace

open_caller::~open_caller()
{
    for (const auto &entry : mOpen)
        close(entry->socket);
}

std::string open_caller::textOf(const caller_request &inRequest) const
{
    std::string text = inRequest.method + " " + inRequest.path + " HTTP/1.1\r\n";
    addField(text, "Host", mHost);
    addField(text, platform::cRequestIdField, inRequest.id);
    addField(text, platform::cModelField, inRequest.model);
    addField(text, platform::cTokenCountField, inRequest.tokens);
    addField(text, platform::cPromptPrefixField, inRequest.parts);
    addField(text, platform::cDeadlineField, std::to_string(inRequest.patience.count()));
    addField(text, platform::cAuthorizationField,
             std::string(platform::cAuthorizationScheme) + inRequest.key);
    if (inRequest.method != "GET")
        addField(text, "Content-Length", std::to_string(inRequest.body.size()));
    return text.append("\r\n").append(inRequest.body);
}

std::size_t open_caller::send(const caller_request &inRequest, int inMachine,
                              const std::string &inAddress, unsigned short inPort)
{
    const std::size_t index = mCalls.size();
    mCalls.push_back({.request = inRequest, .machine = inMachine, .sentAt = steady::now()});
    auto added = std::make_unique<connection>(
        connection{.call = index,
                   .socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0),
                   .unsent = textOf(inRequest),
                   .parser = message_parser(message_parser::kind::response)});
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inPort);
    inet_pton(AF_INET, inAddress.c_str(), &target.sin_addr);
    const int failed
        = connect(added->socket, reinterpret_cast<sockaddr *>(&target), sizeof(target));
    if (failed != 0 && errno != EINPROGRESS) {
        mCalls[index].endedAt = steady::now();
        close(added->socket);
        return index;
    }
    mOpen.push_back(std::move(added));
    return index;
}

void open_caller::run(steady::time_point inUntil)
{
    do {
        std::vector<pollfd> wanted;
        wanted.reserve(mOpen.size());
        for (const auto &entry : mOpen)
            wanted.push_back(
                {.fd = entry->socket,
                 .events = static_cast<short>(entry->unsent.empty() ? POLLIN : POLLIN | POLLOUT),
                 .revents = 0});
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(inUntil - steady::now());
        poll(wanted.data(), wanted.size(),
             static_cast<int>(std::clamp<long long>(left.count(), 0, cMaxPollMs)));
        std::vector<std::unique_ptr<connection>> kept;
        for (std::size_t index = 0; index < mOpen.size(); ++index) {
            caller_call &call = mCalls[mOpen[index]->call];
            const bool isPatient = steady::now() < call.sentAt + call.request.patience;
            if (serve(*mOpen[index], wanted[index].revents) && isPatient) {
                kept.push_back(std::move(mOpen[index]));
                continue;
            }
            call.endedAt = steady::now();
            close(mOpen[index]->socket);
        }
        mOpen = std::move(kept);
    } while (steady::now() < inUntil);
}

bool open_caller::serve(connection &ioConnection, short inEvents)
{
    if (inEvents == 0)
        return true;
    if ((inEvents & POLLOUT) != 0 && !sendMore(ioConnection))
        return false;
    return (inEvents & (POLLIN | POLLHUP | POLLERR)) == 0 || read(ioConnection);
}

bool open_caller::sendMore(connection &ioConnection)
{
    const ssize_t count = ::send(ioConnection.socket, ioConnection.unsent.data(),
                                 ioConnection.unsent.size(), MSG_NOSIGNAL);
    if (count < 0)
        return errno == EAGAIN;
    ioConnection.unsent.erase(0, static_cast<std::size_t>(count));
    return true;
}

bool open_caller::read(connection &ioConnection)
{
    std::array<char, 16384> buffer{};
    const ssize_t count = recv(ioConnection.socket, buffer.data(), buffer.size(), 0);
    if (count < 0)
        return errno == EAGAIN;
    if (count == 0)
        return false;
    caller_call &call = mCalls[ioConnection.call];
    message_parser &parser = ioConnection.parser;
    std::string &input = ioConnection.unparsed;
    input.append(buffer.data(), static_cast<std::size_t>(count));
    while (!input.empty()) {
        const std::size_t taken = parser.feed(input);
        input.erase(0, taken);
        if (parser.failed() || taken == 0)
            break;
    }
    if (parser.headComplete())
        call.status = parser.response().status;
    call.body.append(parser.takeBody());
    call.complete = parser.complete();
    return !parser.failed() && !call.complete;
}

} // namespace review
