#pragma once

#include <chrono>
#include <fstream>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

/// Time of a driver's events in seconds since the driver started.
double secondsSinceStart(steady::time_point inTime = steady::now());

/// File in which a case notes what was sent, answered and run, one line a fact.
class call_record
{
public:
    explicit call_record(const std::string &inFile)
        : mFile(inFile)
    { }

    /// Writes a line with the current time.
    void note(const std::string &inText);
    /// Writes a line with the time of an earlier event.
    void noteAt(steady::time_point inTime, const std::string &inText);

private:
    std::ofstream mFile;
};

} // namespace review
