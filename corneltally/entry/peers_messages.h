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

/// Requests a share of an account's limits from peers; answered by loan_grant.
struct loan_request
{
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double tokens = 0;
};

/// Lends a share of an account's limits to a peer.
struct loan_grant
{
    std::string account;
    std::uint64_t loanId = 0;
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    core::duration validFor{};
};

/// A record of the settings log, forwarded unchanged, except that a placeholder replaces snapshots.
struct settings_record
{
    std::uint64_t offset = 0;
    std::string data;

    friend auto operator<=>(const settings_record &, const settings_record &) = default;
};

/// Consecutive records of the settings log. An empty list confirms that the receiver is up to date.
struct settings_records
{
    std::vector<settings_record> records;
};

/// Requests the records after an offset from a peer, or its whole tree if it lacks these records or
/// the offset is 0.
struct settings_request
{
    std::uint64_t afterOffset = 0;
};

/// A part of the settings tree at an offset, as a snapshot record.
struct settings_snapshot
{
    std::uint64_t offset = 0;
    std::string tree;
};

/// Any message between services of two instances. The peers service itself sends hello, heartbeat
/// and drain notice.
using peer_message
    = std::variant<run_submit, run_cancel, run_event, endpoint_status, loan_request, loan_grant,
                   settings_records, settings_request, settings_snapshot>;

/// Sends a message to a peer, or to all peers if the instance is empty.
struct peer_send
{
    std::string instance;
    peer_message message;
};

/// A message from a peer, delivered to the services that handle its type.
template <typename Message>
struct peer_received
{
    std::string instance;
    Message message;
};

/// The live and draining instances as seen by this instance. Sent on every change.
struct peers_changed
{
    /// Includes this instance unless it is draining; ordered by name.
    std::vector<std::string> live;
    std::vector<std::string> draining;

    friend auto operator<=>(const peers_changed &, const peers_changed &) = default;
};

/// Sending to a peer failed or its connection was lost: messages sent before may not have arrived.
struct peer_lost
{
    std::string instance;
};

/// The peer connected or reconnected and can be reached. Messages that it may have missed must be
/// sent again.
struct peer_connected
{
    std::string instance;
};

/// Settings version that a peer reported in its heartbeat.
struct peer_settings_version
{
    std::string instance;
    std::uint64_t version = 0;
};

/// A newer process runs under the name of this instance; this process must stop.
struct instance_superseded
{ };

/// The process was suspended for longer than the pause limit of the event loop.
struct process_paused
{
    core::duration gap{};
};

} // namespace corneltally::entry
