// Generated histories of a block store whose bytes lie in reused cells. The
// oracle is the bytes: whatever a reader is sent must be what a finished
// write of that very block put there, of the reader's own scope.
#include "core/overloaded.hpp"
#include "kept_cache/block_store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace wagtailseam::kept_cache
{
namespace
{

constexpr std::size_t memory_cells = 8;
constexpr std::size_t disk_cells = 8;
constexpr std::size_t scopes = 2;
constexpr std::size_t pieces = 4;

/// Bytes of both tiers. Freed cells go to the next write; a reader that held
/// on to old cells would see the new bytes.
class cell_arena
{
public:
    std::vector<std::size_t> take(tier in, std::size_t count)
    {
        auto& cells = of(in);
        std::vector<std::size_t> taken;
        for (std::size_t i = 0; i < cells.size() && taken.size() < count; ++i)
        {
            if (!cells[i].used)
            {
                cells[i] = {true, '?'};
                taken.push_back(i);
            }
        }
        RC_ASSERT(taken.size() == count);
        return taken;
    }
    void give_back(tier in, const std::vector<std::size_t>& cells)
    {
        for (const std::size_t i : cells)
        {
            of(in)[i] = {false, '!'};
        }
    }
    char& at(tier in, std::size_t number) { return of(in)[number].byte; }

private:
    struct cell
    {
        bool used = false;
        char byte = '!';
    };
    std::vector<cell>& of(tier in)
    {
        return in == tier::memory ? memory_ : disk_;
    }
    std::vector<cell> memory_{memory_cells};
    std::vector<cell> disk_{disk_cells};
};

struct stored
{
    std::string content;
    std::map<tier, std::vector<std::size_t>> cells;
    std::size_t written = 0;
    bool finished_whole = false;
    bool disk_valid = false;

    bool readable() const
    {
        return finished_whole && (cells.contains(tier::memory) ||
                                  (disk_valid && cells.contains(tier::disk)));
    }
};

struct copy_under_way
{
    chunk_allowed allowed;
    std::vector<std::size_t> cells;
    std::size_t scope = 0;
};

class history
{
public:
    explicit history(std::uint64_t seed) : random_(seed) { restart(); }

    void run(std::size_t steps)
    {
        for (std::size_t i = 0; i < steps; ++i)
        {
            now_ += duration(random_.below(200'000));
            step();
        }
    }

    std::uint64_t reads() const { return reads_; }

private:
    /// A crash: a new life without any block; old messages stay on their way.
    void restart()
    {
        store_ = std::make_unique<block_store>(
            block_store_options{
                .memory_capacity = byte_count{memory_cells},
                .disk_capacity = byte_count{disk_cells},
                .demotion_threshold = 0.6,
                .pin_lifetime = std::chrono::seconds(2),
                .write_lifetime = std::chrono::seconds(3),
                .max_blocks = 10,
                .max_pins = 4,
                .eviction_sample = 2},
            incarnation{++life_}, random_source(random_.bits()));
        arena_ = cell_arena();
        blocks_.clear();
    }

    static block_id id_of(std::size_t scope, std::size_t piece)
    {
        static const std::vector<block_id> ids = []
        {
            std::vector<block_id> all;
            for (std::size_t i = 0; i < scopes * pieces; ++i)
            {
                all.push_back(sha256(std::to_string(i)));
            }
            return all;
        }();
        return ids[scope * pieces + piece];
    }
    static scope_tag tag(std::size_t scope) { return scope_tag{scope + 1}; }

    void step()
    {
        switch (random_.below(20))
        {
        case 0:
        case 1:
        case 2:
            return begin();
        case 3:
        case 4:
        case 5:
        case 6:
        case 7:
        case 8:
            return write_some();
        case 9:
        case 10:
        case 11:
            return open();
        case 12:
        case 13:
        case 14:
            return read();
        case 15:
        case 16:
            return finish_copy();
        case 17:
            return end_demotion();
        case 18:
            return disturb();
        default:
            return replay();
        }
    }

    void begin()
    {
        const std::size_t scope = random_.below(scopes);
        const std::size_t piece = random_.below(pieces);
        const std::string content =
            std::string(1 + random_.below(3), static_cast<char>('a' + scope)) +
            std::to_string(writes_++);
        writing_ = content;
        send(begin_write{
            .call = call_id{0},
            .scope = tag(scope),
            .id = id_of(scope, piece),
            .parent = piece == 0 ? block_id{} : id_of(scope, piece - 1),
            .length = byte_count{content.size()},
            .content = sha256(content),
            .recompute_cost = duration(1 + random_.below(1000))});
    }

    void write_some()
    {
        if (blocks_.empty())
        {
            return;
        }
        // Mostly the last write, so that blocks get whole.
        const block_ref ref = random_.below(4) == 0 || !blocks_.contains(last_)
                                  ? any_block()
                                  : last_;
        stored& block = blocks_.at(ref);
        if (block.written < block.content.size() && random_.below(8) != 0)
        {
            const std::size_t some = 1 + random_.below(3);
            for (std::size_t i = 0; i < some; ++i)
            {
                write_cell(block);
            }
            return;
        }
        // A broken writer may report an end that is none.
        block.finished_whole |= block.written == block.content.size();
        const std::string arrived = block.content.substr(0, block.written);
        send(finish_write{
            call_id{0}, ref, byte_count{arrived.size()}, sha256(arrived)});
    }

    void write_cell(stored& block)
    {
        if (block.written < block.content.size() &&
            block.cells.contains(tier::memory))
        {
            const std::size_t cell = block.cells[tier::memory][block.written];
            arena_.at(tier::memory, cell) = block.content[block.written];
            ++block.written;
        }
    }

    block_ref any_block()
    {
        auto it = blocks_.begin();
        std::advance(it, random_.below(blocks_.size()));
        return it->first;
    }

    void open()
    {
        const std::size_t scope = random_.below(scopes);
        const std::size_t asked =
            random_.below(6) == 0 ? random_.below(scopes) : scope;
        opening_scope_ = asked;
        const block_id id = random_.below(2) == 0
                                ? last_.id
                                : id_of(scope, random_.below(pieces));
        send(open_block{call_id{0}, tag(asked), id});
    }

    void read()
    {
        if (opened_.empty())
        {
            return;
        }
        const auto& [open, scope] = random_.below(3) == 0
                                        ? opened_[random_.below(opened_.size())]
                                        : opened_.back();
        opening_scope_ = scope;
        const std::size_t offset = random_.below(open.length.value());
        send(read_chunk{
            call_id{0}, open.pin, open.ref, byte_count{offset},
            byte_count{open.length.value() - offset}});
    }

    void finish_copy()
    {
        if (copies_.empty())
        {
            return;
        }
        const std::size_t at = random_.below(copies_.size());
        const copy_under_way copy = copies_[at];
        copies_.erase(copies_.begin() + static_cast<std::ptrdiff_t>(at));
        copied_.clear();
        for (const std::size_t cell : copy.cells)
        {
            copied_ += arena_.at(copy.allowed.from, cell);
        }
        reading_ = copy;
        send(chunk_read{
            copy.allowed.call, copy.allowed.pin, copy.allowed.ref,
            random_.below(20) != 0});
    }

    void end_demotion()
    {
        if (demotions_.empty())
        {
            return;
        }
        const auto [number, ref, length] = demotions_.front();
        demotions_.pop_front();
        const auto found = blocks_.find(ref);
        const bool whole = random_.below(4) != 0;
        if (found != blocks_.end() && whole &&
            found->second.cells.contains(tier::memory))
        {
            auto& cells = found->second.cells;
            for (std::size_t i = 0; i < cells[tier::disk].size(); ++i)
            {
                arena_.at(tier::disk, cells[tier::disk][i]) =
                    arena_.at(tier::memory, cells[tier::memory][i]);
            }
        }
        ending_ = whole ? std::optional(ref) : std::nullopt;
        send(demotion_ended{number, ref, whole});
        ending_.reset();
    }

    void disturb()
    {
        switch (random_.below(8))
        {
        case 0:
            return restart();
        case 1:
            return send(free_scope{tag(random_.below(scopes))});
        case 2:
        case 3:
            return send(free_block{
                id_of(random_.below(scopes), random_.below(pieces))});
        case 4:
            now_ += std::chrono::seconds(2);
            return send(store_tick{});
        default:
            if (!opened_.empty())
            {
                send(release_pin{
                    opened_[random_.below(opened_.size())].first.pin});
            }
        }
    }

    void replay()
    {
        if (!sent_.empty())
        {
            const store_event again = sent_[random_.below(sent_.size())];
            if (std::holds_alternative<finish_write>(again) ||
                std::holds_alternative<release_pin>(again) ||
                std::holds_alternative<demotion_ended>(again) ||
                std::holds_alternative<abort_write>(again))
            {
                send(again);
            }
        }
    }

    void send(const store_event& what)
    {
        sent_.push_back(what);
        for (const store_command& command : store_->handle(what, now_))
        {
            std::visit([this](const auto& c) { carry_out(c); }, command);
        }
    }

    void carry_out(const write_accepted& c)
    {
        last_ = c.ref;
        stored& block = blocks_[c.ref];
        block.content = writing_;
        block.cells[tier::memory] = arena_.take(tier::memory, c.length.value());
    }
    void carry_out(const write_committed& c)
    {
        RC_ASSERT(blocks_.at(c.ref).finished_whole);
    }
    void carry_out(const block_opened& c)
    {
        const stored& block = blocks_.at(c.ref);
        RC_ASSERT(block.readable());
        RC_ASSERT(c.content == sha256(block.content));
        RC_ASSERT(block.content[0] == static_cast<char>('a' + opening_scope_));
        opened_.emplace_back(c, opening_scope_);
    }
    void carry_out(const chunk_allowed& c)
    {
        const auto& cells = blocks_.at(c.ref).cells.at(c.from);
        const auto first =
            cells.begin() + static_cast<std::ptrdiff_t>(c.offset.value());
        copies_.push_back({c, {first, cells.end()}, opening_scope_});
        RC_ASSERT(copies_.back().cells.size() == c.length.value());
    }
    void carry_out(const chunk_ready& /*c*/)
    {
        ++reads_;
        const chunk_allowed& asked = reading_.allowed;
        const stored& block = blocks_.at(asked.ref);
        RC_ASSERT(block.readable());
        RC_ASSERT(copied_ == block.content.substr(asked.offset.value()));
        RC_ASSERT(block.content[0] == static_cast<char>('a' + reading_.scope));
    }
    void carry_out(const call_refused& /*c*/) {}
    void carry_out(const demote& c)
    {
        blocks_.at(c.ref).cells[tier::disk] =
            arena_.take(tier::disk, c.length.value());
        demotions_.push_back(c);
    }
    void carry_out(const release_bytes& c)
    {
        stored& block = blocks_.at(c.ref);
        block.disk_valid |= c.from == tier::memory && ending_ == c.ref;
        arena_.give_back(c.from, block.cells.at(c.from));
        block.cells.erase(c.from);
    }

    random_source random_;
    mono_time now_{};
    std::uint64_t life_ = 0;
    std::unique_ptr<block_store> store_;
    cell_arena arena_;
    std::map<block_ref, stored> blocks_;
    /// The block whose demotion just succeeded.
    std::optional<block_ref> ending_;
    std::vector<std::pair<block_opened, std::size_t>> opened_;
    std::vector<copy_under_way> copies_;
    std::deque<demote> demotions_;
    std::vector<store_event> sent_;
    std::string writing_;
    block_ref last_;
    std::size_t opening_scope_ = 0;
    std::string copied_;
    copy_under_way reading_;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
};

// 100 cases of 1,000 histories each.
RC_GTEST_PROP(
    block_store_history, reads_give_only_whole_blocks_of_their_own_scope,
    (std::uint64_t seed))
{
    constexpr std::uint64_t histories = 1000;
    constexpr std::size_t steps = 100;
    std::uint64_t reads = 0;
    for (std::uint64_t i = 0; i < histories; ++i)
    {
        history one(seed * histories + i);
        one.run(steps);
        reads += one.reads();
    }
    RC_ASSERT(reads > histories / 2);
}

} // namespace
} // namespace wagtailseam::kept_cache
