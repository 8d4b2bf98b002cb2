#pragma once

#include "corneltally/core/boot_clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::membership {

/// State of a peer by the time since its last progress.
enum class peer_state : std::uint8_t {
    /// Listed in the tree, but no message was received since this process started.
    unknown,
    live,
    /// Silent for at least peer_table::cSuspectAfter: a new connection should be tried.
    suspect,
    /// Silent for at least peer_table::cDownAfter.
    down,
};

/// What a message or progress of an instance changed.
enum class update_outcome : std::uint8_t {
    /// From the known incarnation; its last progress was updated.
    current,
    /// First message of the peer, or from a newer incarnation that replaces the known one.
    replaced,
    /// From an older incarnation than the known one; ignored.
    outdated,
    /// From a newer incarnation with this instance's own name: this process must stop.
    superseded,
    /// From this process itself, or from a name that the tree does not list; ignored.
    ignored,
};

/// Tracks which instances are live, as seen by this instance.
class peer_table
{
public:
    /// Time without progress after which a peer is suspect, and after which it is down. Heartbeats
    /// are sent every 250 ms.
    static constexpr core::duration cSuspectAfter = std::chrono::seconds(1);
    static constexpr core::duration cDownAfter = std::chrono::seconds(2);

    /// State of one peer.
    struct entry
    {
        std::uint64_t incarnation = 0;
        /// When a message or bytes were last received; empty while the peer is unknown.
        std::optional<core::time_point> lastProgress;
        /// Stays set for the rest of the incarnation.
        bool draining = false;

        friend auto operator<=>(const entry &, const entry &) = default;
    };

    /// Names of instances by state, ordered by name.
    struct view
    {
        /// Includes suspect instances, and this instance unless it is draining.
        std::vector<std::string> live;
        std::vector<std::string> draining;

        friend auto operator<=>(const view &, const view &) = default;
    };

    peer_table(std::string inOwnName, std::uint64_t inOwnIncarnation);

    const std::string &ownName() const { return mOwnName; }
    std::uint64_t ownIncarnation() const { return mOwnIncarnation; }

    /// Replaces the list of instances that the tree names, and removes peers that are no longer
    /// named.
    void setInstances(const std::vector<std::string> &inNames);

    /// Records a hello, heartbeat or other frame of a peer.
    update_outcome recordMessage(std::string_view inName, std::uint64_t inIncarnation,
                                 bool inDraining, core::time_point inNow);

    /// Records bytes that were received on a connection whose hello named this incarnation.
    update_outcome recordProgress(std::string_view inName, std::uint64_t inIncarnation,
                                  core::time_point inNow);

    /// Marks this instance as draining: it accepts no new work.
    void startDrain() { mDraining = true; }
    bool isDraining() const { return mDraining; }

    /// Whether a newer process with this instance's name is running.
    bool isSuperseded() const { return mSuperseded; }

    peer_state stateOf(std::string_view inName, core::time_point inNow) const;
    view viewAt(core::time_point inNow) const;

    /// Returns the peers in a state, ordered by name.
    std::vector<std::string> peersIn(peer_state inState, core::time_point inNow) const;

    /// Earliest time at which a live peer becomes suspect or a suspect one down if no peer makes
    /// progress; nullopt if no peer is live or suspect. Unknown and down peers change their state
    /// only by progress.
    std::optional<core::time_point> nextChange(core::time_point inNow) const;

    const std::map<std::string, entry, std::less<>> &entries() const { return mEntries; }

private:
    static peer_state sStateOf(const entry &inEntry, core::time_point inNow);

    std::string mOwnName;
    std::uint64_t mOwnIncarnation;
    bool mDraining = false;
    bool mSuperseded = false;
    std::map<std::string, entry, std::less<>> mEntries;
};

} // namespace corneltally::membership
