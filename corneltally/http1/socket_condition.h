#pragma once

namespace corneltally::http1 {

/// Whether the peer of a TCP socket has received all bytes passed to the socket, as far as its
/// acknowledgements tell. True where they can't be asked for.
bool isAcknowledged(int inSocket);

/// Whether the connection of a socket has failed and no call has reported it yet. Reports it once.
bool hasFailed(int inSocket);

} // namespace corneltally::http1
