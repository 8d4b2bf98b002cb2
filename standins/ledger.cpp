#include "standins/ledger.h"

#include <array>
#include <cstdio>
#include <ctime>

#include <fcntl.h>
#include <unistd.h>

namespace standins {

namespace core = corneltally::core;

namespace {

void appendNumber(std::string &ioLine, double inValue)
{
    std::array<char, 40> digits{};
    // Wall-clock seconds need all six decimals.
    std::snprintf(digits.data(), digits.size(), "%.6f", inValue);
    ioLine.append(digits.data());
}

void appendValue(std::string &ioLine, const core::log_value &inValue)
{
    if (const auto *text = std::get_if<std::string_view>(&inValue))
        ioLine.append("\"").append(core::jsonEscape(*text)).append("\"");
    else if (const auto *number = std::get_if<double>(&inValue))
        appendNumber(ioLine, *number);
    else if (const auto *integer = std::get_if<long long>(&inValue))
        ioLine.append(std::to_string(*integer));
    else
        ioLine.append(std::get<bool>(inValue) ? "true" : "false");
}

} // namespace

double wallSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

ledger::ledger(const std::string &inFile, std::string inProcess)
    : mProcess(std::move(inProcess))
{
    if (inFile.empty())
        return;
    mFile = open(inFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (mFile < 0)
        std::perror(inFile.c_str());
}

ledger::~ledger()
{
    if (mFile >= 0)
        close(mFile);
}

void ledger::write(std::string_view inKind, std::initializer_list<core::log_field> inFields)
{
    if (mFile < 0)
        return;
    std::string line = "{\"kind\":\"";
    line.append(inKind).append("\",\"time\":");
    appendNumber(line, wallSeconds());
    line.append(",\"process\":\"").append(core::jsonEscape(mProcess)).append("\"");
    for (const core::log_field &field : inFields) {
        line.append(",\"").append(field.name).append("\":");
        appendValue(line, field.value);
    }
    line.append("}\n");
    // One write per line, so that lines of several processes do not mix.
    if (::write(mFile, line.data(), line.size()) < 0)
        std::perror("ledger");
}

} // namespace standins
