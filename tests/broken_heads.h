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

/// Fields of answers that do not say where the body ends, or say it twice.
inline const std::vector<std::string> cFramings{
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
    "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 4\r\nContent-Length: 2\r\n",
    "Content-Length: 2, 4\r\n",
    "Content-Length: -4\r\n",
    "Content-Length: four\r\n",
};

inline std::string statusLine(const std::string &inStatus)
{
    return "HTTP/1.1 " + inStatus + " Status\r\n";
}

} // namespace corneltally::broken_heads
