#include "corneltally/entry/claims_service.h"

namespace corneltally::entry {

template class claims_service<platform::log_client>;

} // namespace corneltally::entry
