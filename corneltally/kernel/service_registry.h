#pragma once

#include "corneltally/kernel/event_loop.h"

#include <any>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace corneltally::kernel {

class service;

/// Owns the services of a process and delivers typed messages to them by name, through the event
/// loop.
class service_registry
{
public:
    explicit service_registry(event_loop &inLoop);
    ~service_registry();

    event_loop &loop() { return mLoop; }

    /// Takes ownership of a service and returns it.
    template <typename T>
    T &add(std::unique_ptr<T> inService)
    {
        T &reference = *inService;
        addService(std::move(inService));
        return reference;
    }

    /// Starts all services in the order in which they were added.
    void startAll();

    /// Sets the handler of a named service for messages of type T. There is one handler per name
    /// and type; a later one replaces it.
    template <typename T>
    void handle(std::string_view inService, std::function<void(const T &)> inHandler)
    {
        mHandlers.insert_or_assign({std::string(inService), std::type_index(typeid(T))},
                                   [handler = std::move(inHandler)](const std::any &inMessage) {
                                       handler(*std::any_cast<T>(&inMessage));
                                   });
    }

    /// Queues a message for a named service. Returns false if it has no handler for the type.
    template <typename T>
    bool post(std::string_view inService, T inMessage)
    {
        const auto found = mHandlers.find({std::string(inService), std::type_index(typeid(T))});
        if (found == mHandlers.end())
            return false;
        mLoop.post([handler = &found->second, message = std::any(std::move(inMessage))] {
            (*handler)(message);
        });
        return true;
    }

    /// Queues a message for every service that handles its type.
    template <typename T>
    void broadcast(const T &inMessage)
    {
        for (const auto &[key, handler] : mHandlers) {
            if (key.second == std::type_index(typeid(T)))
                mLoop.post(
                    [target = &handler, message = std::any(inMessage)] { (*target)(message); });
        }
    }

    /// State of all services as one JSON object with a member per service.
    std::string dumpAll() const;

private:
    using handler_key = std::pair<std::string, std::type_index>;

    void addService(std::unique_ptr<service> inService);

    event_loop &mLoop;
    std::vector<std::unique_ptr<service>> mServices;
    std::map<handler_key, std::function<void(const std::any &)>> mHandlers;
};

} // namespace corneltally::kernel
