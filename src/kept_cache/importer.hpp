// Staged import of kept blocks into an engine: open, read, verify, hand over.
#ifndef WAGTAILSEAM_KEPT_CACHE_IMPORTER_HPP
#define WAGTAILSEAM_KEPT_CACHE_IMPORTER_HPP

#include "kept_cache/store_messages.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace wagtailseam::kept_cache
{

/// Numbers the flights of one importer; never used twice.
using flight_id = strong_id<struct flight_id_tag, std::uint64_t>;

/// A request waits for the leading pieces of its prompt.
struct import_prefix
{
    call_id call;
    /// The version that the blocks belong to.
    weight_version version;
    scope_tag scope;
    upstream_id store;
    /// The pieces to bring, in order; the engine holds those before.
    std::vector<block_id> ids;
    /// Gives up the rest at this time.
    mono_time give_up_at;
};

/// Import no longer pays, or the caller left.
struct abandon_import
{
    call_id call;
};

/// The store opened the block.
struct piece_opened
{
    flight_id flight;
    block_opened opened;
};

/// All bytes of a piece have arrived and are staged outside the engine.
struct piece_staged
{
    flight_id flight;
    block_id id;
    byte_count length;
    /// SHA-256 of what arrived, computed by this process.
    digest content;
};

/// The store refused, broke off or is gone.
struct piece_failed
{
    flight_id flight;
    block_id id;
    result_code code = result_code::store_lost;
};

/// The engine's answer to hand_to_engine.
struct engine_took
{
    flight_id flight;
    block_id id;
    bool accepted = false;
};

/// The engine runs these weights now.
struct engine_version
{
    weight_version version;
};

struct import_tick
{
};

using import_event = std::variant<
    import_prefix, abandon_import, piece_opened, piece_staged, piece_failed,
    engine_took, engine_version, import_tick>;

/// The shell opens the block at the store.
struct open_piece
{
    flight_id flight;
    upstream_id store;
    scope_tag scope;
    block_id id;
};

/// The shell reads the whole block into a staging buffer.
struct read_piece
{
    flight_id flight;
    upstream_id store;
    block_ref ref;
    pin_id pin;
    byte_count length;
};

/// The staged bytes are whole and verified: the engine may import them.
struct hand_to_engine
{
    flight_id flight;
    weight_version version;
    block_id id;
};

/// The shell drops the staging buffer and releases the pin, if any.
struct drop_piece
{
    flight_id flight;
    upstream_id store;
    block_id id;
    /// 0 when the store had not answered yet.
    pin_id pin;
};

/// The store holds bytes that do not match: it frees the block.
struct free_at_store
{
    upstream_id store;
    block_id id;
};

/// The first `pieces` of the ids asked for are in the engine; the rest is
/// recomputed.
struct import_ended
{
    call_id call;
    std::size_t pieces = 0;
    /// Why no more came; ok when all did.
    result_code code = result_code::ok;
};

using import_command = std::variant<
    open_piece, read_piece, hand_to_engine, drop_piece, free_at_store,
    import_ended>;

struct importer_options
{
    /// Bound of pieces under way.
    std::size_t max_flights = 8;
    /// Bound of imports waiting.
    std::size_t max_imports = 256;
    /// Bound of remembered blocks whose bytes did not match.
    std::size_t max_rejected = 1024;
};

/// The decision core of imports at an engine's sidecar.
///
/// A block has at most one flight, whoever waits for it. Bytes reach the
/// engine only after their digest matched, and only while the engine runs the
/// version that they belong to. Bytes that did not match are never read again.
class importer
{
public:
    explicit importer(importer_options options) : options_(options) {}

    /// Applies one event. Complexity: linear in waiting imports.
    [[nodiscard]] std::vector<import_command> handle(
        const import_event& what, mono_time now);

    [[nodiscard]] std::size_t flights() const noexcept
    {
        return flights_.size();
    }
    /// How often each reason ended an import early.
    [[nodiscard]] const std::map<result_code, std::uint64_t>& reasons()
        const noexcept
    {
        return reasons_;
    }

private:
    enum class stage : std::uint8_t
    {
        opening,
        reading,
        handing_over,
    };
    struct flight
    {
        flight_id number;
        upstream_id store;
        weight_version version;
        block_opened opened;
        stage at = stage::opening;
    };
    struct waiting
    {
        import_prefix asked;
        /// Leading pieces that the engine has taken.
        std::size_t done = 0;
        /// Positions after `done` that the engine has taken.
        std::set<std::size_t> landed;
        /// Why the ids were cut short; ok when they were not.
        result_code cut = result_code::ok;
    };

    void on(const import_prefix& asked);
    void on(const abandon_import& gone);
    void on(const piece_opened& done);
    void on(const piece_staged& done);
    void on(const piece_failed& failed);
    void on(const engine_took& done);
    void on(const engine_version& swapped);
    void on(const import_tick& tick);

    using flight_map = std::map<block_id, flight>;
    /// Returns the flight when it is this one and at this stage, else end():
    /// late messages of earlier flights change nothing.
    [[nodiscard]] flight_map::iterator find(
        flight_id number, const block_id& id, stage at);
    void drop(const block_id& id, const flight& under_way);
    void start_flights();
    /// Returns where the import still waits for the block.
    [[nodiscard]] static std::optional<std::size_t> awaited(
        const waiting& import, const block_id& id);
    void advance(const block_id& id);
    /// Ends the flight and all imports that wait for the block.
    void fail_piece(const block_id& id, result_code code);
    void end(std::map<call_id, waiting>::iterator which, result_code code);
    /// Drops flights that nobody waits for. A block handed to the engine stays
    /// until the engine's answer.
    void drop_unwanted();
    [[nodiscard]] bool wanted(const block_id& id) const;
    void reject(const block_ref& ref);

    importer_options options_;
    weight_version version_;
    mono_time now_{};
    std::map<call_id, waiting> imports_;
    flight_map flights_;
    std::uint64_t last_flight_ = 0;
    std::set<block_ref> rejected_;
    /// @invariant the refs of rejected_, the oldest first.
    std::deque<block_ref> rejected_order_;
    std::map<result_code, std::uint64_t> reasons_;
    std::vector<import_command> out_;
};

} // namespace wagtailseam::kept_cache

#endif
