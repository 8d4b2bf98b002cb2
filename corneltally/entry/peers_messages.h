#pragma once

#include "corneltally/entry/admission_messages.h"
#include "corneltally/entry/dispatch_messages.h"
#include "corneltally/entry/owner_messages.h"
#include "corneltally/entry/run_event.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace corneltally::entry {

/// Asks peers for a share of an account; the answer arrives as loan_granted.
struct loan_request
{
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double tokens = 0;
};

/// Lends a share to a peer.
struct loan_grant
{
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    core::duration validFor{};
};

/// A record of the settings log, passed on as it was read.
struct settings_record
{
    std::uint64_t offset = 0;
    std::string data;

    friend auto operator<=>(const settings_record &, const settings_record &) = default;
};

/// Consecutive records of the settings log; firstOffset is the lowest offset that they follow on.
struct settings_records
{
    std::vector<settings_record> records;
};

/// Asks a peer for records after an offset, or for its tree.
struct settings_request
{
    std::uint64_t afterOffset = 0;
};

/// A whole tree at an offset, as canonical JSON.
struct settings_snapshot
{
    std::uint64_t offset = 0;
    std::string tree;
};

/// Everything that one instance can say to another, apart from hello, heartbeat and drain notice,
/// which the peers service sends itself.
using peer_message
    = std::variant<run_submit, run_cancel, run_event, endpoint_status, loan_request, loan_grant,
                   settings_records, settings_request, settings_snapshot>;

/// Sends a message to a peer, or to all peers if the instance is empty.
struct peer_send
{
    std::string instance;
    peer_message message;
};

/// A message of a peer for the service that handles its type.
template <typename Message>
struct peer_received
{
    std::string instance;
    Message message;
};

/// Which instances are live, from this instance's point of view. Sent on every change.
struct peers_changed
{
    /// Includes this instance unless it is draining; ordered by name.
    std::vector<std::string> live;
    std::vector<std::string> draining;

    friend auto operator<=>(const peers_changed &, const peers_changed &) = default;
};

/// Sending to a peer failed: messages that were queued for it may not have arrived.
struct peer_lost
{
    std::string instance;
};

/// Messages reach the peer from now on: it connected, or connected anew. What it may have missed
/// before has to be sent again.
struct peer_connected
{
    std::string instance;
};

/// Version of the settings tree that a peer has, from its heartbeat.
struct peer_version
{
    std::string instance;
    std::uint64_t version = 0;
};

/// A newer process runs under this instance's name, so that this one must stop.
struct superseded
{ };

/// The process did not run for longer than the limit of the kernel.
struct paused
{
    core::duration gap{};
};

} // namespace corneltally::entry
