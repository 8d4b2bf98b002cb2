#pragma once

#include "corneltally/core/error.h"

#include <cassert>
#include <optional>
#include <utility>

namespace corneltally::core {

/// A value, or the error that explains its absence.
template <typename T>
class result
{
public:
    result(T inValue)
        : mValue(std::move(inValue))
    { }
    result(error inReason)
        : mReason(std::move(inReason))
    { }

    bool hasValue() const { return mValue.has_value(); }
    explicit operator bool() const { return hasValue(); }

    const T &value() const &
    {
        assert(mValue.has_value());
        return *mValue;
    }
    T &&value() &&
    {
        assert(mValue.has_value());
        return std::move(*mValue);
    }
    const T *operator->() const { return &value(); }
    const T &operator*() const & { return value(); }

    /// The error; only valid if there is no value.
    const error &reason() const
    {
        assert(!mValue.has_value());
        return mReason;
    }

private:
    std::optional<T> mValue;
    error mReason;
};

} // namespace corneltally::core
