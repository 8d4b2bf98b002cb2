#pragma once

#include <string>
#include <vector>

/// Heads of answers that endpoints in trouble sent, or that follow from the same faults.
namespace corneltally::broken_heads {

/// Status codes outside the range that HTTP defines.
inline const std::vector<std::string> cStatuses{"000", "001", "099", "600", "999"};

inline std::string statusLine(const std::string &inStatus)
{
    return "HTTP/1.1 " + inStatus + " Status\r\n";
}

} // namespace corneltally::broken_heads
