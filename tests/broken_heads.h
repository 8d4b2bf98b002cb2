#pragma once

#include <string>
#include <vector>

/// Heads of answers that endpoints in trouble sent, or that follow from the same faults.
namespace corneltally::broken_heads {

/// Status codes outside the range that HTTP defines.
inline const std::vector<std::string> cStatuses{"000", "001", "099", "600", "999"};

/// Lines of a head whose names hold a blank, a control byte or nothing.
inline const std::vector<std::string> cFieldLines{
    "X Name: v",
    "X-Name : v",
    "X-Name\t: v",
    "X\x01Name: v",
    "X\x7fName: v",
    std::string("X\0Name: v", 9),
    "X\vName: v",
    "X\rName: v",
    ": v",
    "X-Name",
    "Content-Length : 1",
    "Transfer-Encoding : chunked",
    "Content\x01-Length: 1",
};

/// The same for lines that begin with a blank, which receivers take for a part of the line before.
inline const std::vector<std::string> cFoldedLines{" X-Name: v", "\tX-Name: v",
                                                   " Content-Length: 1"};

inline std::string statusLine(const std::string &inStatus)
{
    return "HTTP/1.1 " + inStatus + " Status\r\n";
}

} // namespace corneltally::broken_heads
