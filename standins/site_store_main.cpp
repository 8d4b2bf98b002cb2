#include "standins/flag_parser.h"
#include "standins/site_store.h"

int main(int inCount, char **inArguments)
{
    standins::site_store_options options;
    standins::flag_parser flags("store of a platform, by the published protocol");
    options.addFlags(flags);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host process(options.process);
    standins::site_store service(process, options);
    if (!process.listen([&service](const auto &inExchange) { service.handle(inExchange); }))
        return 1;
    process.run();
    return 0;
}
