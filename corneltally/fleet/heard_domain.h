#pragma once

#include <compare>
#include <string>

namespace corneltally::fleet {

/// Another failure domain whose summaries arrive: the instance there that sent the last one, and
/// the instance of the own domain that received it.
struct heard_domain
{
    std::string domain;
    std::string sender;
    std::string receiver;

    friend auto operator<=>(const heard_domain &, const heard_domain &) = default;
};

} // namespace corneltally::fleet
