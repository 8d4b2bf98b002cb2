#pragma once

#include <array>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace standins {

/// A process that the launcher started. It is killed when the launcher dies or this object ends.
/// Only the launcher starts processes; the daemon and the stand-ins never do.
class child_process
{
public:
    struct options
    {
        std::string program;
        std::vector<std::string> arguments;
        /// File for standard error; empty discards it.
        std::string logFile;
        /// File for standard output, for programs that log there; empty means a pipe.
        std::string outputFile = {};
    };

    /// Starts the program; it is not ready yet.
    explicit child_process(options inOptions);
    ~child_process();
    child_process(child_process &&inOther) noexcept;
    child_process &operator=(child_process &&inOther) noexcept;

    /// Waits for the ready line. Returns false if the process ended or the deadline passed.
    bool waitReady(std::chrono::milliseconds inLimit = std::chrono::seconds(30));

    /// Port from the ready line; 0 if it names no such port.
    unsigned short port(const std::string &inName) const;
    /// "127.0.0.1:port" of a port from the ready line.
    std::string address(const std::string &inName) const;
    const std::string &readyLine() const { return mReadyLine; }

    /// Waits until standard output is closed and returns what follows on what was read before.
    std::string readOutput(std::chrono::milliseconds inLimit);

    /// Exit code of a process that has ended; nothing if a signal ended it.
    std::optional<int> exitCode() const { return mExitCode; }
    /// Signal that ended the process; 0 if none did.
    int endSignal() const { return mEndSignal; }

    pid_t pid() const { return mPid; }
    bool isRunning();

    void signal(int inSignal) const;
    /// Stops scheduling the process; its connections stay open.
    void pause() const;
    void resume() const;
    /// Ends the process at once, as a crash does.
    void kill();
    /// Asks the process to stop in an orderly way and waits; kills it after the limit.
    /// Returns the exit code, or nothing if it had to be killed or ended by a signal.
    std::optional<int> terminate(std::chrono::milliseconds inLimit = std::chrono::seconds(30));
    /// Waits for the end without asking for it.
    std::optional<int> waitExit(std::chrono::milliseconds inLimit);

    /// Ends the process if it runs and starts it again with the same (or changed) arguments.
    void restart(std::optional<std::vector<std::string>> inArguments = std::nullopt);

private:
    void start();
    bool openOutput(std::array<int, 2> &outEnds) const;
    bool parseReadyLine();
    void reap(int inStatus);
    void closeOutput();

    options mOptions;
    pid_t mPid = -1;
    int mOutput = -1;
    std::string mReadyLine;
    std::map<std::string, unsigned short> mPorts;
    std::optional<int> mExitCode;
    int mEndSignal = 0;
};

} // namespace standins
