// Divides the memory for request bodies among the connections of a server.
#ifndef WAGTAILSEAM_HTTP_BODY_BUDGET_HPP
#define WAGTAILSEAM_HTTP_BODY_BUDGET_HPP

#include "core/strong_type.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace wagtailseam::http
{

/// Identifies a connection of one server.
using connection_id = strong_id<struct connection_id_tag, std::uint64_t>;

struct body_budget_options
{
    /// Memory for the bodies of all requests together.
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
    /// Bodies above this size use at most `large_share` of the budget, so that
    /// they leave memory for ordinary requests.
    std::size_t small_body_bytes = std::size_t{64} * 1024;
    double large_share = 0.75;
};

/// Answer to a request for memory.
struct reservation
{
    bool granted = false;
    /// Unfinished requests that must end now. Their memory is released.
    std::vector<connection_id> evicted;
};

/// Requests whose bodies are still being received yield to others, the one
/// that occupies the most memory first, since it may never end. A request that
/// has been received keeps its memory until release(). Not thread-safe.
class body_budget
{
public:
    explicit body_budget(const body_budget_options& options = {});

    /// Raises the budget to at least this size.
    void ensure_capacity(std::size_t max_bytes);

    /// Sets the memory that a connection's unfinished body occupies.
    /// Complexity: logarithmic in the number of connections per evicted one.
    [[nodiscard]] reservation reserve(connection_id id, std::size_t bytes);
    /// Sets the memory of a request that has been received completely.
    [[nodiscard]] reservation complete(connection_id id, std::size_t bytes);
    /// Releases the memory of a connection; no effect if it has none.
    void release(connection_id id);

    [[nodiscard]] std::size_t used_bytes() const noexcept { return used_; }

private:
    struct entry
    {
        std::size_t bytes = 0;
        /// Decreases with each progress of any request; unset if the body was
        /// received completely.
        std::optional<std::uint64_t> progress;
    };
    /// Bytes, inverse order of the last progress, connection: of several of one
    /// size the one without progress for longest is the greatest.
    using candidate = std::tuple<std::size_t, std::uint64_t, connection_id>;

    [[nodiscard]] reservation resize(
        connection_id id, std::size_t bytes, bool is_complete);
    body_budget_options options_;
    std::map<connection_id, entry> entries_;
    /// @invariant contains the entries with a progress
    std::set<candidate> unfinished_;
    /// @invariant sum over entries_
    std::size_t used_ = 0;
    std::uint64_t next_progress_ = std::numeric_limits<std::uint64_t>::max();
};

} // namespace wagtailseam::http

#endif
