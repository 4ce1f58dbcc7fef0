// The random number generator that is passed to state machines, so that a run
// can be reproduced from its seed.
#ifndef WAGTAILSEAM_CORE_RANDOM_SOURCE_HPP
#define WAGTAILSEAM_CORE_RANDOM_SOURCE_HPP

#include <cstdint>
#include <random>

namespace wagtailseam
{

/// A pseudo-random generator whose sequence depends on the seed only. It avoids
/// the standard distributions, whose results differ between platforms.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// Returns 64 uniformly distributed bits.
    [[nodiscard]] std::uint64_t bits() { return engine_(); }

    /// Returns a uniformly distributed number in [0, 1).
    [[nodiscard]] double unit()
    {
        constexpr int mantissa_bits = 53;
        return static_cast<double>(engine_() >> (64 - mantissa_bits)) *
               (1.0 / static_cast<double>(1ULL << mantissa_bits));
    }

    /// Returns a number in [0, bound), uniform up to the bias of the modulo
    /// operation. @pre bound > 0
    [[nodiscard]] std::uint64_t below(std::uint64_t bound)
    {
        return engine_() % bound;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace wagtailseam

#endif
