#pragma once

#include "corneltally/http1/message_parser.h"
#include "review/harness-2/call_record.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// A request of a caller.
struct caller_request
{
    std::string id;
    std::string method = "GET";
    std::string path;
    std::string key;
    /// Model and adapter, number of tokens and parts of the prompt; empty for a plain request.
    std::string model;
    std::string tokens;
    std::string parts;
    std::string body;
    /// How long the caller waits, and says that it does.
    std::chrono::milliseconds patience{5000};
};

/// A request that was sent and what its caller saw.
struct caller_call
{
    caller_request request;
    /// Index of the machine that it was sent to.
    int machine = 0;
    steady::time_point sentAt;
    /// Status of the answer; 0 if none has begun.
    int status = 0;
    /// Whether the answer is complete, and since when the call is over.
    bool complete = false;
    std::optional<steady::time_point> endedAt;
    std::string body;
};

/// Callers that send at given times, each on a connection of its own, without waiting for other
/// answers.
class open_caller
{
public:
    explicit open_caller(std::string inHost)
        : mHost(std::move(inHost))
    { }
    ~open_caller();
    open_caller(const open_caller &) = delete;
    open_caller &operator=(const open_caller &) = delete;

    /// Sends a request to an address. Returns the index of the call.
    std::size_t send(const caller_request &inRequest, int inMachine, const std::string &inAddress,
                     unsigned short inPort);

    /// Reads answers until a time. A call is over when its answer is complete, its connection has
    /// ended or its patience is over.
    void run(steady::time_point inUntil);

    const std::vector<caller_call> &calls() const { return mCalls; }
    std::size_t open() const { return mOpen.size(); }

private:
    struct connection
    {
        std::size_t call = 0;
        int socket = -1;
        bool connected = false;
        std::string unsent;
        /// Bytes that wait for the rest of their line.
        std::string unparsed;
        corneltally::http1::message_parser parser;
    };

    std::string textOf(const caller_request &inRequest) const;
    /// Returns false if the call is over.
    bool serve(connection &ioConnection, short inEvents);
    bool sendMore(connection &ioConnection);
    bool read(connection &ioConnection);

    std::string mHost;
    std::vector<caller_call> mCalls;
    std::vector<std::unique_ptr<connection>> mOpen;
};

} // namespace review
