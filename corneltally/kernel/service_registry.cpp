#include "corneltally/kernel/service_registry.h"

#include "corneltally/kernel/service.h"

#include <algorithm>
#include <cassert>

namespace corneltally::kernel {

service_registry::service_registry(event_loop &inLoop)
    : mLoop(inLoop)
{ }

service_registry::~service_registry()
{
    // Destroy in reverse order: later services may use earlier ones in their destructors.
    while (!mServices.empty())
        mServices.pop_back();
}

void service_registry::startAll()
{
    for (const std::unique_ptr<service> &entry : mServices)
        entry->start();
}

std::string service_registry::dumpAll() const
{
    std::string text = "{";
    for (const std::unique_ptr<service> &entry : mServices) {
        if (text.size() > 1)
            text.append(",");
        text.append("\"").append(entry->name()).append("\":").append(entry->dump());
    }
    text.append("}");
    return text;
}

void service_registry::addService(std::unique_ptr<service> inService)
{
    assert(std::ranges::none_of(
        mServices, [&](const auto &inOther) { return inOther->name() == inService->name(); }));
    mServices.push_back(std::move(inService));
}

} // namespace corneltally::kernel
