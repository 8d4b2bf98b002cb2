#include "corneltally/core/error.h"

namespace corneltally::core {

std::string_view toString(error_kind inKind)
{
    switch (inKind) {
    case error_kind::invalid_request:
        return "invalid_request";
    case error_kind::unauthorized:
        return "unauthorized";
    case error_kind::forbidden:
        return "forbidden";
    case error_kind::not_found:
        return "not_found";
    case error_kind::rate_limited:
        return "rate_limited";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::timeout:
        return "timeout";
    case error_kind::conflict:
        return "conflict";
    case error_kind::outcome_unknown:
        return "outcome_unknown";
    case error_kind::internal:
        break;
    }
    return "internal";
}

int httpStatus(error_kind inKind)
{
    switch (inKind) {
    case error_kind::invalid_request:
        return 400;
    case error_kind::unauthorized:
        return 401;
    case error_kind::forbidden:
        return 403;
    case error_kind::not_found:
        return 404;
    case error_kind::rate_limited:
        return 429;
    case error_kind::overloaded:
    case error_kind::unavailable:
        return 503;
    case error_kind::timeout:
        return 504;
    case error_kind::conflict:
        return 409;
    case error_kind::outcome_unknown:
        return 502;
    case error_kind::internal:
        break;
    }
    return 500;
}

} // namespace corneltally::core
