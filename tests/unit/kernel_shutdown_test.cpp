// Guards against use of the event base after it was freed: a posted task that never ran may own
// timers, whose destructors remove events from the base.

#include "corneltally/kernel/event_loop.h"

#include <cstdlib>
#include <memory>
#include <optional>

#include <catch2/catch.hpp>
#include <event2/event.h>

using namespace corneltally;

namespace {

const void *sWatchedBase = nullptr;
bool sBaseFreed = false;

void recordingFree(void *inMemory)
{
    if (inMemory != nullptr && inMemory == sWatchedBase)
        sBaseFreed = true;
    std::free(inMemory);
}

/// Its destructor records whether the event base of the loop was already freed.
struct destruction_probe
{
    explicit destruction_probe(std::optional<bool> &outBaseWasFreed)
        : baseWasFreed(outBaseWasFreed)
    { }
    ~destruction_probe() { baseWasFreed = sBaseFreed; }

    std::optional<bool> &baseWasFreed;
};

} // namespace

TEST_CASE("a task that never ran is destroyed before the event base")
{
    event_set_mem_functions(&std::malloc, &std::realloc, &recordingFree);
    std::optional<bool> first;
    std::optional<bool> second;
    {
        kernel::event_loop loop;
        sWatchedBase = loop.base();
        // The deleter of the object that the first task captures posts the second task.
        auto posting = std::shared_ptr<destruction_probe>(
            new destruction_probe(first), [&loop, &second](destruction_probe *inProbe) {
                delete inProbe;
                loop.post([keep = std::make_shared<destruction_probe>(second)] {});
            });
        loop.post([keep = std::move(posting)] {});
    }
    CHECK(sBaseFreed);
    REQUIRE(first.has_value());
    CHECK_FALSE(*first);
    REQUIRE(second.has_value());
    CHECK_FALSE(*second);
}
