#pragma once

#include "corneltally/core/error.h"

#include <cassert>
#include <optional>
#include <utility>

namespace corneltally::core {

/// An optional value that keeps the reason why it is absent.
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

    /// The reason for the absence; meaningful only without a value.
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
