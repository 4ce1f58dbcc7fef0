// Imports against stores that lie, break and lag. The oracle is what the
// engine holds: only the true bytes of a block, only of the version it runs.
#include "core/overloaded.hpp"
#include "core/random_source.hpp"
#include "kept_cache/importer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>
#include <string>

namespace wagtailseam::kept_cache
{
namespace
{

constexpr std::size_t pieces = 5;
constexpr std::uint64_t versions = 2;

/// Ids of a chain differ by version, as the chain's root does.
const std::vector<block_id>& chain_of_version(std::uint64_t version)
{
    static const std::vector<std::vector<block_id>> chains = []
    {
        std::vector<std::vector<block_id>> all(versions + 1);
        for (std::uint64_t v = 0; v <= versions; ++v)
        {
            for (std::size_t i = 0; i < pieces; ++i)
            {
                all[v].push_back(
                    sha256(std::to_string(v) + "/" + std::to_string(i)));
            }
        }
        return all;
    }();
    return chains[version];
}

std::string true_bytes(const block_id& id)
{
    return std::string(id.view().substr(0, 4));
}

class import_history
{
public:
    explicit import_history(std::uint64_t seed) : random_(seed) {}

    void run()
    {
        swap();
        for (int i = 0; i < 120; ++i)
        {
            now_ += duration(random_.below(50));
            step();
        }
        // Whatever is still under way ends when its time has come.
        now_ += std::chrono::seconds(1);
        send(import_tick{});
        for (std::uint64_t call = 1; call <= last_call_; ++call)
        {
            RC_ASSERT(ended_[call] == 1U);
        }
    }

    std::size_t taken() const { return taken_; }

private:
    struct buffer
    {
        block_ref ref;
        std::string bytes;
    };

    void step()
    {
        const std::uint64_t kind = random_.below(16);
        if (kind < 2)
        {
            ask();
        }
        else if (kind == 2 && last_call_ > 0)
        {
            send(abandon_import{call_id{1 + random_.below(last_call_)}});
        }
        else if (kind == 3 && random_.below(3) == 0)
        {
            swap();
        }
        else if (kind == 4 && !sent_.empty())
        {
            const import_event again = sent_[random_.below(sent_.size())];
            send(again);
        }
        else
        {
            answer();
        }
    }

    void swap()
    {
        version_ = version_ == 1 ? 2 : 1;
        engine_.clear();
        send(engine_version{weight_version{version_}});
    }

    void ask()
    {
        const std::uint64_t version =
            random_.below(6) == 0 ? 1 + random_.below(versions) : version_;
        const auto& chain = chain_of_version(version);
        const auto first = static_cast<std::ptrdiff_t>(random_.below(pieces));
        import_prefix asked{
            .call = call_id{++last_call_},
            .version = weight_version{version},
            .ids = {chain.begin() + first, chain.end()},
            .give_up_at = now_ + duration(2000)};
        asked_[last_call_] = asked.ids;
        asked_version_[last_call_] = version;
        send(asked);
    }

    void answer()
    {
        if (todo_.empty())
        {
            return;
        }
        const std::size_t at = random_.below(todo_.size());
        const import_command command = todo_[at];
        todo_.erase(todo_.begin() + static_cast<std::ptrdiff_t>(at));
        std::visit([this](const auto& c) { serve(c); }, command);
    }

    void serve(const open_piece& c)
    {
        if (random_.below(12) == 0)
        {
            return fail(c.flight, c.id);
        }
        // Few generations, so that a lying one is offered again.
        const block_ref ref{
            incarnation{1}, c.id, block_generation{random_.below(3)}};
        const std::string bytes = true_bytes(c.id);
        send(piece_opened{
            c.flight, block_opened{
                          {},
                          ref,
                          pin_id{++last_pin_},
                          byte_count{bytes.size()},
                          sha256(bytes)}});
    }
    void serve(const read_piece& c)
    {
        const std::uint64_t fault = random_.below(12);
        std::string bytes = true_bytes(c.ref.id);
        if (fault == 0)
        {
            return fail(c.flight, c.ref.id);
        }
        if (fault == 1)
        {
            bytes.pop_back();
        }
        if (fault == 2)
        {
            bytes[0] = static_cast<char>(bytes[0] + 1);
        }
        const auto staged = staging_.find(c.flight.value());
        if (staged == staging_.end())
        {
            return;
        }
        staged->second.bytes = bytes;
        send(piece_staged{
            c.flight, c.ref.id, byte_count{bytes.size()}, sha256(bytes)});
    }
    void serve(const hand_to_engine& c)
    {
        const auto staged = staging_.find(c.flight.value());
        RC_ASSERT(staged != staging_.end());
        RC_ASSERT(staged->second.bytes == true_bytes(c.id));
        const bool same = c.version.value() == version_;
        const bool accepted = same && random_.below(10) != 0;
        if (accepted)
        {
            const auto& chain = chain_of_version(version_);
            RC_ASSERT(
                std::find(chain.begin(), chain.end(), c.id) != chain.end());
            engine_.insert(c.id);
            ++taken_;
        }
        send(engine_took{c.flight, c.id, accepted});
    }
    void serve(const drop_piece& /*c*/) {}
    void serve(const free_at_store& /*c*/) {}
    void serve(const import_ended& /*c*/) {}

    void fail(flight_id flight, const block_id& id)
    {
        send(piece_failed{flight, id, result_code::store_lost});
    }

    void note(const open_piece& c)
    {
        RC_ASSERT(in_flight_.insert(c.id).second);
    }
    void note(const read_piece& c)
    {
        RC_ASSERT(!rejected_.contains(c.ref));
        staging_[c.flight.value()] = buffer{c.ref, ""};
    }
    void note(const hand_to_engine& c)
    {
        const auto staged = staging_.find(c.flight.value());
        RC_ASSERT(staged != staging_.end());
        RC_ASSERT(staged->second.bytes == true_bytes(c.id));
    }
    void note(const drop_piece& c)
    {
        RC_ASSERT(in_flight_.erase(c.id) == 1U);
        staging_.erase(c.flight.value());
    }
    void note(const free_at_store& c)
    {
        for (const auto& [pin, staged] : staging_)
        {
            if (staged.ref.id == c.id)
            {
                rejected_.insert(staged.ref);
            }
        }
    }
    void note(const import_ended& c)
    {
        ++ended_[c.call.value()];
        const auto& ids = asked_.at(c.call.value());
        RC_ASSERT(c.pieces <= ids.size());
        RC_ASSERT((c.code == result_code::ok) == (c.pieces == ids.size()));
        // What the call is told, the engine holds (of the same version).
        if (asked_version_[c.call.value()] == version_ &&
            c.code != result_code::weight_version_mismatch)
        {
            for (std::size_t i = 0; i < c.pieces; ++i)
            {
                RC_ASSERT(engine_.contains(ids[i]));
            }
        }
    }

    void send(const import_event& what)
    {
        const bool late = std::holds_alternative<piece_opened>(what) ||
                          std::holds_alternative<piece_staged>(what);
        if (late)
        {
            sent_.push_back(what);
        }
        for (const import_command& c : importer_.handle(what, now_))
        {
            std::visit([this](const auto& one) { note(one); }, c);
            todo_.push_back(c);
        }
    }

    random_source random_;
    importer importer_{{.max_flights = 3, .max_imports = 4}};
    mono_time now_{};
    std::uint64_t version_ = 0;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_pin_ = 0;
    std::size_t taken_ = 0;
    std::vector<import_command> todo_;
    std::vector<import_event> sent_;
    std::set<block_id> engine_;
    std::set<block_id> in_flight_;
    std::set<block_ref> rejected_;
    std::map<std::uint64_t, buffer> staging_;
    std::map<std::uint64_t, std::vector<block_id>> asked_;
    std::map<std::uint64_t, std::uint64_t> asked_version_;
    std::map<std::uint64_t, std::size_t> ended_;
};

// 100 cases of 1,000 histories each.
RC_GTEST_PROP(
    importer_history, engine_gets_only_true_bytes_of_its_version,
    (std::uint64_t seed))
{
    constexpr std::uint64_t histories = 1000;
    std::size_t taken = 0;
    for (std::uint64_t i = 0; i < histories; ++i)
    {
        import_history one(seed * histories + i);
        one.run();
        taken += one.taken();
    }
    RC_ASSERT(taken > histories);
}

TEST(importer, import_cut_by_lost_piece_keeps_leading_pieces)
{
    importer subject({});
    const mono_time now(duration(1));
    const auto& chain = chain_of_version(1);
    (void)subject.handle(engine_version{weight_version{1}}, now);
    (void)subject.handle(
        import_prefix{
            .call = call_id{1},
            .version = weight_version{1},
            .ids = chain,
            .give_up_at = now + duration(10)},
        now);
    const std::string bytes = true_bytes(chain[0]);
    const block_ref ref{incarnation{1}, chain[0], block_generation{1}};
    (void)subject.handle(
        piece_opened{
            flight_id{1},
            {{}, ref, pin_id{1}, byte_count{bytes.size()}, sha256(bytes)}},
        now);
    (void)subject.handle(
        piece_staged{
            flight_id{1}, chain[0], byte_count{bytes.size()}, sha256(bytes)},
        now);
    (void)subject.handle(engine_took{flight_id{1}, chain[0], true}, now);
    const auto out = subject.handle(
        piece_failed{flight_id{2}, chain[1], result_code::store_lost}, now);
    const auto ended = std::find_if(
        out.begin(), out.end(),
        [](const auto& c) { return std::holds_alternative<import_ended>(c); });
    ASSERT_NE(ended, out.end());
    EXPECT_EQ(std::get<import_ended>(*ended).pieces, 1U);
    EXPECT_EQ(std::get<import_ended>(*ended).code, result_code::store_lost);
    EXPECT_EQ(subject.flights(), 0U);
}

class importer_test : public testing::Test
{
protected:
    template <class T>
    const T* sent(const import_event& what)
    {
        out_ = subject_.handle(what, mono_time(duration(1)));
        for (const import_command& command : out_)
        {
            if (const T* const found = std::get_if<T>(&command))
            {
                return found;
            }
        }
        return nullptr;
    }
    static import_prefix ask(std::uint64_t version)
    {
        return {
            .call = call_id{1},
            .version = weight_version{version},
            .ids = {chain_of_version(version).front()},
            .give_up_at = mono_time(duration(10))};
    }

    importer subject_{{}};
    std::vector<import_command> out_;
};

TEST_F(importer_test, import_planned_for_other_version_opens_nothing)
{
    (void)sent<import_ended>(engine_version{weight_version{1}});
    const auto* const ended = sent<import_ended>(ask(2));
    ASSERT_NE(ended, nullptr);
    EXPECT_EQ(ended->code, result_code::weight_version_mismatch);
    EXPECT_EQ(subject_.flights(), 0U);
}

TEST_F(importer_test, swap_during_import_drops_its_flights)
{
    (void)sent<import_ended>(engine_version{weight_version{1}});
    EXPECT_NE(sent<open_piece>(ask(1)), nullptr);
    const auto* const ended =
        sent<import_ended>(engine_version{weight_version{2}});
    ASSERT_NE(ended, nullptr);
    EXPECT_EQ(ended->code, result_code::weight_version_mismatch);
    EXPECT_EQ(subject_.flights(), 0U);
}

TEST_F(importer_test, block_of_other_length_than_opened_is_rejected)
{
    (void)sent<import_ended>(engine_version{weight_version{1}});
    const auto* const open = sent<open_piece>(ask(1));
    ASSERT_NE(open, nullptr);
    const auto [flight, store, scope, id] = *open;
    const digest content = sha256(true_bytes(id));
    (void)sent<read_piece>(piece_opened{
        flight,
        {{},
         {incarnation{1}, id, block_generation{1}},
         pin_id{1},
         byte_count{5},
         content}});
    EXPECT_NE(
        sent<free_at_store>(piece_staged{flight, id, byte_count{4}, content}),
        nullptr);
}

} // namespace
} // namespace wagtailseam::kept_cache
