#include "corneltally/settings/node_kind.h"

#include "corneltally/settings/key_definition.h"

#include <algorithm>
#include <string>

namespace corneltally::settings {

namespace {

node_kind groupOf(std::string_view inName)
{
    if (inName == "accounts")
        return node_kind::accounts;
    if (inName == "adapters")
        return node_kind::adapters;
    if (inName == "routes")
        return node_kind::routes;
    if (inName == "endpoints")
        return node_kind::endpoints;
    if (inName == "instances")
        return node_kind::instances;
    return node_kind::unknown;
}

node_kind childOf(node_kind inParent, std::string_view inName)
{
    switch (inParent) {
    case node_kind::root:
        return groupOf(inName);
    case node_kind::accounts:
        // "keys" would make the path of an account ambiguous.
        return inName == "keys" ? node_kind::unknown : node_kind::account;
    case node_kind::account:
        return inName == "keys" ? node_kind::keys : node_kind::account;
    case node_kind::keys:
        return node_kind::key;
    case node_kind::adapters:
        return node_kind::adapter;
    case node_kind::routes:
        return node_kind::route;
    case node_kind::endpoints:
        return node_kind::endpoint;
    case node_kind::instances:
        return node_kind::instance;
    default:
        return node_kind::unknown;
    }
}

} // namespace

node_kind kindOf(std::string_view inPath)
{
    if (inPath == "/")
        return node_kind::root;
    if (!inPath.starts_with('/'))
        return node_kind::unknown;
    node_kind kind = node_kind::root;
    int depth = 0;
    std::size_t start = 1;
    while (start <= inPath.size() && kind != node_kind::unknown) {
        const std::size_t end = std::min(inPath.find('/', start), inPath.size());
        const std::string_view name = inPath.substr(start, end - start);
        if (++depth > cMaxDepth || !isName(name))
            return node_kind::unknown;
        kind = childOf(kind, name);
        start = end + 1;
    }
    return kind;
}

std::string_view pathPattern(node_kind inKind)
{
    switch (inKind) {
    case node_kind::root:
        return "/";
    case node_kind::accounts:
        return "/accounts";
    case node_kind::account:
        return "/accounts/<name>";
    case node_kind::keys:
        return "/accounts/<name>/keys";
    case node_kind::key:
        return "/accounts/<name>/keys/<id>";
    case node_kind::adapters:
        return "/adapters";
    case node_kind::adapter:
        return "/adapters/<name>";
    case node_kind::routes:
        return "/routes";
    case node_kind::route:
        return "/routes/<name>";
    case node_kind::endpoints:
        return "/endpoints";
    case node_kind::endpoint:
        return "/endpoints/<name>";
    case node_kind::instances:
        return "/instances";
    case node_kind::instance:
        return "/instances/<name>";
    case node_kind::unknown:
        break;
    }
    return "";
}

node_kind parentKind(node_kind inKind)
{
    switch (inKind) {
    case node_kind::account:
        return node_kind::accounts;
    case node_kind::keys:
        return node_kind::account;
    case node_kind::key:
        return node_kind::keys;
    case node_kind::adapter:
        return node_kind::adapters;
    case node_kind::route:
        return node_kind::routes;
    case node_kind::endpoint:
        return node_kind::endpoints;
    case node_kind::instance:
        return node_kind::instances;
    default:
        return node_kind::root;
    }
}

std::string_view parentPath(std::string_view inPath)
{
    const std::size_t slash = inPath.rfind('/');
    return slash == 0 || slash == std::string_view::npos ? std::string_view("/")
                                                         : inPath.substr(0, slash);
}

std::string_view nameOf(std::string_view inPath)
{
    return inPath.substr(inPath.rfind('/') + 1);
}

} // namespace corneltally::settings
