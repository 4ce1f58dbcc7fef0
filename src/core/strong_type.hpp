// Strong types: values tagged with a kind, so that identifiers and units of
// different kinds cannot be mixed up.
#ifndef WAGTAILSEAM_CORE_STRONG_TYPE_HPP
#define WAGTAILSEAM_CORE_STRONG_TYPE_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace wagtailseam
{

/// An identifier: supports comparison and hashing, but no arithmetic.
/// @tparam Tag the kind; identifiers with different tags do not convert to each
/// other
template <class Tag, class Rep = std::string>
class strong_id
{
public:
    using rep = Rep;

    strong_id() = default;
    explicit strong_id(Rep value) noexcept : value_(std::move(value)) {}

    [[nodiscard]] const Rep& value() const noexcept { return value_; }

    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend auto operator<=>(const strong_id&, const strong_id&) = default;

private:
    Rep value_{};
};

/// An amount in one unit: supports addition and subtraction of the same unit.
template <class Tag, class Rep = std::uint64_t>
class quantity
{
public:
    using rep = Rep;

    constexpr quantity() = default;
    constexpr explicit quantity(Rep value) noexcept : value_(value) {}

    [[nodiscard]] constexpr Rep value() const noexcept { return value_; }

    constexpr quantity& operator+=(quantity other) noexcept
    {
        value_ += other.value_;
        return *this;
    }
    constexpr quantity& operator-=(quantity other) noexcept
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr quantity operator+(quantity a, quantity b) noexcept
    {
        return quantity{a.value_ + b.value_};
    }
    friend constexpr quantity operator-(quantity a, quantity b) noexcept
    {
        return quantity{a.value_ - b.value_};
    }
    friend constexpr bool operator==(quantity, quantity) = default;
    friend constexpr auto operator<=>(quantity, quantity) = default;

private:
    Rep value_{};
};

} // namespace wagtailseam

template <class Tag, class Rep>
struct std::hash<wagtailseam::strong_id<Tag, Rep>>
{
    std::size_t operator()(
        const wagtailseam::strong_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
