#include "corneltally/entry/owned_endpoint.h"

#include "corneltally/endpoint/engine_client.h"

namespace corneltally::entry {

std::string adapterName(std::string_view inAdapter, std::string_view inVersion)
{
    std::string name(inAdapter);
    return name.append("@").append(inVersion);
}

resident_adapter splitAdapterName(std::string_view inName)
{
    const std::size_t at = inName.rfind('@');
    if (at == std::string_view::npos)
        return {std::string(inName), ""};
    return {std::string(inName.substr(0, at)), std::string(inName.substr(at + 1))};
}

template class owned_endpoint<endpoint::engine_client>;

} // namespace corneltally::entry
