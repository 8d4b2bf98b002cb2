#include "standins/child_process.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standins {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto cPollInterval = 5ms;

int millisecondsUntil(steady::time_point inDeadline)
{
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(inDeadline - steady::now());
    return left.count() < 0 ? 0 : static_cast<int>(left.count());
}

/// Runs in the child between fork and exec; only async-signal-safe calls are allowed here.
[[noreturn]] void executeChild(char *const *inArguments, int inOutput, int inLog, pid_t inParent)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The launcher may have died before the call above took effect.
    if (getppid() != inParent)
        _exit(127);
    dup2(inOutput, STDOUT_FILENO);
    dup2(inLog, STDERR_FILENO);
    execv(inArguments[0], inArguments);
    _exit(127);
}

} // namespace

child_process::child_process(options inOptions)
    : mOptions(std::move(inOptions))
{
    start();
}

child_process::~child_process()
{
    kill();
    closeOutput();
}

child_process::child_process(child_process &&inOther) noexcept
    : mOptions(std::move(inOther.mOptions))
    , mPid(std::exchange(inOther.mPid, -1))
    , mOutput(std::exchange(inOther.mOutput, -1))
    , mReadyLine(std::move(inOther.mReadyLine))
    , mPorts(std::move(inOther.mPorts))
    , mExitCode(inOther.mExitCode)
    , mEndSignal(inOther.mEndSignal)
{ }

child_process &child_process::operator=(child_process &&inOther) noexcept
{
    std::swap(mOptions, inOther.mOptions);
    std::swap(mPid, inOther.mPid);
    std::swap(mOutput, inOther.mOutput);
    std::swap(mReadyLine, inOther.mReadyLine);
    std::swap(mPorts, inOther.mPorts);
    std::swap(mExitCode, inOther.mExitCode);
    std::swap(mEndSignal, inOther.mEndSignal);
    return *this;
}

bool child_process::waitReady(std::chrono::milliseconds inLimit)
{
    const auto deadline = steady::now() + inLimit;
    std::array<char, 4096> buffer{};
    while (!parseReadyLine()) {
        pollfd wanted{.fd = mOutput, .events = POLLIN, .revents = 0};
        if (poll(&wanted, 1, millisecondsUntil(deadline)) <= 0)
            return false;
        const ssize_t count = read(mOutput, buffer.data(), buffer.size());
        if (count > 0)
            mReadyLine.append(buffer.data(), static_cast<std::size_t>(count));
        else if (mOptions.outputFile.empty() || !isRunning() || steady::now() >= deadline)
            return false;
        else
            std::this_thread::sleep_for(cPollInterval);
    }
    return true;
}

/// Looks for the line of a stand-in or of an instance that says which ports it has.
bool child_process::parseReadyLine()
{
    for (std::size_t start = 0, end = 0; (end = mReadyLine.find('\n', start)) != std::string::npos;
         start = end + 1) {
        const nlohmann::json line
            = nlohmann::json::parse(mReadyLine.substr(start, end - start), nullptr, false);
        if (!line.is_object())
            continue;
        if (line.value("ready", false)) {
            mPorts = line.value("ports", std::map<std::string, unsigned short>());
            return true;
        }
        if (line.value("event", "") == "started") {
            for (const char *name : {"callers", "operators", "peers"})
                mPorts[name] = line.value(name, static_cast<unsigned short>(0));
            return true;
        }
    }
    return false;
}

std::string child_process::readOutput(std::chrono::milliseconds inLimit)
{
    const auto deadline = steady::now() + inLimit;
    std::array<char, 4096> buffer{};
    std::string output;
    for (;;) {
        pollfd wanted{.fd = mOutput, .events = POLLIN, .revents = 0};
        if (poll(&wanted, 1, millisecondsUntil(deadline)) <= 0)
            return output;
        const ssize_t count = read(mOutput, buffer.data(), buffer.size());
        if (count <= 0)
            return output;
        output.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

unsigned short child_process::port(const std::string &inName) const
{
    const auto found = mPorts.find(inName);
    return found == mPorts.end() ? 0 : found->second;
}

std::string child_process::address(const std::string &inName) const
{
    return std::string("127.0.0.1:").append(std::to_string(port(inName)));
}

bool child_process::isRunning()
{
    if (mPid <= 0)
        return false;
    int status = 0;
    if (waitpid(mPid, &status, WNOHANG) != mPid)
        return true;
    reap(status);
    return false;
}

void child_process::signal(int inSignal) const
{
    if (mPid > 0)
        ::kill(mPid, inSignal);
}

void child_process::pause() const
{
    signal(SIGSTOP);
}

void child_process::resume() const
{
    signal(SIGCONT);
}

void child_process::kill()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    int status = 0;
    waitpid(mPid, &status, 0);
    reap(status);
}

std::optional<int> child_process::terminate(std::chrono::milliseconds inLimit)
{
    if (isRunning())
        signal(SIGTERM);
    const std::optional<int> code = waitExit(inLimit);
    kill();
    return code;
}

std::optional<int> child_process::waitExit(std::chrono::milliseconds inLimit)
{
    const auto deadline = steady::now() + inLimit;
    while (isRunning()) {
        if (steady::now() >= deadline)
            return std::nullopt;
        std::this_thread::sleep_for(cPollInterval);
    }
    return mExitCode;
}

void child_process::restart(std::optional<std::vector<std::string>> inArguments)
{
    kill();
    closeOutput();
    if (inArguments)
        mOptions.arguments = std::move(*inArguments);
    mReadyLine.clear();
    mPorts.clear();
    mExitCode.reset();
    mEndSignal = 0;
    start();
}

void child_process::start()
{
    // Everything that allocates happens before the fork.
    std::vector<char *> arguments;
    arguments.push_back(mOptions.program.data());
    for (std::string &argument : mOptions.arguments)
        arguments.push_back(argument.data());
    arguments.push_back(nullptr);
    const char *logFile = mOptions.logFile.empty() ? "/dev/null" : mOptions.logFile.c_str();
    const int log = open(logFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    std::array<int, 2> output{-1, -1};
    if (log < 0 || !openOutput(output)) {
        std::perror(logFile);
        return;
    }
    const pid_t parent = getpid();
    mPid = fork();
    if (mPid == 0)
        executeChild(arguments.data(), output[1], log, parent);
    close(output[1]);
    close(log);
    mOutput = output[0];
}

/// Opens the end that the parent reads and the one that the child writes.
bool child_process::openOutput(std::array<int, 2> &outEnds) const
{
    if (mOptions.outputFile.empty())
        return pipe2(outEnds.data(), O_CLOEXEC) == 0;
    const char *file = mOptions.outputFile.c_str();
    outEnds[1] = open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    outEnds[0] = open(file, O_RDONLY | O_CLOEXEC);
    // Lines of an earlier process in the same file are passed over.
    return outEnds[1] >= 0 && outEnds[0] >= 0 && lseek(outEnds[0], 0, SEEK_END) >= 0;
}

void child_process::reap(int inStatus)
{
    mPid = -1;
    if (WIFEXITED(inStatus))
        mExitCode = WEXITSTATUS(inStatus);
    else if (WIFSIGNALED(inStatus))
        mEndSignal = WTERMSIG(inStatus);
}

void child_process::closeOutput()
{
    if (mOutput >= 0)
        close(mOutput);
    mOutput = -1;
}

} // namespace standins
