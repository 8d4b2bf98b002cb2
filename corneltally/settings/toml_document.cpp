#include "corneltally/settings/toml_document.h"

#include <toml++/toml.h>

namespace corneltally::settings {

namespace {

std::optional<setting_value> toValue(const toml::node &inNode)
{
    if (const auto *boolean = inNode.as_boolean())
        return boolean->get();
    if (const auto *integer = inNode.as_integer())
        return integer->get();
    if (const auto *number = inNode.as_floating_point())
        return number->get();
    if (const auto *text = inNode.as_string())
        return text->get();
    const toml::array *array = inNode.as_array();
    if (array == nullptr)
        return std::nullopt;
    std::vector<std::string> list;
    for (const toml::node &element : *array) {
        const auto *text = element.as_string();
        if (text == nullptr)
            return std::nullopt;
        list.push_back(text->get());
    }
    return list;
}

void collect(const toml::table &inTable, std::vector<std::string> &ioPath,
             std::vector<toml_document::entry> &outEntries)
{
    for (const auto &[key, node] : inTable) {
        const int line = static_cast<int>(node.source().begin.line);
        const std::string name(key.str());
        if (const toml::table *table = node.as_table()) {
            outEntries.push_back({ioPath, name, true, std::nullopt, line});
            ioPath.push_back(name);
            collect(*table, ioPath, outEntries);
            ioPath.pop_back();
        } else {
            outEntries.push_back({ioPath, name, false, toValue(node), line});
        }
    }
}

} // namespace

toml_document toml_document::sParse(std::string_view inText, std::string_view inFile,
                                    std::vector<problem> &ioProblems)
{
    toml_document document;
    try {
        const toml::table table = toml::parse(inText, std::string(inFile));
        std::vector<std::string> path;
        collect(table, path, document.mEntries);
    } catch (const toml::parse_error &failure) {
        ioProblems.push_back({std::string(inFile), static_cast<int>(failure.source().begin.line),
                              "", std::string(failure.description()),
                              "correct the TOML syntax on this line"});
    }
    return document;
}

std::string nodePath(const std::vector<std::string> &inTables)
{
    std::string path;
    for (const std::string &name : inTables)
        path.append("/").append(name);
    return path.empty() ? "/" : path;
}

} // namespace corneltally::settings
