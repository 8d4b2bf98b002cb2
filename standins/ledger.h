#pragma once

#include "corneltally/core/json_log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace standins {

/// Seconds since 1970 with microseconds; comparable between the processes of one machine.
double wallSeconds();

/// File to which a process appends one JSON line per fact. Several processes may share a file.
class ledger
{
public:
    /// Without a file name nothing is written. The process name is part of every line.
    ledger(const std::string &inFile, std::string inProcess);
    ~ledger();
    ledger(const ledger &) = delete;
    ledger &operator=(const ledger &) = delete;

    /// Appends a line with kind, time, process and the fields.
    void write(std::string_view inKind,
               std::initializer_list<corneltally::core::log_field> inFields);

private:
    int mFile = -1;
    std::string mProcess;
};

} // namespace standins
