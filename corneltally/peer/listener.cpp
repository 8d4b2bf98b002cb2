#include "corneltally/peer/listener.h"

#include <utility>

namespace corneltally::peer {

listener::listener(kernel::event_loop &inLoop, handler inHandler)
    : mHandler(std::move(inHandler))
    , mListener(inLoop, [this, &inLoop](int inSocket) {
        mHandler(std::make_unique<connection>(inLoop, inSocket));
    })
{ }

bool listener::listen(const std::string &inHost, unsigned short inPort)
{
    return mListener.listen({inHost, inPort});
}

} // namespace corneltally::peer
