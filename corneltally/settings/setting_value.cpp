#include "corneltally/settings/setting_value.h"

#include <array>
#include <charconv>

namespace corneltally::settings {

namespace {

std::string quoted(const std::string &inText)
{
    std::string text = "\"";
    for (const char character : inText) {
        if (character == '"' || character == '\\')
            text.push_back('\\');
        text.push_back(character);
    }
    return text + "\"";
}

struct text_writer
{
    std::string operator()(bool inValue) const { return inValue ? "true" : "false"; }
    std::string operator()(std::int64_t inValue) const { return std::to_string(inValue); }
    std::string operator()(double inValue) const
    {
        std::array<char, 32> buffer{};
        const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), inValue);
        return {buffer.data(), written.ptr};
    }
    std::string operator()(const std::string &inValue) const { return quoted(inValue); }
    std::string operator()(const std::vector<std::string> &inValue) const
    {
        std::string text = "[";
        for (const std::string &entry : inValue)
            text += (text.size() > 1 ? ", " : "") + quoted(entry);
        return text + "]";
    }
};

} // namespace

std::string toText(const setting_value &inValue)
{
    return std::visit(text_writer(), inValue);
}

} // namespace corneltally::settings
