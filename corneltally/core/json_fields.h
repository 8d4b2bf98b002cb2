#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <nlohmann/json_fwd.hpp>

/// Reads members of JSON objects that other programs wrote. A member that is absent or of another
/// type counts as its default, and numbers are bounded, so that no document can end the process.
namespace corneltally::core {

/// Numbers beyond this count as this.
constexpr double cMaxJsonNumber = 1e12;
constexpr int cMaxJsonInteger = 1'000'000'000;

/// Reads a number that is not negative.
double readNumber(const nlohmann::json &inObject, const char *inName, double inDefault = 0);
int readInteger(const nlohmann::json &inObject, const char *inName, int inDefault = 0);
std::uint64_t readCount(const nlohmann::json &inObject, const char *inName);
/// Reads a time of at most a hundred days.
std::chrono::milliseconds readMilliseconds(const nlohmann::json &inObject, const char *inName);
std::string readText(const nlohmann::json &inObject, const char *inName);
bool readFlag(const nlohmann::json &inObject, const char *inName);
const nlohmann::json &readList(const nlohmann::json &inObject, const char *inName);

} // namespace corneltally::core
