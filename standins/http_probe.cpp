#include "standins/http_probe.h"

namespace standins {

namespace http = corneltally::http;

http_probe::http_probe()
    : mClient(mLoop)
{ }

http::response http_probe::get(unsigned short inPort, std::string inPath)
{
    return call({.target = {"127.0.0.1", inPort}, .path = std::move(inPath)});
}

http::response http_probe::post(unsigned short inPort, std::string inPath, std::string inBody,
                                http::header_list inHeaders)
{
    return call({.target = {"127.0.0.1", inPort},
                 .method = "POST",
                 .path = std::move(inPath),
                 .headers = std::move(inHeaders),
                 .body = std::move(inBody)});
}

http::response http_probe::call(http::call_request inRequest)
{
    http::response answer;
    http::fetch(mClient, std::move(inRequest), [&](const http::response &inResponse) {
        answer = inResponse;
        mLoop.stop();
    });
    mLoop.run();
    return answer;
}

} // namespace standins
