#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace corneltally::routing {

/// The failure domains in which one request may run. A default-constructed value allows all.
class allowed_domains
{
public:
    using domain_set = std::set<std::string, std::less<>>;

    allowed_domains() = default;
    explicit allowed_domains(domain_set inDomains)
        : mDomains(std::move(inDomains))
    { }

    bool isRestricted() const { return mDomains.has_value(); }
    /// Whether no failure domain is allowed.
    bool isEmpty() const { return mDomains && mDomains->empty(); }
    bool contains(std::string_view inFailureDomain) const
    {
        return !mDomains || mDomains->contains(inFailureDomain);
    }

    friend bool operator==(const allowed_domains &, const allowed_domains &) = default;

private:
    std::optional<domain_set> mDomains;
};

} // namespace corneltally::routing
