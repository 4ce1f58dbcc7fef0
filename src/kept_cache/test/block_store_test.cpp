// Block store: each refusal by itself, demotion, and what eviction saves.
#include "kept_cache/block_store.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>
#include <memory>

namespace wagtailseam::kept_cache
{
namespace
{

using std::chrono::seconds;

class block_store_test : public testing::Test
{
protected:
    static block_store_options small()
    {
        return {
            .memory_capacity = byte_count{4},
            .disk_capacity = byte_count{4},
            .demotion_threshold = 1.0};
    }
    void use(block_store_options options)
    {
        store_ = std::make_unique<block_store>(
            options, incarnation{7}, random_source(1));
    }
    std::vector<store_command> send(const store_event& what)
    {
        return store_->handle(what, now_);
    }
    template <class T>
    static T one(const std::vector<store_command>& from)
    {
        for (const store_command& c : from)
        {
            if (const T* found = std::get_if<T>(&c))
            {
                return *found;
            }
        }
        ADD_FAILURE() << "no such command";
        return {};
    }
    std::vector<store_command> begin(const std::string& name, std::size_t size)
    {
        return send(begin_write{
            .scope = scope_,
            .id = sha256(name),
            .length = byte_count{size},
            .content = sha256("bytes of " + name),
            .recompute_cost = duration(1000)});
    }
    block_ref put(const std::string& name, std::size_t size)
    {
        const auto accepted = one<write_accepted>(begin(name, size));
        send(finish_write{
            {}, accepted.ref, byte_count{size}, sha256("bytes of " + name)});
        return accepted.ref;
    }
    std::vector<store_command> open(const std::string& name)
    {
        return send(open_block{{}, scope_, sha256(name)});
    }
    std::vector<store_command> read(const block_opened& held)
    {
        return send(
            read_chunk{{}, held.pin, held.ref, byte_count{0}, held.length});
    }
    static result_code refusal(const std::vector<store_command>& from)
    {
        return one<call_refused>(from).code;
    }

    mono_time now_{seconds(100)};
    scope_tag scope_{1};
    std::unique_ptr<block_store> store_ = std::make_unique<block_store>(
        small(), incarnation{7}, random_source(1));
};

TEST_F(block_store_test, open_of_pending_block_is_refused)
{
    begin("a", 2);
    EXPECT_EQ(refusal(open("a")), result_code::block_not_committed);
}

TEST_F(block_store_test, open_under_other_scopeis_refused)
{
    put("a", 2);
    EXPECT_EQ(
        refusal(send(open_block{{}, scope_tag{2}, sha256("a")})),
        result_code::block_not_committed);
    EXPECT_EQ(store_->held_pieces(scope_tag{2}, {sha256("a")}), 0U);
    EXPECT_EQ(store_->held_pieces(scope_, {sha256("a")}), 1U);
}

TEST_F(block_store_test, finish_with_other_digest_frees_block)
{
    const auto accepted = one<write_accepted>(begin("a", 2));
    const auto out = send(
        finish_write{{}, accepted.ref, byte_count{2}, sha256("other bytes")});
    EXPECT_EQ(refusal(out), result_code::block_digest_mismatch);
    EXPECT_EQ(store_->used(tier::memory), byte_count{0});
}

TEST_F(block_store_test, write_when_all_blocks_are_pinned_is_refused)
{
    put("a", 4);
    open("a");
    EXPECT_EQ(refusal(begin("b", 1)), result_code::store_full);
    now_ += seconds(11);
    EXPECT_EQ(one<write_accepted>(begin("b", 1)).length, byte_count{1});
}

TEST_F(block_store_test, read_after_pin_expired_is_refused)
{
    put("a", 2);
    const auto held = one<block_opened>(open("a"));
    now_ += seconds(9);
    one<chunk_allowed>(read(held));
    now_ += seconds(9);
    one<chunk_allowed>(read(held));
    now_ += seconds(11);
    EXPECT_EQ(refusal(read(held)), result_code::pin_expired);
}

TEST_F(block_store_test, block_freed_between_copy_and_send_is_refused)
{
    put("a", 2);
    const auto held = one<block_opened>(open("a"));
    one<chunk_allowed>(read(held));
    send(free_scope{scope_});
    EXPECT_EQ(
        refusal(send(chunk_read{{}, held.pin, held.ref})),
        result_code::block_freed);
}

TEST_F(block_store_test, write_unfinished_for_its_lifetime_is_freed)
{
    const auto accepted = one<write_accepted>(begin("a", 2));
    now_ += seconds(31);
    const auto out = send(
        finish_write{{}, accepted.ref, byte_count{2}, sha256("bytes of a")});
    EXPECT_EQ(refusal(out), result_code::block_freed);
}

TEST_F(block_store_test, ref_of_earlier_life_is_refused)
{
    const auto accepted = one<write_accepted>(begin("a", 2));
    block_ref earlier = accepted.ref;
    earlier.store = incarnation{6};
    EXPECT_EQ(
        refusal(send(
            finish_write{{}, earlier, byte_count{2}, sha256("bytes of a")})),
        result_code::block_freed);
}

TEST_F(block_store_test, child_without_parent_is_refused)
{
    EXPECT_EQ(
        refusal(send(begin_write{
            .scope = scope_,
            .id = sha256("child"),
            .parent = sha256("parent"),
            .length = byte_count{1}})),
        result_code::block_not_committed);
}

TEST_F(block_store_test, block_over_threshold_moves_to_disk_and_reads_there)
{
    auto options = small();
    options.demotion_threshold = 0.25;
    use(options);
    const auto accepted = one<write_accepted>(begin("a", 2));
    const auto moved = one<demote>(send(
        finish_write{{}, accepted.ref, byte_count{2}, sha256("bytes of a")}));
    send(demotion_ended{moved.number, moved.ref, true});
    EXPECT_EQ(store_->used(tier::memory), byte_count{0});
    EXPECT_EQ(store_->used(tier::disk), byte_count{2});
    const auto held = one<block_opened>(open("a"));
    EXPECT_EQ(one<chunk_allowed>(read(held)).from, tier::disk);
}

TEST_F(block_store_test, disk_that_refuses_rests_and_block_stays_in_memory)
{
    auto options = small();
    options.demotion_threshold = 0.25;
    use(options);
    const auto accepted = one<write_accepted>(begin("a", 2));
    const auto moved = one<demote>(send(
        finish_write{{}, accepted.ref, byte_count{2}, sha256("bytes of a")}));
    const auto after = send(demotion_ended{moved.number, moved.ref, false});
    EXPECT_EQ(after.size(), 1U);
    EXPECT_EQ(store_->used(tier::disk), byte_count{0});
    EXPECT_EQ(store_->counts().disk_write_failed, 1U);
    now_ += seconds(6);
    EXPECT_EQ(one<demote>(send(store_tick{})).ref, moved.ref);
}

TEST_F(block_store_test, pin_of_one_block_does_not_open_another)
{
    put("a", 2);
    const block_ref other = put("b", 2);
    const auto held = one<block_opened>(open("a"));
    EXPECT_EQ(
        refusal(send(
            read_chunk{{}, held.pin, other, byte_count{0}, byte_count{1}})),
        result_code::block_generation_mismatch);
}

/// Conversations of one to forty pieces return after heavy-tailed gaps. Of
/// ten workspaces, five ask questions that seldom return, five return to
/// files; half return within an hour, half within days; one in three uses a
/// model whose blocks cost 3.5 times as much a byte. Virtual time.
class return_trace
{
public:
    return_trace(eviction_policy policy, std::uint64_t seed)
        : random_(seed),
          store_(
              {.memory_capacity = byte_count{2000}, .policy = policy},
              incarnation{1}, random_source(seed))
    {
    }

    /// Returns the share of prompt work that had to be computed again.
    double run()
    {
        constexpr std::size_t visits = 10'000;
        for (std::size_t i = 0; i < 1500; ++i)
        {
            start();
        }
        for (std::size_t i = 0; i < visits; ++i)
        {
            const auto next = due_.begin();
            now_ = next->first;
            const conversation one = next->second;
            due_.erase(next);
            visit(one);
        }
        return recomputed_ / asked_;
    }

private:
    struct conversation
    {
        std::uint64_t number = 0;
        std::uint64_t workspace = 0;
        std::size_t pieces = 0;
        std::size_t bytes_a_piece = 0;
        duration cost_a_piece{0};
        bool returns = false;
        std::size_t visits = 0;
    };

    void start()
    {
        conversation fresh{.number = ++last_};
        fresh.pieces = 1 + random_.below(random_.below(4) == 0 ? 40 : 8);
        fresh.workspace = random_.below(10);
        const bool large_model = fresh.workspace % 3 == 0;
        fresh.bytes_a_piece = large_model ? 2 : 1;
        fresh.cost_a_piece = std::chrono::milliseconds(large_model ? 700 : 100);
        fresh.returns = random_.unit() < (fresh.workspace < 5 ? 0.1 : 0.9);
        due_.emplace(now_ + seconds(random_.below(86'400)), fresh);
    }

    void visit(conversation one)
    {
        block_id parent{};
        bool held = true;
        for (std::size_t i = 0; i < one.pieces; ++i)
        {
            const block_id id =
                sha256(std::to_string(one.number) + "/" + std::to_string(i));
            if (one.visits > 0)
            {
                const double cost =
                    static_cast<double>(one.cost_a_piece.count());
                asked_ += cost;
                const auto out = store_.handle(
                    open_block{{}, scope_tag{one.workspace}, id}, now_);
                const auto* opened = std::get_if<block_opened>(&out.at(0));
                held = held && opened != nullptr;
                recomputed_ += held ? 0.0 : cost;
                if (opened != nullptr)
                {
                    (void)store_.handle(release_pin{opened->pin}, now_);
                }
            }
            store(one, id, parent);
            parent = id;
        }
        ++one.visits;
        if (one.returns && one.visits < 12)
        {
            // Log-uniform, from a minute to an hour or an hour to three days.
            const bool soon = one.workspace % 2 == 0;
            const double gap = (soon ? 60.0 : 3600.0) *
                               std::pow(soon ? 60.0 : 72.0, random_.unit());
            due_.emplace(now_ + seconds(static_cast<std::int64_t>(gap)), one);
            return;
        }
        start();
    }

    void store(
        const conversation& one, const block_id& id, const block_id& parent)
    {
        const auto out = store_.handle(
            begin_write{
                .scope = scope_tag{one.workspace},
                .id = id,
                .parent = parent,
                .length = byte_count{one.bytes_a_piece},
                .recompute_cost = one.cost_a_piece},
            now_);
        for (const store_command& command : out)
        {
            if (const auto* accepted = std::get_if<write_accepted>(&command))
            {
                (void)store_.handle(
                    finish_write{{}, accepted->ref, accepted->length, digest{}},
                    now_);
            }
        }
    }

    random_source random_;
    block_store store_;
    mono_time now_{};
    std::uint64_t last_ = 0;
    std::multimap<mono_time, conversation> due_;
    double asked_ = 0.0;
    double recomputed_ = 0.0;
};

TEST(block_store_eviction, saved_per_byte_recomputes_less_than_lru)
{
    for (const std::uint64_t seed : {1U, 2U})
    {
        const double lru =
            return_trace(eviction_policy::least_recently_used, seed).run();
        const double saved =
            return_trace(eviction_policy::saved_per_byte, seed).run();
        std::cout << "seed " << seed << ": recomputed share " << lru
                  << " by lru, " << saved << " by saved_per_byte\n";
        EXPECT_LT(saved, lru);
    }
}

} // namespace
} // namespace wagtailseam::kept_cache
