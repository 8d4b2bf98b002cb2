#include "review/harness-2/call_record.h"

#include <array>
#include <cstdio>

namespace review {

double secondsSinceStart(steady::time_point inTime)
{
    static const steady::time_point sStart = steady::now();
    return std::chrono::duration<double>(inTime - sStart).count();
}

void call_record::note(const std::string &inText)
{
    noteAt(steady::now(), inText);
}

void call_record::noteAt(steady::time_point inTime, const std::string &inText)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.3f s  ", secondsSinceStart(inTime));
    mFile << time.data() << inText << std::endl;
}

} // namespace review
