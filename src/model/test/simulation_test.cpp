// The model: its engine's accounting, and whole runs on a small profile.
#include "model/simulation.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace wagtailseam::model
{
namespace
{

profile small_profile()
{
    std::ifstream file("examples/profiles/utility.json");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    auto read = read_profile(text).value();
    read.runners = 3;
    read.engine.cache_pieces = 90;
    read.workload.conversations_per_second = 1.5;
    read.workload.warm_up_s = 30;
    read.workload.measured_s = 90;
    return read;
}

class modelled_engine_test : public ::testing::Test
{
protected:
    job make_job(const std::string& id, std::size_t pieces)
    {
        job made{
            .id = request_id{id},
            .tokens = token_count{pieces * 1024 + 10},
            .output = token_count{2}};
        for (std::size_t i = 0; i < pieces; ++i)
        {
            made.chain.push_back(sha256(std::to_string(i)));
        }
        return made;
    }

    std::vector<engine_event> run_until_idle()
    {
        std::vector<engine_event> out;
        while (engine_.begin_step(out))
        {
            engine_.end_step(out);
        }
        return out;
    }

    static std::uint64_t computed(const std::vector<engine_event>& all)
    {
        std::uint64_t tokens = 0;
        for (const auto& one : all)
        {
            if (const auto* out = std::get_if<first_token>(&one))
            {
                tokens += out->computed.value();
            }
        }
        return tokens;
    }

    modelled_engine engine_{{.cache_pieces = 12}};
};

TEST_F(modelled_engine_test, repeated_prompt_computes_only_its_tail)
{
    engine_.submit(make_job("a", 4));
    EXPECT_EQ(computed(run_until_idle()), 4 * 1024U + 10U);
    engine_.submit(make_job("b", 5));
    EXPECT_EQ(computed(run_until_idle()), 1024U + 10U);
    EXPECT_TRUE(engine_.idle());
}

TEST_F(modelled_engine_test, pending_import_waits_and_its_pieces_count)
{
    auto wanted = make_job("a", 4);
    wanted.import_pending = true;
    engine_.submit(wanted);
    std::vector<engine_event> out;
    EXPECT_FALSE(engine_.begin_step(out).has_value());
    EXPECT_TRUE(std::holds_alternative<import_awaited>(out.front()));
    EXPECT_TRUE(engine_.import_piece(wanted.id, wanted.chain[0], out));
    engine_.import_settled(wanted.id);
    EXPECT_EQ(computed(run_until_idle()), 3 * 1024U + 10U);
}

TEST_F(modelled_engine_test, cache_never_exceeds_capacity)
{
    for (int i = 0; i < 6; ++i)
    {
        auto wanted = make_job(std::to_string(i), 5);
        wanted.chain.back() = sha256("x" + std::to_string(i));
        engine_.submit(wanted);
    }
    run_until_idle();
    EXPECT_TRUE(engine_.idle());
    EXPECT_LE(engine_.cache().size(), 12U);
}

class simulation_test : public ::testing::Test
{
protected:
    run_row run(policy how, fault broken = fault::none) const
    {
        return simulation(profile_, {.how = how, .seed = 3, .broken = broken})
            .run();
    }

    profile profile_ = small_profile();
};

TEST_F(simulation_test, equal_seeds_give_equal_rows)
{
    EXPECT_EQ(
        rows_to_json({run(policy::wagtailseam)}),
        rows_to_json({run(policy::wagtailseam)}));
}

TEST_F(simulation_test, every_policy_answers_all_and_keeps_links_under_rate)
{
    for (const auto how : all_policies())
    {
        const auto row = run(how);
        EXPECT_EQ(row.errors + row.refused, 0U) << name(how);
        EXPECT_GT(row.prompts, 100U) << name(how);
        EXPECT_LE(row.link_use.peak, 1.001) << name(how);
    }
}

TEST_F(simulation_test, recomputed_share_is_close_to_exact_knowledge)
{
    const auto sum = [&](policy how)
    {
        double share = 0.0;
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
        {
            share += simulation(profile_, {.how = how, .seed = seed})
                         .run()
                         .recomputed_share;
        }
        return share;
    };
    const auto share = sum(policy::wagtailseam);
    EXPECT_LE(share, 1.15 * sum(policy::oracle));
    EXPECT_LT(share, 0.6 * sum(policy::least_load));
}

TEST_F(simulation_test, faults_leave_no_prompt_unanswered)
{
    for (const auto broken : all_faults())
    {
        const auto row = run(policy::wagtailseam, broken);
        EXPECT_EQ(row.errors, 0U) << name(broken);
    }
}

TEST(profile_test, unknown_or_wrong_fields_are_named)
{
    EXPECT_EQ(read_profile("{").error().code, result_code::malformed_json);
    EXPECT_EQ(read_profile("{}").error().code, result_code::missing_field);
    const auto wrong = read_profile(R"({"objective": 3, "name": "x"})");
    EXPECT_EQ(wrong.error().code, result_code::wrong_type);
    EXPECT_EQ(wrong.error().detail, "objective");
}

TEST(quantile_test, nearest_rank_of_few_samples)
{
    EXPECT_EQ(quantile({}, 0.95), 0.0);
    EXPECT_EQ(quantile({3.0, 1.0, 2.0}, 0.5), 2.0);
    EXPECT_EQ(quantile({3.0, 1.0, 2.0}, 0.99), 3.0);
}

} // namespace
} // namespace wagtailseam::model
