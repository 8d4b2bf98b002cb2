#pragma once

#include <string>
#include <vector>

namespace standins {

/// A client account of a deployment and the key that its callers use.
struct deployment_account
{
    std::string name;
    std::string key;
    double rateTokensPerSecond = 0;
    double burstTokens = 0;
    double weight = 1;
    /// Share of the calls that this account sends.
    double shareOfCalls = 0;
};

/// What a kind of request does.
enum class call_kind { completion, chat, idempotent_service, order };

/// A kind of request of a deployment and the route that serves it.
struct deployment_call
{
    std::string name;
    call_kind kind = call_kind::chat;
    std::string path;
    bool patient = false;
    bool streamed = true;
    int minPromptTokens = 1;
    int maxPromptTokens = 1;
    int minOutputTokens = 1;
    int maxOutputTokens = 1;
    int timeoutMs = 60'000;
    /// Share of all calls.
    double share = 0;

    bool isModel() const { return kind == call_kind::completion || kind == call_kind::chat; }
};

/// One of the two deployments of section 2.3 of the design page: accounts, routes, adapters and
/// the mix of requests.
class deployment
{
public:
    /// "strengvegur" is deployment S, "persatuan" deployment P. An unknown name gives an empty
    /// deployment.
    static deployment sNamed(const std::string &inName);

    const std::string &name() const { return mName; }
    const std::vector<std::string> &domains() const { return mDomains; }
    const std::vector<deployment_account> &accounts() const { return mAccounts; }
    const std::vector<deployment_call> &calls() const { return mCalls; }
    /// Delay between failure domains, one way.
    double crossDomainMs() const { return mCrossDomainMs; }
    const std::string &baseModel() const { return mBaseModel; }

    static std::string sAdapterName(long long inIndex);
    static std::string sAdapterVersion(long long inIndex);

    /// Accounts, routes and adapters of the settings tree as TOML.
    std::string treeToml(long long inAdapters) const;

private:
    std::string mName;
    std::vector<std::string> mDomains;
    std::vector<deployment_account> mAccounts;
    std::vector<deployment_call> mCalls;
    double mCrossDomainMs = 0;
    std::string mBaseModel;
};

} // namespace standins
