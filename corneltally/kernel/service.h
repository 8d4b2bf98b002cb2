#pragma once

#include <string>
#include <string_view>

namespace corneltally::kernel {

/// A task with a name that owns its sockets and its state. Other services reach it by messages
/// only. The one abstract base of the kernel, since the registry stores services of different
/// types.
class service
{
public:
    virtual ~service() = default;

    virtual std::string_view name() const = 0;

    /// Opens sockets and starts timers; all services are registered when it is called.
    virtual void start() = 0;

    /// State of the service as a JSON object, for the dump.
    virtual std::string dump() const { return "{}"; }
};

} // namespace corneltally::kernel
