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

/// One version of the settings: nodes by path with typed values that children inherit. A value
/// type; apply() gives the next version. All verdicts depend only on the tree and the change, so
/// that every reader of the log reaches the same one.
class settings_tree
{
public:
    /// A node's own values.
    struct node
    {
        std::map<std::string, setting_value, std::less<>> values;
        /// Offset of the last record that touched the node.
        std::uint64_t version = 0;

        friend bool operator==(const node &, const node &) = default;
    };

    /// Orders a node directly before everything below it.
    struct path_less
    {
        using is_transparent = void;
        bool operator()(std::string_view inFirst, std::string_view inSecond) const;
    };
    using node_map = std::map<std::string, node, path_less>;

    /// Reads a whole tree from a file (tables are nodes) and checks it as a whole. On failure the
    /// reason lists every problem, a line for each; outProblems gets them one by one.
    static core::result<settings_tree> sFromToml(std::string_view inText, std::string_view inFile,
                                                 std::vector<problem> *outProblems = nullptr);

    /// Reads what toJson() wrote.
    static core::result<settings_tree> sFromJson(std::string_view inText);

    /// The next version; a change that is not valid as a whole is refused with the reason.
    core::result<settings_tree> apply(const change &inChange, std::uint64_t inOffset) const;

    /// Same as apply() without a copy of the tree, which is left as it was on failure.
    std::optional<core::error> applyInPlace(const change &inChange, std::uint64_t inOffset);

    /// Offset of the last applied record.
    std::uint64_t version() const { return mVersion; }

    /// Value of a key at a node, its own or inherited, and the path that it is set at.
    std::optional<effective_value> find(std::string_view inPath, std::string_view inKey) const;

    /// Names of the nodes directly below a path, also of those without own values.
    std::vector<std::string> children(std::string_view inPath) const;

    bool contains(std::string_view inPath) const { return mNodes.contains(inPath); }

    /// Version of a node; 0 if there is no such node.
    std::uint64_t nodeVersion(std::string_view inPath) const;

    /// Paths of a node and of all nodes below it.
    std::vector<std::string> subtree(std::string_view inPath) const;

    const node_map &nodes() const { return mNodes; }

    /// Canonical: equal trees give equal bytes.
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
    /// Bytes of all names and values.
    std::size_t mBytes = 0;
    /// Ids of the latest applied changes with their offsets.
    std::deque<std::pair<std::uint64_t, std::string>> mRecentIds;
};

/// Limits of a tree. All readers must have the same ones, since verdicts depend on them.
constexpr std::size_t cMaxTreeBytes = 8 * 1024 * 1024;
constexpr std::size_t cMaxTreeNodes = 100'000;
/// Ids remembered to recognise a record that was appended twice. An older repeat is still rejected
/// by its outdated base.
constexpr std::size_t cRecentIds = 1024;

} // namespace corneltally::settings
