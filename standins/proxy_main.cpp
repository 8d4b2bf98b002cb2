#include "standins/flag_parser.h"
#include "standins/host.h"
#include "standins/proxy_service.h"

int main(int inCount, char **inArguments)
{
    standins::host_options process{.name = "proxy"};
    std::vector<std::string> links;
    standins::flag_parser flags("fault-injecting TCP proxy");
    process.addFlags(flags);
    flags.add("link", "name=ip:port of a link, or a name whose target is set later (several)",
              links);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host host(process);
    standins::proxy_service service(host);
    for (const std::string &link : links)
        service.addFromFlag(link);
    if (!host.listen([&service](const auto &inExchange) { service.handle(inExchange); }))
        return 1;
    host.run();
    return 0;
}
