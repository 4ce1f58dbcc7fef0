// What the block store hears and says: plain data, no I/O.
#ifndef WAGTAILSEAM_KEPT_CACHE_STORE_MESSAGES_HPP
#define WAGTAILSEAM_KEPT_CACHE_STORE_MESSAGES_HPP

#include "core/clock.hpp"
#include "core/result_code.hpp"
#include "kept_cache/prefix.hpp"

#include <cstdint>
#include <variant>

namespace wagtailseam::kept_cache
{

/// Grows with each write that a store begins; never used twice in one life.
using block_generation = strong_id<struct block_generation_tag, std::uint64_t>;
/// Names one reader's hold on one generation of a block.
using pin_id = strong_id<struct pin_id_tag, std::uint64_t>;
/// Names one copy of a block from memory to disk.
using demotion_id = strong_id<struct demotion_id_tag, std::uint64_t>;
/// Chosen by the shell; returned with the answer to its event.
using call_id = strong_id<struct call_id_tag, std::uint64_t>;
/// A short digest of a prefix root: blocks with different tags belong to
/// different workspaces, models, adapters or weight versions.
using scope_tag = strong_id<struct scope_tag_tag, std::uint64_t>;

/// Returns the tag of a prefix root; the root cannot be computed from it.
[[nodiscard]] scope_tag scope_tag_of(const digest& root);

/// One write of a block in one life of one store.
struct block_ref
{
    incarnation store;
    block_id id;
    block_generation generation;

    friend bool operator==(const block_ref&, const block_ref&) = default;
    friend auto operator<=>(const block_ref&, const block_ref&) = default;
};

/// Where a block's bytes lie.
enum class tier : std::uint8_t
{
    memory,
    disk,
};

/// A writer wants to store a block.
struct begin_write
{
    call_id call;
    scope_tag scope;
    block_id id;
    /// The block of the piece before; all zero bytes for the first piece.
    block_id parent;
    byte_count length;
    /// SHA-256 of the whole block, from the exporting engine's sidecar.
    digest content;
    /// Time that an engine needs to compute the block.
    duration recompute_cost{0};
};

/// All bytes of a write have arrived.
struct finish_write
{
    call_id call;
    block_ref ref;
    /// What arrived, as the shell measured it.
    byte_count length;
    digest content;
};

/// The writer gave up or its connection broke.
struct abort_write
{
    block_ref ref;
};

/// A reader wants to open a committed block.
struct open_block
{
    call_id call;
    scope_tag scope;
    block_id id;
};

/// A reader wants bytes of a block that it pinned.
struct read_chunk
{
    call_id call;
    pin_id pin;
    block_ref ref;
    byte_count offset;
    byte_count length;
};

/// The shell has read the bytes allowed by chunk_allowed and holds a copy.
struct chunk_read
{
    call_id call;
    pin_id pin;
    block_ref ref;
    /// False when the medium reported an error.
    bool succeeded = true;
};

struct release_pin
{
    pin_id pin;
};

/// The answer to demote.
struct demotion_ended
{
    demotion_id number;
    block_ref ref;
    /// False when the disk was full or refused the write.
    bool succeeded = false;
};

/// Frees one block, pinned or not.
struct free_block
{
    block_id id;
};

/// Frees all blocks of a scope: a weight version or workspace was retired.
struct free_scope
{
    scope_tag scope;
};

/// Lets pins and unfinished writes expire.
struct store_tick
{
};

using store_event = std::variant<
    begin_write, finish_write, abort_write, open_block, read_chunk, chunk_read,
    release_pin, demotion_ended, free_block, free_scope, store_tick>;

/// The shell makes room for `length` bytes in memory and receives the block.
struct write_accepted
{
    call_id call;
    block_ref ref;
    byte_count length;
};

struct write_committed
{
    call_id call;
    block_ref ref;
};

/// The block can be read under the pin.
struct block_opened
{
    call_id call;
    block_ref ref;
    pin_id pin;
    byte_count length;
    digest content;
};

/// The shell copies the bytes, then reports chunk_read.
struct chunk_allowed
{
    call_id call;
    pin_id pin;
    block_ref ref;
    tier from = tier::memory;
    byte_count offset;
    byte_count length;
};

/// The bytes copied may be sent to the reader.
struct chunk_ready
{
    call_id call;
};

/// A call failed.
struct call_refused
{
    call_id call;
    result_code code = result_code::ok;
};

/// The shell copies the block from memory to disk, then reports
/// demotion_ended. The copy in memory stays until release_bytes.
struct demote
{
    demotion_id number;
    block_ref ref;
    byte_count length;
};

/// The shell gives back the room of these bytes.
struct release_bytes
{
    block_ref ref;
    tier from = tier::memory;
};

using store_command = std::variant<
    write_accepted, write_committed, block_opened, chunk_allowed, chunk_ready,
    call_refused, demote, release_bytes>;

} // namespace wagtailseam::kept_cache

#endif
