#include "corneltally/settings/key_definition.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>

namespace corneltally::settings {

namespace {

bool isLetterOrDigit(char inCharacter)
{
    return (inCharacter >= 'a' && inCharacter <= 'z') || (inCharacter >= 'A' && inCharacter <= 'Z')
        || (inCharacter >= '0' && inCharacter <= '9');
}

bool isPlainText(std::string_view inText)
{
    return inText.size() <= cMaxTextLength && std::ranges::none_of(inText, [](char inCharacter) {
               return static_cast<unsigned char>(inCharacter) < 0x20 || inCharacter == 0x7f;
           });
}

bool isDigest(std::string_view inText)
{
    return inText.size() == 64 && std::ranges::all_of(inText, [](char inCharacter) {
               return (inCharacter >= '0' && inCharacter <= '9')
                   || (inCharacter >= 'a' && inCharacter <= 'f');
           });
}

bool isUrlPath(std::string_view inText)
{
    return inText.starts_with('/') && isPlainText(inText)
        && inText.find_first_of(" ?#") == std::string_view::npos;
}

bool isChoice(std::string_view inChoices, std::string_view inText)
{
    while (!inChoices.empty()) {
        const std::size_t end = std::min(inChoices.find('|'), inChoices.size());
        if (inChoices.substr(0, end) == inText)
            return true;
        inChoices.remove_prefix(std::min(end + 1, inChoices.size()));
    }
    return false;
}

std::string shortNumber(double inValue)
{
    if (inValue == std::floor(inValue) && std::fabs(inValue) < 1e15)
        return std::to_string(static_cast<long long>(inValue));
    return toText(setting_value(inValue));
}

std::string expectation(const key_definition &inDefinition)
{
    std::string text = "write " + std::string(toString(inDefinition.type));
    if (!inDefinition.unit.empty())
        text += " of " + std::string(inDefinition.unit) + ", without a unit suffix,";
    const std::string range = rangeText(inDefinition);
    if (!range.empty())
        text += inDefinition.choices.empty() ? " in the range " + range : ", one of " + range;
    if (text.ends_with(','))
        text.pop_back();
    return text;
}

std::optional<value_problem> checkNumber(const key_definition &inDefinition,
                                         const setting_value &inValue)
{
    double number = 0;
    if (const auto *integer = std::get_if<std::int64_t>(&inValue))
        number = static_cast<double>(*integer);
    else if (const auto *real = std::get_if<double>(&inValue);
             real != nullptr && inDefinition.type == value_type::number)
        number = *real;
    else
        return value_problem{"wrong type", expectation(inDefinition)};
    // Negated so that NaN fails as well.
    if (!(number >= inDefinition.minimum && number <= inDefinition.maximum))
        return value_problem{toText(inValue) + " is out of range", expectation(inDefinition)};
    return std::nullopt;
}

bool isValidText(const key_definition &inDefinition, const std::string &inText)
{
    if (!inDefinition.choices.empty())
        return isChoice(inDefinition.choices, inText);
    switch (inDefinition.type) {
    case value_type::name:
        return isName(inText);
    case value_type::address:
        return isAddress(inText, false);
    case value_type::listen_address:
        return isAddress(inText, true);
    case value_type::digest:
        return isDigest(inText);
    case value_type::url_path:
        return isUrlPath(inText);
    default:
        return isPlainText(inText) && !inText.empty();
    }
}

std::optional<value_problem> checkList(const key_definition &inDefinition,
                                       const std::vector<std::string> &inList)
{
    if (inList.size() > cMaxListLength)
        return value_problem{"the list has " + std::to_string(inList.size()) + " entries",
                             "shorten it to " + std::to_string(cMaxListLength)};
    for (const std::string &entry : inList) {
        // Names of nested accounts are joined with '/'.
        std::size_t start = 0;
        while (start <= entry.size()) {
            const std::size_t end = std::min(entry.find('/', start), entry.size());
            if (!isName(std::string_view(entry).substr(start, end - start)))
                return value_problem{"\"" + entry + "\" is not a name", expectation(inDefinition)};
            start = end + 1;
        }
        if (std::ranges::count(inList, entry) > 1)
            return value_problem{"\"" + entry + "\" is listed twice", "remove one of them"};
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(value_type inType)
{
    switch (inType) {
    case value_type::integer:
        return "an integer";
    case value_type::number:
        return "a number";
    case value_type::boolean:
        return "true or false";
    case value_type::text:
        return "a string";
    case value_type::name:
        return "a name (letters, digits, '.', '_', '-')";
    case value_type::address:
        return "an address \"ip:port\"";
    case value_type::listen_address:
        return "an address \"ip:port\" (port 0: chosen by the kernel)";
    case value_type::digest:
        return "a SHA-256 digest (64 lower-case hexadecimal digits)";
    case value_type::url_path:
        return "a URL path";
    case value_type::name_list:
        return "a list of names";
    }
    return "";
}

std::string rangeText(const key_definition &inDefinition)
{
    if (!inDefinition.choices.empty()) {
        std::string text(inDefinition.choices);
        for (std::size_t at = text.find('|'); at != std::string::npos; at = text.find('|', at + 2))
            text.replace(at, 1, ", ");
        return text;
    }
    if (inDefinition.type != value_type::integer && inDefinition.type != value_type::number)
        return "";
    return shortNumber(inDefinition.minimum) + " to " + shortNumber(inDefinition.maximum);
}

std::optional<value_problem> checkValue(const key_definition &inDefinition,
                                        const setting_value &inValue)
{
    if (inDefinition.type == value_type::integer || inDefinition.type == value_type::number)
        return checkNumber(inDefinition, inValue);
    if (inDefinition.type == value_type::boolean && std::holds_alternative<bool>(inValue))
        return std::nullopt;
    if (const auto *list = std::get_if<std::vector<std::string>>(&inValue);
        list != nullptr && inDefinition.type == value_type::name_list)
        return checkList(inDefinition, *list);
    const auto *text = std::get_if<std::string>(&inValue);
    if (text == nullptr || inDefinition.type == value_type::boolean
        || inDefinition.type == value_type::name_list)
        return value_problem{"wrong type", expectation(inDefinition)};
    if (!isValidText(inDefinition, *text))
        return value_problem{"\"" + text->substr(0, 80) + "\" is not a valid value",
                             expectation(inDefinition)};
    return std::nullopt;
}

bool isName(std::string_view inText)
{
    if (inText.empty() || inText.size() > cMaxNameLength || !isLetterOrDigit(inText.front()))
        return false;
    return std::ranges::all_of(inText, [](char inCharacter) {
        return isLetterOrDigit(inCharacter) || inCharacter == '.' || inCharacter == '_'
            || inCharacter == '-';
    });
}

bool isAddress(std::string_view inText, bool inAllowZero)
{
    const std::size_t colon = inText.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    in_addr parsed{};
    if (inet_pton(AF_INET, std::string(inText.substr(0, colon)).c_str(), &parsed) != 1)
        return false;
    const std::string_view digits = inText.substr(colon + 1);
    unsigned int port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return failure == std::errc() && end == digits.data() + digits.size() && port <= 65'535
        && (port > 0 || inAllowZero);
}

} // namespace corneltally::settings
