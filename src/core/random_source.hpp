// The random source that decision cores are given, so that a seed repeats a
// run.
#ifndef WAGTAILSEAM_CORE_RANDOM_SOURCE_HPP
#define WAGTAILSEAM_CORE_RANDOM_SOURCE_HPP

#include <cstdint>
#include <random>

namespace wagtailseam
{

/// A seeded pseudo-random generator; the same seed gives the same numbers on
/// every platform (the standard distributions do not promise that).
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// Returns 64 uniform bits.
    [[nodiscard]] std::uint64_t bits() { return engine_(); }

    /// Returns a number in [0, 1).
    [[nodiscard]] double unit()
    {
        constexpr int mantissa_bits = 53;
        return static_cast<double>(engine_() >> (64 - mantissa_bits)) *
               (1.0 / static_cast<double>(1ULL << mantissa_bits));
    }

    /// Returns a number in [0, bound). @pre bound > 0
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return engine_() % bound;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace wagtailseam

#endif
