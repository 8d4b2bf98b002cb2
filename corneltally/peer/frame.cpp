#include "corneltally/peer/frame.h"

#include <cassert>

namespace corneltally::peer {

std::string frameHeader(std::size_t inBodyBytes)
{
    assert(inBodyBytes <= cMaxFrameBytes);
    std::string header;
    for (std::size_t byte = 0; byte < cFrameHeaderBytes; ++byte)
        header.push_back(static_cast<char>((inBodyBytes >> (8 * byte)) & 0xffU));
    return header;
}

std::optional<std::size_t> frameLength(std::string_view inHeader)
{
    assert(inHeader.size() == cFrameHeaderBytes);
    std::size_t length = 0;
    for (std::size_t byte = 0; byte < cFrameHeaderBytes; ++byte)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(inHeader[byte]))
            << (8 * byte);
    if (length == 0 || length > cMaxFrameBytes)
        return std::nullopt;
    return length;
}

} // namespace corneltally::peer
