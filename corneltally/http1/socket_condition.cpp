#include "corneltally/http1/socket_condition.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace corneltally::http1 {

bool isAcknowledged(int inSocket)
{
    int unacknowledged = 0;
    ::ioctl(inSocket, SIOCOUTQ, &unacknowledged);
    return unacknowledged == 0;
}

bool hasFailed(int inSocket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(inSocket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
}

} // namespace corneltally::http1
