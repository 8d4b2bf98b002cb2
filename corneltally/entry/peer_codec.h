#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/result.h"
#include "corneltally/entry/peers_messages.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace corneltally::entry {

/// First message on a connection, in both directions.
struct peer_hello
{
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Highest incarnation of the receiver that the sender has seen; 0 if it has seen none.
    std::uint64_t receiverIncarnation = 0;

    friend auto operator<=>(const peer_hello &, const peer_hello &) = default;
};

/// Sent regularly on every connection; shows that the connection makes progress.
struct peer_heartbeat
{
    std::uint64_t incarnation = 0;
    std::uint64_t settingsVersion = 0;
    bool draining = false;
    std::uint64_t receiverIncarnation = 0;

    friend auto operator<=>(const peer_heartbeat &, const peer_heartbeat &) = default;
};

/// The sender is shutting down and accepts no new work.
struct peer_drain_notice
{
    friend auto operator<=>(const peer_drain_notice &, const peer_drain_notice &) = default;
};

/// Any message that a frame between instances can hold.
using wire_message = std::variant<peer_hello, peer_heartbeat, peer_drain_notice, peer_message>;

/// Encodes the body of a frame. Deadlines are sent as the time that remains at inNow.
std::string encodePeerFrame(const wire_message &inMessage, core::time_point inNow);

/// Verifies and decodes the body of a frame. Remaining times become deadlines relative to inNow.
core::result<wire_message> decodePeerFrame(std::string_view inBody, core::time_point inNow);

} // namespace corneltally::entry
