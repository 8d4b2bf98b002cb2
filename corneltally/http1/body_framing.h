#pragma once

#include <string_view>

namespace corneltally::http1 {

/// Checks the names of the fields of a head, and the fields that frame its body. Only a single
/// length, or chunked as the only transfer coding, is accepted: of anything else, two receivers
/// could see different ends.
class body_framing
{
public:
    /// Adds a field of the head. Returns false if its name or the framing with it is not valid.
    bool add(std::string_view inName, std::string_view inValue);

    bool isChunked() const { return mChunked; }

private:
    bool mChunked = false;
    bool mHasLength = false;
};

} // namespace corneltally::http1
