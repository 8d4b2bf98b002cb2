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

/// A change of the settings tree, as an operator appends it to the log.
struct change
{
    /// Sets one key of a node. Without a value, removes the key, so that the inherited value
    /// applies again. Either creates the node if it does not exist.
    struct assignment
    {
        std::string path;
        std::string key;
        std::optional<setting_value> value;

        friend auto operator<=>(const assignment &, const assignment &) = default;
    };

    std::string id;
    std::string author;
    /// Expected version of each node that the change modifies; 0 for a node that it creates.
    std::map<std::string, std::uint64_t> base;
    std::vector<assignment> set;
    /// Nodes to remove, with everything below them, before the assignments are made.
    std::vector<std::string> remove;

    /// Returns the log record of the change.
    std::string toJson() const;

    /// Parses a log record or an operator's file, which may lack id, author and base.
    static core::result<change> sFromJson(std::string_view inText);

    friend auto operator<=>(const change &, const change &) = default;
};

} // namespace corneltally::settings
