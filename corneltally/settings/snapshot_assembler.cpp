#include "corneltally/settings/snapshot_assembler.h"

#include "corneltally/core/digest.h"

namespace corneltally::settings {

namespace {

/// Maximum number of incomplete snapshots; each takes at most the size of a tree.
constexpr std::size_t cMaxIncomplete = 4;

} // namespace

std::optional<snapshot_assembler::snapshot> snapshot_assembler::add(snapshot_part inPart)
{
    const std::pair key{inPart.offset, inPart.digest};
    auto &parts = mIncomplete[key];
    parts.insert_or_assign(inPart.index, std::move(inPart.data));
    if (parts.size() < inPart.count) {
        if (mIncomplete.size() > cMaxIncomplete)
            mIncomplete.erase(mIncomplete.begin());
        return std::nullopt;
    }
    snapshot result{.offset = inPart.offset};
    for (const auto &[index, data] : parts)
        result.tree += data;
    mIncomplete.erase(key);
    if (core::sha256Hex(result.tree) != inPart.digest)
        return std::nullopt;
    return result;
}

void snapshot_assembler::dropThrough(std::uint64_t inOffset)
{
    std::erase_if(mIncomplete,
                  [&](const auto &inEntry) { return inEntry.first.first <= inOffset; });
}

} // namespace corneltally::settings
