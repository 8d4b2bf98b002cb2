#pragma once

#include "corneltally/core/boot_clock.h"
#include "standins/engine_stream.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::kernel {
class timer;
}

namespace standins {

class host;
struct engine_options;

/// Runs streams in a limited number of slots with continuous batching, and keeps ended streams for
/// a while, so that they can be resumed.
class engine_batch
{
public:
    engine_batch(host &inHost, const engine_options &inOptions);
    ~engine_batch();
    engine_batch(const engine_batch &) = delete;
    engine_batch &operator=(const engine_batch &) = delete;

    /// Queues a run. A previous run with the same id is broken off.
    void submit(engine_request inRequest, const engine_stream::exchange_pointer &inExchange);

    /// Continues a stream for a new caller; returns false if it is not known.
    bool resume(const std::string &inId, std::uint64_t inFrom,
                const engine_stream::exchange_pointer &inExchange);

    /// Ends a run; returns false if it is not known.
    bool cancel(const std::string &inId);

    /// Runs (running or queued) that use an adapter.
    int usesOf(const adapter_ref &inModel) const;
    /// Breaks off all runs that use an adapter, as an engine does whose adapter is taken away.
    void breakRuns(const adapter_ref &inModel);
    /// Closes all callers' connections; the runs go on.
    void dropCallers();

    int runningCount() const;
    int queuedCount() const;

    void setTokenMs(double inMs);
    /// While stalled no tokens come into being and connections stay open.
    void setStalled(bool inStalled);

private:
    using stream_pointer = std::shared_ptr<engine_stream>;

    void watchCaller(const stream_pointer &inStream,
                     const engine_stream::exchange_pointer &inExchange);
    void startQueued(corneltally::core::time_point inNow);
    void step();
    void schedule();
    void recordEnd(const engine_stream &inStream, const char *inOutcome);
    void forgetOld(corneltally::core::time_point inNow);

    host &mHost;
    std::size_t mRunSlots;
    corneltally::core::duration mTokenTime;
    double mPrefillUsPerToken;
    corneltally::core::duration mKeep;
    std::map<std::string, stream_pointer> mStreams;
    std::vector<stream_pointer> mQueue;
    std::vector<stream_pointer> mRunning;
    std::vector<stream_pointer> mDraining;
    std::unique_ptr<corneltally::kernel::timer> mTimer;
    std::unique_ptr<corneltally::kernel::timer> mForgetTimer;
    bool mStalled = false;
    corneltally::core::time_point mStalledSince;
};

} // namespace standins
