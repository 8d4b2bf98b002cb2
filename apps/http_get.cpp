#include "apps/http_get.h"

#include "corneltally/kernel/event_loop.h"

namespace corneltally::apps {

http::response httpGet(const http::address &inAddress, const std::string &inPath)
{
    kernel::event_loop loop;
    http::client client(loop);
    http::response answer;
    http::fetch(client, {.target = inAddress, .path = inPath, .timeout = std::chrono::seconds(5)},
                [&](const http::response &inResponse) {
                    answer = inResponse;
                    loop.stop();
                });
    loop.run();
    return answer;
}

std::string describeFailure(const http::response &inResponse)
{
    if (inResponse.outcome == http::call_outcome::not_sent)
        return "no connection; check the operator address and that the instance runs";
    if (inResponse.outcome != http::call_outcome::completed)
        return "no answer within 5 s; check the instance's log";
    if (inResponse.status != 200)
        return "status " + std::to_string(inResponse.status)
            + "; check that this is an operator "
              "address";
    return "";
}

} // namespace corneltally::apps
