#pragma once

#include "corneltally/settings/setting_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::settings {

/// Type of a value.
enum class value_type : std::uint8_t {
    integer,
    number,
    boolean,
    /// Text without control characters.
    text,
    /// Letters, digits, '.', '_' and '-'.
    name,
    /// "ip:port" with a port above 0.
    address,
    /// "ip:port"; with port 0 the kernel chooses the port.
    listen_address,
    /// 64 lower-case hexadecimal digits.
    digest,
    /// Path of a URL, starting with '/'.
    url_path,
    name_list,
};

/// Definition of one settings key, for checks and for the reference page.
struct key_definition
{
    std::string_view key;
    value_type type = value_type::text;
    /// Unit of a number; empty for other values.
    std::string_view unit;
    /// Default as written in a file; empty if the key has none.
    std::string_view defaultText;
    double minimum = 0;
    double maximum = 0;
    /// Permitted values, separated by '|'; empty if the type does not restrict them further.
    std::string_view choices;
};

/// Name of a type as it appears in messages and on the reference page.
std::string_view toString(value_type inType);

/// Range or permitted values of a key as text; empty if only the type restricts the value.
std::string rangeText(const key_definition &inDefinition);

/// An invalid value: what is wrong with it and how to correct it.
struct value_problem
{
    std::string message;
    std::string remedy;
};

/// Checks a value against the definition of its key.
std::optional<value_problem> checkValue(const key_definition &inDefinition,
                                        const setting_value &inValue);

/// Whether a text is a valid name of a node or an instance.
bool isName(std::string_view inText);

/// Whether a text is "ip:port"; port 0 is valid only if inAllowZero is set.
bool isAddress(std::string_view inText, bool inAllowZero);

/// Maximum length of a name, of a text and of a list. They bound the memory that one change can
/// take on every instance.
constexpr std::size_t cMaxNameLength = 64;
constexpr std::size_t cMaxTextLength = 1024;
constexpr std::size_t cMaxListLength = 1024;

} // namespace corneltally::settings
