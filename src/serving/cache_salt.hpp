// Encodes the weights and the scope of cached parts as the salt under which
// upstreams and cache stores hold them.
#ifndef WAGTAILSEAM_SERVING_CACHE_SALT_HPP
#define WAGTAILSEAM_SERVING_CACHE_SALT_HPP

#include "core/ids.hpp"
#include "core/random_source.hpp"
#include "serving/ids.hpp"

#include <optional>

namespace wagtailseam::serving
{

/// What parts under one salt have in common.
struct cache_namespace
{
    model_id model;
    weight_version version;
    /// Empty if all workspaces share the parts.
    cache_scope scope;

    friend bool operator==(const cache_namespace&, const cache_namespace&) =
        default;
};

/// Returns the salt of a namespace. Different namespaces have different salts,
/// whatever characters their fields contain. The salt consists of letters,
/// digits and a few punctuation characters, so that HTTP and JSON preserve it.
/// Complexity: linear in the size of the fields.
[[nodiscard]] cache_salt make_cache_salt(const cache_namespace& fields);

/// Returns the namespace whose salt it is, nothing if there is none.
/// @invariant parse_cache_salt(make_cache_salt(fields)) == fields
[[nodiscard]] std::optional<cache_namespace> parse_cache_salt(
    const cache_salt& salt);

/// Returns the weight version in a salt of releases before namespaced salts. In
/// these, the end of the model's name is ambiguous.
/// @param model the model of the part, as the store reports it
/// @return nothing if such a release did not create the salt for the model
[[nodiscard]] std::optional<weight_version> version_from_legacy_salt(
    const cache_salt& salt, const model_id& model);

/// Returns a salt that no other request uses, for a request whose parts must
/// not be shared.
[[nodiscard]] cache_salt make_unshared_salt(random_source& random);

} // namespace wagtailseam::serving

#endif
