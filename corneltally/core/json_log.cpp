#include "corneltally/core/json_log.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

#include <glog/logging.h>

namespace corneltally::core {

namespace {

std::string sInstance;
log_output sOutput = log_output::standard_error;
/// Lines that were dropped, or written only in part, and are not reported yet.
std::uint64_t sDroppedLines = 0;

std::string timestamp()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    std::array<char, 64> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03ldZ", now.tv_nsec / 1'000'000);
    return text.data();
}

std::string_view levelName(log_level inLevel)
{
    switch (inLevel) {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        break;
    }
    return "error";
}

void appendValue(std::string &ioLine, const log_value &inValue)
{
    if (const auto *text = std::get_if<std::string_view>(&inValue)) {
        ioLine.append("\"").append(jsonEscape(*text)).append("\"");
    } else if (const auto *number = std::get_if<double>(&inValue)) {
        std::array<char, 32> digits{};
        std::snprintf(digits.data(), digits.size(), "%.6g", *number);
        ioLine.append(digits.data());
    } else if (const auto *integer = std::get_if<long long>(&inValue)) {
        ioLine.append(std::to_string(*integer));
    } else {
        ioLine.append(std::get<bool>(inValue) ? "true" : "false");
    }
}

/// Writes a line without blocking, or drops it if the pipe is full. If the pipe takes only a part
/// of a line, the next write first ends that line with a line feed. A line that reports the number
/// of dropped lines precedes the next line that is written.
void writeNonBlocking(std::string_view inLine)
{
    static bool sPartialLine = false;
    std::string line(inLine);
    if (sDroppedLines > 0) {
        line.insert(0,
                    R"({"event":"log_lines_dropped","instance":")" + jsonEscape(sInstance)
                        + R"(","lines":)" + std::to_string(sDroppedLines) + "}\n");
    }
    if (sPartialLine)
        line.insert(0, "\n");
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written <= 0) {
        ++sDroppedLines;
        return;
    }
    sPartialLine = static_cast<std::size_t>(written) < line.size();
    sDroppedLines = sPartialLine ? 1 : 0;
}

void writeBytes(std::string_view inLine)
{
    if (sOutput == log_output::standard_output)
        writeNonBlocking(inLine);
    else
        std::fwrite(inLine.data(), 1, inLine.size(), stderr);
}

/// Writes an event as one JSON object and a line feed, with its fields after the fixed ones.
void writeLine(log_level inLevel, std::string_view inEvent,
               std::initializer_list<log_field> inFields)
{
    std::string line = "{\"time\":\"" + timestamp() + "\",\"level\":\"";
    line.append(levelName(inLevel)).append("\",\"instance\":\"").append(jsonEscape(sInstance));
    line.append("\",\"event\":\"").append(jsonEscape(inEvent)).append("\"");
    for (const log_field &field : inFields) {
        line.append(",\"").append(jsonEscape(field.name)).append("\":");
        appendValue(line, field.value);
    }
    line.append("}\n");
    writeBytes(line);
}

/// Converts glog messages, including those of libraries, to JSON lines.
class json_sink : public google::LogSink
{
public:
    void send(google::LogSeverity inSeverity, const char * /*inFullName*/, const char *inFile,
              int inLine, const google::LogMessageTime & /*inTime*/, const char *inMessage,
              std::size_t inLength) override
    {
        const log_level level = inSeverity == google::GLOG_INFO ? log_level::info
            : inSeverity == google::GLOG_WARNING                ? log_level::warning
                                                                : log_level::error;
        writeLine(level, "log",
                  {{"message", std::string_view(inMessage, inLength)},
                   {"file", inFile},
                   {"line", inLine}});
    }
};

} // namespace

void initializeLog(const char *inProgram, std::string_view inInstance, log_output inOutput)
{
    static json_sink sSink;
    sInstance = inInstance;
    sOutput = inOutput;
    if (inOutput == log_output::standard_output) {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    google::InitGoogleLogging(inProgram);
    // The sink writes every message itself; glog's own text output would duplicate each line.
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    google::AddLogSink(&sSink);
}

void logEvent(log_level inLevel, std::string_view inEvent,
              std::initializer_list<log_field> inFields)
{
    writeLine(inLevel, inEvent, inFields);
}

std::string jsonEscape(std::string_view inText)
{
    std::string text;
    text.reserve(inText.size());
    for (const char character : inText) {
        switch (character) {
        case '"':
            text.append("\\\"");
            break;
        case '\\':
            text.append("\\\\");
            break;
        case '\n':
            text.append("\\n");
            break;
        case '\r':
            text.append("\\r");
            break;
        case '\t':
            text.append("\\t");
            break;
        default:
            if (static_cast<unsigned char>(character) < 0x20U) {
                std::array<char, 8> code{};
                std::snprintf(code.data(), code.size(), "\\u%04x",
                              static_cast<unsigned>(character));
                text.append(code.data());
            } else {
                text.push_back(character);
            }
        }
    }
    return text;
}

} // namespace corneltally::core
