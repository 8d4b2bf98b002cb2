#include "standins/application_service.h"
#include "standins/flag_parser.h"
#include "standins/host.h"

int main(int inCount, char **inArguments)
{
    standins::host_options process{.name = "application"};
    double serviceMs = 20;
    standins::flag_parser flags("application stand-in: orders and other calls");
    process.addFlags(flags);
    flags.add("service-ms", "time before a run takes effect", serviceMs);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host host(process);
    standins::application_service service(host, serviceMs);
    if (!host.listen([&service](const auto &inExchange) { service.handle(inExchange); }))
        return 1;
    host.run();
    return 0;
}
