#include "corneltally/entry/settings_sync_service.h"

namespace corneltally::entry {

template class settings_sync_service<platform::log_client>;

} // namespace corneltally::entry
