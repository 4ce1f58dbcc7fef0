// Chooses the upstream of an attempt.
#ifndef WAGTAILSEAM_ENTRY_CHOOSER_HPP
#define WAGTAILSEAM_ENTRY_CHOOSER_HPP

#include "core/random_source.hpp"
#include "entry/upstream_directory.hpp"

namespace wagtailseam::entry
{

/// Returns the least loaded of the candidates, ties broken at random; null
/// when there is none.
[[nodiscard]] const upstream_view* choose_least_loaded(
    std::span<const upstream_view* const> candidates, random_source& random);

} // namespace wagtailseam::entry

#endif
