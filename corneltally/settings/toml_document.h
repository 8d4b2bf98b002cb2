#pragma once

#include "corneltally/settings/problem.h"
#include "corneltally/settings/setting_value.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// A TOML file as a flat list of its values. It confines the TOML parser, which is slow to compile,
/// to one source file.
class toml_document
{
public:
    /// A table header or a value of the file.
    struct entry
    {
        /// Names of the enclosing tables.
        std::vector<std::string> table;
        std::string key;
        bool isTable = false;
        /// Empty for a table and for a value of an unsupported type (for example a date).
        std::optional<setting_value> value;
        int line = 0;
    };

    /// Parses a file; a syntax error is added to ioProblems.
    static toml_document sParse(std::string_view inText, std::string_view inFile,
                                std::vector<problem> &ioProblems);

    /// All entries, ordered by table name and key.
    const std::vector<entry> &entries() const { return mEntries; }

private:
    std::vector<entry> mEntries;
};

/// Path of the node that nested tables represent; "/" without tables.
std::string nodePath(const std::vector<std::string> &inTables);

} // namespace corneltally::settings
