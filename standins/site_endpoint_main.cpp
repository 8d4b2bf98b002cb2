#include "standins/flag_parser.h"
#include "standins/site_endpoint.h"

int main(int inCount, char **inArguments)
{
    standins::site_endpoint_options options;
    standins::flag_parser flags("endpoint of a platform, by the published protocol");
    options.addFlags(flags);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host process(options.process);
    standins::site_endpoint endpoint(process, options);
    if (!process.listen([&endpoint](const auto &inExchange) { endpoint.handle(inExchange); }))
        return 1;
    endpoint.start(process.port("http"));
    process.run();
    return 0;
}
