#pragma once

#include "corneltally/core/result.h"
#include "corneltally/settings/setting_value.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// A change of the settings tree, as operators append it to the log.
struct change
{
    /// Sets one key of a node; without a value the key is removed, so that the inherited value
    /// applies again. A node that does not exist is created in both cases.
    struct assignment
    {
        std::string path;
        std::string key;
        std::optional<setting_value> value;

        friend auto operator<=>(const assignment &, const assignment &) = default;
    };

    std::string id;
    std::string author;
    /// Version of each node that the change modifies; 0 for a node that it creates.
    std::map<std::string, std::uint64_t> base;
    std::vector<assignment> set;
    /// Nodes to remove with everything below them; carried out before the assignments.
    std::vector<std::string> remove;

    /// The log record of the change.
    std::string toJson() const;

    /// Reads a log record or an operator's file (which may lack id, author and base).
    static core::result<change> sFromJson(std::string_view inText);

    friend auto operator<=>(const change &, const change &) = default;
};

} // namespace corneltally::settings
