#include "corneltally/entry/settings_publisher.h"

namespace corneltally::entry {

template class settings_publisher<platform::log_client>;

} // namespace corneltally::entry
