#pragma once

#include "corneltally/settings/problem.h"
#include "corneltally/settings/setting_value.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// A TOML file as a flat list of its values. It keeps the TOML parser, which is slow to compile,
/// out of all other sources.
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
        /// Empty if the value is a table or of a type that no setting has (for example a date).
        std::optional<setting_value> value;
        int line = 0;
    };

    /// Parses a file; a syntax error is added to ioProblems.
    static toml_document sParse(std::string_view inText, std::string_view inFile,
                                std::vector<problem> &ioProblems);

    /// In the order of table names and keys.
    const std::vector<entry> &entries() const { return mEntries; }

private:
    std::vector<entry> mEntries;
};

/// Path of the node that nested tables stand for; "/" without tables.
std::string nodePath(const std::vector<std::string> &inTables);

} // namespace corneltally::settings
