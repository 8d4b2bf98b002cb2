#pragma once

#include <string>
#include <string_view>

namespace corneltally::kernel {

/// A named component that owns its sockets and its state. Other services communicate with it only
/// by messages. This is an abstract base class because the registry stores services of different
/// types; the kernel has no other one.
class service
{
public:
    virtual ~service() = default;

    virtual std::string_view name() const = 0;

    /// Opens sockets and starts timers. Called after all services are registered.
    virtual void start() = 0;

    /// State of the service as a JSON object, for dumpAll() of the registry.
    virtual std::string dump() const { return "{}"; }
};

} // namespace corneltally::kernel
