#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace corneltally::core {

/// Value of a field of a log line.
using log_value = std::variant<std::string_view, double, long long, bool>;

/// A named field of a log line.
struct log_field
{
    log_field(std::string_view inName, std::string_view inValue)
        : name(inName)
        , value(inValue)
    { }
    log_field(std::string_view inName, const char *inValue)
        : name(inName)
        , value(std::string_view(inValue))
    { }
    log_field(std::string_view inName, const std::string &inValue)
        : name(inName)
        , value(std::string_view(inValue))
    { }
    log_field(std::string_view inName, double inValue)
        : name(inName)
        , value(inValue)
    { }
    log_field(std::string_view inName, bool inValue)
        : name(inName)
        , value(inValue)
    { }
    template <std::integral T>
    log_field(std::string_view inName, T inValue)
        : name(inName)
        , value(static_cast<long long>(inValue))
    { }

    std::string_view name;
    log_value value;
};

/// Severity of a log line.
enum class log_level { info, warning, error };

/// Where log lines go.
enum class log_output {
    standard_error,
    /// Without ever waiting: lines that a slow reader does not take are dropped and counted.
    standard_output,
};

/// Sends all glog output to the log as JSON lines; call once at start-up.
void initializeLog(const char *inProgram, std::string_view inInstance,
                   log_output inOutput = log_output::standard_error);

/// Writes one JSON line: time, level, instance, event and the fields, escaped.
void logEvent(log_level inLevel, std::string_view inEvent,
              std::initializer_list<log_field> inFields = {});

/// Escapes a string for use between the quotes of a JSON string.
std::string jsonEscape(std::string_view inText);

} // namespace corneltally::core
