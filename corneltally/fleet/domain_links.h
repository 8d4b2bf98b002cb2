#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/fleet/heard_domain.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::fleet {

/// Timing of the links between failure domains.
struct domain_link_options
{
    /// A domain whose last summary is older than this is not heard.
    core::duration summaryTimeout = std::chrono::milliseconds(1000);
    /// The instance with the next rank takes over a link after each such time without a summary of
    /// the other domain.
    core::duration takeoverStep = std::chrono::milliseconds(500);
    /// After a link failed, the pair that then worked is kept for this long.
    core::duration keepTime = std::chrono::minutes(5);
    /// Ranks that may take over a link.
    std::ptrdiff_t maxTakeoverRank = 2;
};

/// Decides which instances exchange the summaries of failure domains. Two domains are connected by
/// one instance of each, the one with the greatest rendezvous weight for the pair, so that the
/// links spread over the instances. While a domain is not heard, or does not hear this one, the
/// sender searches its other instances, and further instances become senders. The pair that then
/// works stays in use, since each summary names the pair through which the other domain is heard.
class domain_links
{
public:
    domain_links(std::string inDomain, std::string inInstance, core::time_point inNow,
                 domain_link_options inOptions = {});

    /// Sets the other instances that may exist, with their failure domains.
    void setMembers(const std::map<std::string, std::string> &inDomains);

    /// Sets the live other instances of the own failure domain.
    void setLivePeers(std::set<std::string> inPeers) { mLivePeers = std::move(inPeers); }

    /// Notes a summary of another domain with the instances that it lists and the domains that its
    /// sender hears. It was received directly by inHeard.receiver, this instance or another one of
    /// the domain.
    void summaryReceived(const heard_domain &inHeard, std::set<std::string> inInstances,
                         const std::vector<heard_domain> &inHeardDomains, core::time_point inNow);

    /// Domains whose summaries arrive.
    std::vector<heard_domain> heardDomains(core::time_point inNow) const;

    /// Returns the instances of other domains that this instance sends its summary to now. Call
    /// once for each period of summaries.
    std::vector<std::string> targets(core::time_point inNow);

    /// Whether the link to a domain fails: no summary arrives from there, or none of this domain
    /// arrives there.
    bool isFailing(const std::string &inDomain, core::time_point inNow) const;

private:
    struct other_domain
    {
        /// Instances that may exist, those preferred for the link first.
        std::vector<std::string> members;
        /// Instances that the last summary lists.
        std::set<std::string> listed;
        heard_domain heard;
        core::time_point heardAt;
        bool isHeard = false;
        /// When a summary was received whose sender hears this domain, and the pair through which.
        core::time_point mutualAt;
        std::string lastSender;
        std::string lastReceiver;
        /// The last pair is preferred to that of the greatest weights until this time.
        core::time_point keepLastUntil;
        std::size_t searchStep = 0;
    };

    std::string pairWith(const std::string &inDomain) const;
    bool isSender(const std::string &inDomain, const other_domain &inOther,
                  core::time_point inNow) const;
    bool isHeardWithin(const other_domain &inOther, core::time_point inNow) const;

    domain_link_options mOptions;
    std::string mDomain;
    std::string mInstance;
    std::set<std::string> mLivePeers;
    std::map<std::string, other_domain> mOthers;
    core::time_point mStartedAt;
};

} // namespace corneltally::fleet
