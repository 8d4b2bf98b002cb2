#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace corneltally::core {

/// Value of a field in a log line.
using log_value = std::variant<std::string_view, double, long long, bool>;

/// A named field in a log line.
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

/// Destination of log lines.
enum class log_output {
    standard_error,
    /// Non-blocking: lines that do not fit into the pipe of a slow reader are dropped and counted.
    standard_output,
};

/// Initializes the log and writes all glog output to it as JSON lines. Call once at start-up.
void initializeLog(const char *inProgram, std::string_view inInstance,
                   log_output inOutput = log_output::standard_error);

/// Writes one JSON line with time, level, instance, event and the given fields.
void logEvent(log_level inLevel, std::string_view inEvent,
              std::initializer_list<log_field> inFields = {});

/// Escapes text for use inside a JSON string, without adding the quotes.
std::string jsonEscape(std::string_view inText);

} // namespace corneltally::core
