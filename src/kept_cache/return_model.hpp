// Learns how likely a block is used again after a time of rest. Follows "LHD:
// Improving Cache Hit Rate by Maximizing Hit Density" (Beckmann, Chen,
// Cidon, NSDI 2018): hits expected per unit of space and time.
#ifndef WAGTAILSEAM_KEPT_CACHE_RETURN_MODEL_HPP
#define WAGTAILSEAM_KEPT_CACHE_RETURN_MODEL_HPP

#include "core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace wagtailseam::kept_cache
{

/// What is known of a block when its return is judged.
struct reuse_history
{
    /// Blocks of one group are likely to return alike.
    std::uint64_t group = 0;
    /// How often the block was used.
    std::uint32_t uses = 0;
};

/// Counts, for each class of blocks and octave of idle time, how often a use
/// or an eviction ended the idle time.
class return_model
{
public:
    return_model();

    /// Records that a block was used again after `idle`.
    void note_return(const reuse_history& block, duration idle);

    /// Records that a block was evicted after `idle` without a use.
    void note_eviction(const reuse_history& block, duration idle);

    /// Returns expected returns a second for a block idle for `idle`.
    /// Complexity: constant.
    [[nodiscard]] double returns_per_second(
        const reuse_history& block, duration idle) const noexcept;

private:
    /// Octaves of seconds; the last one begins after 12 days.
    static constexpr std::size_t octaves = 21;
    /// Blocks are classed by 0, 1, 2 and 3 or more earlier uses, and by their
    /// group; groups beyond this number share classes.
    static constexpr std::size_t use_levels = 4;
    static constexpr std::size_t groups = 16;
    static constexpr std::size_t classes = use_levels * groups;
    /// Notes between two computations of the density table.
    static constexpr std::uint32_t notes_per_refresh = 256;

    struct reuse_class
    {
        std::array<double, octaves> returns{};
        std::array<double, octaves> evictions{};
        /// Returns a second at the beginning of each octave.
        std::array<double, octaves> density{};
    };

    [[nodiscard]] static std::size_t octave_of(duration idle) noexcept;
    [[nodiscard]] static std::size_t class_of(
        const reuse_history& block) noexcept;
    void note();
    void refresh() noexcept;

    /// @invariant all counts are positive, so that densities are finite.
    std::array<reuse_class, classes> classes_;
    std::uint32_t notes_since_refresh_ = 0;
};

} // namespace wagtailseam::kept_cache

#endif
