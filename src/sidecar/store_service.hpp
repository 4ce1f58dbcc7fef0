// The store role: keeps blocks' bytes in memory under the rules of
// kept_cache::block_store and serves them over signed HTTP.
#ifndef WAGTAILSEAM_SIDECAR_STORE_SERVICE_HPP
#define WAGTAILSEAM_SIDECAR_STORE_SERVICE_HPP

#include "http/message.hpp"
#include "kept_cache/block_store.hpp"
#include "telemetry/metrics.hpp"

#include <map>
#include <string>

namespace wagtailseam::sidecar
{

/// Answers requests about blocks. All routes are POST; fields travel in the
/// query, so that the signature covers them, and bytes in the body:
///
/// /v1/blocks/write?id=&parent=&scope=&content=&cost_us=   (bytes)
/// /v1/blocks/open?id=&scope=            answers generation, pin, length,
/// digest /v1/blocks/read?id=&generation=&pin=&store=&offset=&length=   answers
/// bytes /v1/blocks/release?pin= /v1/blocks/free?id=
///
/// A refusal is status 409 with the code's number and name as JSON.
class store_service
{
public:
    store_service(
        kept_cache::block_store_options options, incarnation life,
        random_source random, telemetry::metrics& metrics);

    /// Whether the path belongs to this service.
    [[nodiscard]] static bool serves(std::string_view path) noexcept;

    /// Answers one request. The signature has been checked.
    [[nodiscard]] http::response handle(
        const http::request& asked, mono_time now);

    /// Lets pins and unfinished writes expire.
    void tick(mono_time now);

    [[nodiscard]] std::size_t blocks() const noexcept { return store_.size(); }

private:
    [[nodiscard]] http::response write(
        const http::request& asked, mono_time now);
    [[nodiscard]] http::response open(
        const http::request& asked, mono_time now);
    [[nodiscard]] http::response read(
        const http::request& asked, mono_time now);
    [[nodiscard]] http::response held(const http::request& asked) const;
    /// Applies an event, keeps the bytes in step, and returns the other
    /// commands.
    std::vector<kept_cache::store_command> apply(
        const kept_cache::store_event& what, mono_time now);
    [[nodiscard]] http::response refuse(
        const std::vector<kept_cache::store_command>& answers);
    void publish();

    incarnation life_;
    telemetry::metrics& metrics_;
    kept_cache::block_store store_;
    /// Bytes of the blocks in memory. @invariant holds exactly the blocks that
    /// store_ has accepted and not released.
    std::map<kept_cache::block_ref, std::string> bytes_;
};

} // namespace wagtailseam::sidecar

#endif
