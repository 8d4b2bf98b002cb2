#pragma once

#include <compare>
#include <string>

namespace corneltally::routing {

/// A member of a configuration document that is not as its format requires. Its value is not kept,
/// since it may be a key.
struct member_fault
{
    enum class fault_kind {
        /// The document is not valid JSON.
        syntax,
        missing,
        wrong_type,
        negative,
        /// A text that is none of the known values.
        unknown_value,
        /// A list without entries that counts as absent.
        empty_list,
        /// The member has a name that is not decoded.
        unknown_member,
    };

    fault_kind kind = fault_kind::missing;
    /// Part of the document, for example "route checkout" or "limits".
    std::string entry;
    std::string member;
    /// Expected type or values, if the kind has any.
    std::string expected;
    /// Line of a syntax error.
    int line = 0;

    friend auto operator<=>(const member_fault &, const member_fault &) = default;
};

} // namespace corneltally::routing
