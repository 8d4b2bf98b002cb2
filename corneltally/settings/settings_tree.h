#pragma once

#include "corneltally/core/result.h"
#include "corneltally/settings/effective_value.h"
#include "corneltally/settings/problem.h"
#include "corneltally/settings/setting_value.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::settings {

struct change;

/// One version of the settings: nodes by path, with typed values that children inherit. It is a
/// value type; apply() returns the next version. Whether a change is accepted depends only on the
/// tree and the change, so that all readers of the log agree.
class settings_tree
{
public:
    /// A node's own values.
    struct node
    {
        std::map<std::string, setting_value, std::less<>> values;
        /// Offset of the last record that modified the node.
        std::uint64_t version = 0;

        friend bool operator==(const node &, const node &) = default;
    };

    /// Orders paths so that a node is directly followed by everything below it.
    struct path_less
    {
        using is_transparent = void;
        bool operator()(std::string_view inFirst, std::string_view inSecond) const;
    };
    using node_map = std::map<std::string, node, path_less>;

    /// Parses a whole tree from a file, whose tables are the nodes, and checks it. On failure the
    /// error lists every problem on a line of its own; outProblems receives them individually.
    static core::result<settings_tree> sFromToml(std::string_view inText, std::string_view inFile,
                                                 std::vector<problem> *outProblems = nullptr);

    /// Parses the output of toJson().
    static core::result<settings_tree> sFromJson(std::string_view inText);

    /// Returns the next version, or an error if any part of the change is invalid.
    core::result<settings_tree> apply(const change &inChange, std::uint64_t inOffset) const;

    /// Same as apply() without a copy of the tree. On failure the tree is unchanged.
    std::optional<core::error> applyInPlace(const change &inChange, std::uint64_t inOffset);

    /// Offset of the last applied record.
    std::uint64_t version() const { return mVersion; }

    /// Own or inherited value of a key at a node, and the path of the node that sets it.
    std::optional<effective_value> find(std::string_view inPath, std::string_view inKey) const;

    /// Names of the nodes directly below a path, including those without own values.
    std::vector<std::string> children(std::string_view inPath) const;

    bool contains(std::string_view inPath) const { return mNodes.contains(inPath); }

    /// Version of a node; 0 if there is no such node.
    std::uint64_t nodeVersion(std::string_view inPath) const;

    /// Paths of a node and of all nodes below it.
    std::vector<std::string> subtree(std::string_view inPath) const;

    const node_map &nodes() const { return mNodes; }

    /// Returns canonical JSON: equal trees give equal bytes.
    std::string toJson() const;

    friend bool operator==(const settings_tree &, const settings_tree &) = default;

private:
    using undo_map = std::map<std::string, std::optional<node>, path_less>;

    std::optional<core::error> checkChange(const change &inChange) const;
    std::optional<core::error> checkBase(const change &inChange) const;
    void modify(const change &inChange, std::uint64_t inOffset, undo_map &outUndo);
    void replaceNode(const std::string &inPath, std::optional<node> inNode);
    void rememberId(const std::string &inId, std::uint64_t inOffset);
    std::uint64_t offsetOfId(std::string_view inId) const;

    node_map mNodes;
    std::uint64_t mVersion = 0;
    /// Total size of all names and values.
    std::size_t mBytes = 0;
    /// Ids of the latest applied changes with their offsets.
    std::deque<std::pair<std::uint64_t, std::string>> mRecentIds;
};

/// Limits of a tree. They must be the same for all readers, since they decide whether a change is
/// accepted.
constexpr std::size_t cMaxTreeBytes = 8 * 1024 * 1024;
constexpr std::size_t cMaxTreeNodes = 100'000;
/// Number of change ids kept to detect a record that was appended twice. Duplicates of older
/// records are rejected because of their outdated base.
constexpr std::size_t cRecentIds = 1024;

} // namespace corneltally::settings
