#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace corneltally::engines {

/// Digest of a prompt up to the end of one of its parts, on one start of an endpoint.
using prefix_digest = std::uint64_t;

/// Beginnings of prompts that were sent to endpoints lately, which these have probably cached.
/// Callers choose the parts, so the number that is remembered is limited; the least recently sent
/// ones are forgotten first.
class recent_parts
{
public:
    /// Time for which an endpoint is taken to keep a part.
    static constexpr core::duration sRetention = std::chrono::seconds(15);
    /// Maximum number of parts over all endpoints; one takes about 100 bytes.
    static constexpr std::size_t sMaxParts = 128 * 1024;

    void sent(prefix_digest inPrefix, core::time_point inNow);
    bool isRecent(prefix_digest inPrefix, core::time_point inNow) const;
    void prune(core::time_point inNow);

    std::size_t size() const { return mBySentTime.size(); }

private:
    struct entry
    {
        prefix_digest prefix = 0;
        core::time_point sentAt;
    };

    /// The least recently sent part is first.
    std::list<entry> mBySentTime;
    std::unordered_map<prefix_digest, std::list<entry>::iterator> mByPrefix;
};

} // namespace corneltally::engines
