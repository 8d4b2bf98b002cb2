#include "standins/deployment.h"

#include "corneltally/core/digest.h"

#include <sstream>

namespace standins {

namespace core = corneltally::core;

namespace {

const std::vector<deployment_account> cAccountsS{
    {"harbour", "key-harbour-5f1c", 6'000, 60'000, 1, 0.34},
    {"mill", "key-mill-83aa", 5'000, 50'000, 1, 0.28},
    {"quarry", "key-quarry-d2e7", 1'500, 20'000, 1, 0.16},
    {"bakery", "key-bakery-9b04", 1'200, 16'000, 1, 0.12},
    {"ferry", "key-ferry-c6d9", 1'000, 16'000, 1, 0.10},
};

const std::vector<deployment_account> cAccountsP{
    {"registry", "key-registry-41be", 8'000, 80'000, 1, 0.36},
    {"clinic", "key-clinic-07fd", 6'000, 60'000, 1, 0.28},
    {"school", "key-school-e91a", 2'500, 40'000, 1, 0.14},
    {"library", "key-library-3c58", 2'500, 40'000, 1, 0.12},
    {"council", "key-council-b672", 2'000, 40'000, 1, 0.10},
};

/// Quotes must feel prompt; reviews and certificate checks may be slow; orders run once.
const std::vector<deployment_call> cCallsS{
    {"quote", call_kind::chat, "/v1/chat/completions", false, true, 40, 160, 24, 64, 30'000, 0.50},
    {"review", call_kind::completion, "/v1/completions", true, true, 400, 1'200, 100, 250, 120'000,
     0.13},
    {"certificate", call_kind::completion, "/certificates", true, false, 200, 600, 40, 80, 120'000,
     0.07},
    {"stock", call_kind::idempotent_service, "/stock", false, false, 1, 1, 1, 1, 10'000, 0.20},
    {"order", call_kind::order, "/orders", false, false, 1, 1, 1, 1, 10'000, 0.10},
};

/// Status answers must not be late; assessments must not be lost; bookings run once.
const std::vector<deployment_call> cCallsP{
    {"status", call_kind::chat, "/v1/chat/completions", false, true, 20, 60, 8, 24, 30'000, 0.45},
    {"assessment", call_kind::completion, "/v1/completions", true, true, 800, 2'000, 150, 300,
     120'000, 0.20},
    {"document", call_kind::completion, "/documents", true, false, 1'500, 3'000, 40, 100, 120'000,
     0.10},
    {"lookup", call_kind::idempotent_service, "/lookup", false, false, 1, 1, 1, 1, 10'000, 0.10},
    {"booking", call_kind::order, "/bookings", false, false, 1, 1, 1, 1, 10'000, 0.15},
};

void writeRoute(std::ostream &outText, const deployment_call &inCall)
{
    outText << "[routes." << inCall.name << "]\n"
            << "kind = \"" << (inCall.isModel() ? "model" : "service") << "\"\n"
            << "path = \"" << inCall.path << "\"\n"
            << "repeatable = " << (inCall.kind == call_kind::order ? "false" : "true") << "\n"
            << "require_idempotency_key = " << (inCall.kind == call_kind::order ? "true" : "false")
            << "\n"
            << "class = \"" << (inCall.patient ? "patient" : "prompt") << "\"\n"
            << "timeout_ms = " << inCall.timeoutMs << "\n";
}

} // namespace

deployment deployment::sNamed(const std::string &inName)
{
    deployment made;
    if (inName != "strengvegur" && inName != "persatuan")
        return made;
    const bool isS = inName == "strengvegur";
    made.mName = inName;
    made.mDomains = {"north", "middle", "south"};
    made.mAccounts = isS ? cAccountsS : cAccountsP;
    made.mCalls = isS ? cCallsS : cCallsP;
    made.mCrossDomainMs = isS ? 1.5 : 0.9;
    made.mBaseModel = isS ? "base-s" : "base-p";
    return made;
}

std::string deployment::sAdapterName(long long inIndex)
{
    std::string digits = std::to_string(inIndex);
    digits.insert(0, digits.size() < 4 ? 4 - digits.size() : 0, '0');
    return digits.insert(0, 1, 'a');
}

std::string deployment::sAdapterVersion(long long inIndex)
{
    return std::to_string(1 + inIndex % 3);
}

std::string deployment::treeToml(long long inAdapters) const
{
    std::ostringstream text;
    for (const deployment_account &account : mAccounts) {
        text << "[accounts." << account.name << "]\n"
             << "rate_tokens_per_second = " << account.rateTokensPerSecond << "\n"
             << "burst_tokens = " << account.burstTokens << "\n"
             << "weight = " << account.weight << "\n"
             << "[accounts." << account.name << ".keys.k1]\n"
             << "digest = \"" << core::sha256Hex(account.key) << "\"\n";
    }
    for (const deployment_call &call : mCalls)
        writeRoute(text, call);
    text << "[adapters]\nbase_model = \"" << mBaseModel << "\"\n";
    for (long long index = 0; index < inAdapters; ++index) {
        text << "[adapters." << sAdapterName(index) << "]\nversion = \"" << sAdapterVersion(index)
             << "\"\n";
    }
    return text.str();
}

} // namespace standins
