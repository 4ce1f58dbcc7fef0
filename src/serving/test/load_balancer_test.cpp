// Choice of upstreams under various loads and failures.
#include "serving/load_balancer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailseam::serving
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id engines{"engines"};
const data_centre_id local_data_centre{"here"};
const data_centre_id remote_data_centre{"there"};
const model_id model{"m"};

class load_balancer_fixture : public testing::Test
{
protected:
    void list(
        const std::string& id,
        const data_centre_id& data_centre = local_data_centre)
    {
        balancer_.upsert(
            {.id = upstream_id{id},
             .service = engines,
             .address = http::address{"10.0.0.1:80"},
             .data_centre = data_centre,
             .slots = 8,
             .draining = false,
             .weights = {{model, weight_version{1}}}});
    }

    void list_version(
        const std::string& id, const std::string& software,
        bool draining = false)
    {
        balancer_.upsert(
            {.id = upstream_id{id},
             .service = engines,
             .address = http::address{"10.0.0.1:80"},
             .software = software_version{software},
             .draining = draining});
    }

    [[nodiscard]] upstream_query make_query() const
    {
        return {.service = engines, .local_data_centre = local_data_centre};
    }

    [[nodiscard]] std::string chosen_id(const upstream_query& query)
    {
        const auto selection = balancer_.choose(query, random_, now_);
        const auto* const upstream = std::get_if<chosen_upstream>(&selection);
        return upstream == nullptr ? "none" : upstream->entry.id.value();
    }

    /// Returns how many of 200 choices select an upstream.
    [[nodiscard]] int times_chosen(const std::string& id)
    {
        int count = 0;
        for (int i = 0; i < 200; ++i)
        {
            count += chosen_id(make_query()) == id ? 1 : 0;
        }
        return count;
    }

    void report_load(
        const std::string& id, std::uint32_t prompts_waiting,
        bool loading_weights = false)
    {
        balancer_.update_load(
            upstream_id{id},
            {.prompts_waiting = prompts_waiting,
             .running = 0,
             .loading_weights = loading_weights},
            now_);
    }

    void run_attempt(const std::string& id, const attempt_result& result)
    {
        balancer_.begin_attempt(upstream_id{id}, {});
        balancer_.end_attempt(upstream_id{id}, result, now_);
    }

    load_balancer balancer_;
    random_source random_{1};
    mono_time now_{seconds(1000)};
};

TEST_F(load_balancer_fixture, query_excludes_other_software_versions)
{
    list_version("a", "1");
    list_version("b", "2");
    auto query = make_query();
    query.software = software_version{"2"};
    EXPECT_EQ(chosen_id(query), "b");
    query.software = software_version{"3"};
    EXPECT_EQ(chosen_id(query), "none");
}

TEST_F(load_balancer_fixture, software_versions_include_those_that_drain)
{
    list_version("a", "1");
    list_version("b", "2", true);
    EXPECT_EQ(
        balancer_.software_versions(engines, now_),
        (std::set{software_version{"1"}, software_version{"2"}}));
    EXPECT_TRUE(balancer_.software_versions(service_id{"other"}, now_).empty());
    EXPECT_TRUE(balancer_.serves_version(engines, software_version{"1"}, now_));
    EXPECT_FALSE(
        balancer_.serves_version(engines, software_version{"2"}, now_));
}

TEST_F(load_balancer_fixture, software_version_is_kept_for_the_grace_period)
{
    list_version("a", "1");
    balancer_.begin_attempt(upstream_id{"a"}, {});
    balancer_.remove(upstream_id{"a"}, seconds(1), now_);
    const std::set versions{software_version{"1"}};
    EXPECT_EQ(balancer_.software_versions(engines, now_), versions);
    EXPECT_TRUE(balancer_.serves_version(engines, software_version{"1"}, now_));
    now_ += seconds(1);
    EXPECT_TRUE(balancer_.software_versions(engines, now_).empty());
    EXPECT_FALSE(
        balancer_.serves_version(engines, software_version{"1"}, now_));
}

TEST_F(load_balancer_fixture, draining_upstream_gets_no_requests_at_once)
{
    list("a");
    auto draining_entry =
        upstream{.id = upstream_id{"a"}, .service = engines, .draining = true};
    balancer_.upsert(draining_entry);
    EXPECT_EQ(chosen_id(make_query()), "none");
    EXPECT_TRUE(balancer_.is_leaving(upstream_id{"a"}, now_));
}

TEST_F(load_balancer_fixture, removed_upstream_is_used_during_grace_period_only)
{
    list("a");
    balancer_.remove(upstream_id{"a"}, milliseconds(1500), now_);
    EXPECT_EQ(chosen_id(make_query()), "a");
    now_ += milliseconds(1499);
    EXPECT_EQ(chosen_id(make_query()), "a");
    now_ += milliseconds(1);
    EXPECT_EQ(chosen_id(make_query()), "none");
}

TEST_F(load_balancer_fixture, upstream_listed_again_during_grace_period_stays)
{
    list("a");
    balancer_.remove(upstream_id{"a"}, milliseconds(1500), now_);
    now_ += milliseconds(700);
    list("a");
    now_ += seconds(10);
    EXPECT_EQ(chosen_id(make_query()), "a");
}

TEST_F(load_balancer_fixture, replaced_list_removes_missing_upstream)
{
    list("a");
    list("b");
    balancer_.replace(
        {{.id = upstream_id{"b"}, .service = engines}}, milliseconds(500),
        now_);
    now_ += seconds(1);
    EXPECT_EQ(times_chosen("b"), 200);
}

TEST_F(
    load_balancer_fixture, unreachable_vm_is_avoided_and_probed_by_one_request)
{
    list("a");
    run_attempt("a", connect_failed{});
    EXPECT_EQ(chosen_id(make_query()), "none");
    now_ += milliseconds(401);
    ASSERT_EQ(chosen_id(make_query()), "a");
    balancer_.begin_attempt(upstream_id{"a"}, {});
    EXPECT_EQ(chosen_id(make_query()), "none");
    balancer_.end_attempt(upstream_id{"a"}, answered{}, now_);
    EXPECT_EQ(chosen_id(make_query()), "a");
}

TEST_F(load_balancer_fixture, unreachable_vm_is_probed_at_growing_intervals)
{
    list("a");
    duration previous_pause{};
    for (int failure = 0; failure < 4; ++failure)
    {
        run_attempt("a", connect_failed{});
        const auto pause = balancer_.retry_after(engines, std::nullopt, now_);
        EXPECT_GT(pause, previous_pause);
        previous_pause = pause;
        now_ += pause;
    }
    EXPECT_LE(previous_pause, seconds(4));
}

TEST_F(load_balancer_fixture, restricted_upstream_is_left_to_others)
{
    list("a");
    list("b");
    auto query = make_query();
    query.restricted = {{upstream_id{"a"}}};
    EXPECT_EQ(chosen_id(query), "b");
    query.restricted = {{upstream_id{"a"}}, {upstream_id{"b"}}};
    const auto selection = balancer_.choose(query, random_, now_);
    const auto* const restricted = std::get_if<all_restricted>(&selection);
    ASSERT_NE(restricted, nullptr);
    EXPECT_EQ(restricted->upstreams, query.restricted);
    query.excluded = {upstream_id{"a"}, upstream_id{"b"}};
    EXPECT_TRUE(std::holds_alternative<none_available>(
        balancer_.choose(query, random_, now_)));
}

TEST_F(load_balancer_fixture, partly_failing_upstream_gets_few_requests)
{
    list("a");
    list("b");
    for (int i = 0; i < 10; ++i)
    {
        run_attempt(
            "a", i % 2 == 0 ? attempt_result(response_failed{})
                            : attempt_result(answered{}));
        run_attempt("b", answered{});
    }
    EXPECT_LT(times_chosen("a"), 10);
}

TEST_F(load_balancer_fixture, failing_upstream_is_used_again_after_decay)
{
    list("a");
    list("b");
    for (int i = 0; i < 10; ++i)
    {
        run_attempt("a", response_failed{});
    }
    now_ += seconds(120);
    EXPECT_GT(times_chosen("a"), 60);
}

TEST_F(load_balancer_fixture, equal_upstreams_share_a_burst)
{
    // All gateways receive the same load reports, and still no engine may get
    // all requests.
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        list(id);
        report_load(id, 0);
    }
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        EXPECT_GT(times_chosen(id), 25) << id;
    }
}

TEST_F(load_balancer_fixture, engine_with_longer_queue_is_avoided)
{
    list("a");
    list("b");
    report_load("a", 6);
    report_load("b", 1);
    EXPECT_EQ(times_chosen("b"), 200);
}

TEST_F(load_balancer_fixture, expired_load_report_is_ignored)
{
    list("a");
    list("b");
    report_load("a", 6);
    report_load("b", 0);
    now_ += seconds(2);
    EXPECT_GT(times_chosen("a"), 50);
}

TEST_F(load_balancer_fixture, own_requests_count_until_next_load_report)
{
    list("a");
    list("b");
    report_load("a", 0);
    report_load("b", 0);
    for (int i = 0; i < 4; ++i)
    {
        balancer_.begin_attempt(upstream_id{"a"}, {});
    }
    EXPECT_EQ(times_chosen("b"), 200);
    report_load("a", 0);
    EXPECT_GT(times_chosen("a"), 50);
}

TEST_F(load_balancer_fixture, prefill_of_other_gateways_overrides_engine_report)
{
    // Otherwise forty gateways with the same engine report, 100 ms old, would
    // all choose the engine that was idle at that time.
    list("a");
    list("b");
    report_load("a", 0);
    balancer_.update_load(
        upstream_id{"b"},
        {.prompts_waiting = 3,
         .prefill_of_other_gateways =
             pending_prefill{.prompts = 1, .prefill_time = milliseconds(9)}},
        now_);
    balancer_.update_load(
        upstream_id{"a"},
        {.prompts_waiting = 0,
         .prefill_of_other_gateways =
             pending_prefill{.prompts = 1, .prefill_time = milliseconds(100)}},
        now_);
    EXPECT_EQ(times_chosen("b"), 200);
}

TEST_F(load_balancer_fixture, own_pending_prefill_counts_until_it_finishes)
{
    list("a");
    list("b");
    const upstream_id a{"a"};
    for (const auto* id : {"a", "b"})
    {
        balancer_.update_load(
            upstream_id{id}, {.prefill_of_other_gateways = pending_prefill{}},
            now_);
    }
    balancer_.begin_attempt(a, {.prefill_time = milliseconds(100)});
    // A report sent before the attempt does not include it.
    balancer_.update_load(
        a, {.prefill_of_other_gateways = pending_prefill{}}, now_);
    EXPECT_EQ(times_chosen("b"), 200);
    EXPECT_EQ(balancer_.own_pending_prefill(a).prompts, 1U);
    balancer_.finish_prefill(a, {.prefill_time = milliseconds(100)}, now_);
    EXPECT_GT(times_chosen("a"), 50);
    EXPECT_TRUE(balancer_.upstreams_with_own_prefill().empty());
}

TEST_F(load_balancer_fixture, engine_loading_weights_gets_no_requests)
{
    list("a");
    report_load("a", 0, true);
    EXPECT_EQ(chosen_id(make_query()), "none");
    report_load("a", 0, false);
    EXPECT_EQ(chosen_id(make_query()), "a");
}

TEST_F(load_balancer_fixture, overloaded_engines_are_distinguished_from_none)
{
    list("a");
    report_load("a", 5);
    auto query = make_query();
    const duration wait = 5 * load_balancer_options{}.wait_per_prompt;
    query.max_wait = wait - milliseconds(1);
    const auto selection = balancer_.choose(query, random_, now_);
    const auto* const overloaded = std::get_if<all_overloaded>(&selection);
    ASSERT_NE(overloaded, nullptr);
    EXPECT_EQ(overloaded->excess_wait, milliseconds(1));
    query.max_wait = wait;
    EXPECT_EQ(chosen_id(query), "a");
    query.service = service_id{"other"};
    EXPECT_TRUE(std::holds_alternative<none_available>(
        balancer_.choose(query, random_, now_)));
}

TEST_F(load_balancer_fixture, engine_without_memory_is_left_to_others)
{
    list("a");
    list("b");
    auto query = make_query();
    query.max_wait = milliseconds(400);
    query.tokens = token_count{200};
    const auto report = [&](const char* id, std::uint64_t used)
    {
        balancer_.update_load(
            upstream_id{id}, {.memory = {token_count{used}, token_count{1000}}},
            now_);
    };
    report("a", 800);
    report("b", 100);
    for (int i = 0; i < 50; ++i)
    {
        EXPECT_EQ(chosen_id(query), "b");
    }
    // Requests that its report does not include yet.
    balancer_.begin_attempt(upstream_id{"b"}, {.tokens = token_count{700}});
    EXPECT_TRUE(std::holds_alternative<all_overloaded>(
        balancer_.choose(query, random_, now_)));
    balancer_.end_attempt(upstream_id{"b"}, answered{}, now_);
    balancer_.finish_prefill(
        upstream_id{"b"}, {.tokens = token_count{700}}, now_);
    now_ += milliseconds(299);
    EXPECT_EQ(chosen_id(query), "none");
    now_ += milliseconds(1);
    EXPECT_EQ(chosen_id(query), "b");
}

TEST_F(
    load_balancer_fixture, prompt_prefers_its_affinity_upstream_at_equal_load)
{
    for (const auto* const id : {"a", "b", "c", "d"})
    {
        list(id);
        report_load(id, 0);
    }
    auto query = make_query();
    query.affinity_key = 77;
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i)
    {
        ++counts[chosen_id(query)];
    }
    const auto most = std::max_element(
        counts.begin(), counts.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    EXPECT_GT(most->second, 140);
}

TEST_F(load_balancer_fixture, older_weights_than_the_minimum_are_excluded)
{
    list("a");
    auto query = make_query();
    query.model = model;
    query.wanted_version = weight_version{2};
    EXPECT_EQ(chosen_id(query), "a");
    query.min_version = weight_version{2};
    EXPECT_EQ(chosen_id(query), "none");
    run_attempt("a", weights_differ{model, weight_version{2}});
    EXPECT_EQ(chosen_id(query), "a");
}

TEST_F(load_balancer_fixture, outdated_list_does_not_lower_known_weight_version)
{
    list("a");
    run_attempt("a", weights_differ{model, weight_version{3}});
    list("a");
    EXPECT_EQ(
        balancer_.running_version(upstream_id{"a"}, model), weight_version{3});
}

TEST_F(load_balancer_fixture, misdirected_upstream_is_not_used_again)
{
    list("a");
    run_attempt("a", misdirected{});
    EXPECT_EQ(chosen_id(make_query()), "none");
}

TEST_F(load_balancer_fixture, restarted_upstream_replaces_its_predecessor)
{
    // The list contains the predecessor until its heartbeats are missed.
    const http::address address{"10.0.0.1:80"};
    balancer_.upsert(
        {.id = upstream_id{"old"},
         .service = engines,
         .address = address,
         .started_ms = 100});
    balancer_.upsert(
        {.id = upstream_id{"new"},
         .service = engines,
         .address = address,
         .started_ms = 200});
    EXPECT_EQ(times_chosen("new"), 200);
}

TEST_F(load_balancer_fixture, listed_successor_reports_its_predecessor_once)
{
    const http::address address{"10.0.0.1:80"};
    const upstream old_entry{
        .id = upstream_id{"old"},
        .service = engines,
        .address = address,
        .started_ms = 100};
    const upstream new_entry{
        .id = upstream_id{"new"},
        .service = engines,
        .address = address,
        .started_ms = 200};
    EXPECT_TRUE(balancer_.upsert(old_entry).empty());
    EXPECT_EQ(balancer_.upsert(new_entry), std::vector{old_entry});
    EXPECT_TRUE(balancer_.upsert(new_entry).empty());
    EXPECT_TRUE(
        balancer_.replace({old_entry, new_entry}, duration{}, now_).empty());
}

TEST_F(
    load_balancer_fixture, predecessor_that_is_still_listed_is_not_used_again)
{
    const auto entry_of = [](const std::string& id, std::uint64_t started_ms)
    {
        return upstream{
            .id = upstream_id{id},
            .service = engines,
            .address = http::address{"10.0.0.1:80"},
            .started_ms = started_ms};
    };
    balancer_.replace(
        {entry_of("new", 200), entry_of("old", 100)}, duration{}, now_);
    EXPECT_EQ(times_chosen("new"), 200);
}

TEST_F(load_balancer_fixture, restart_under_the_same_id_reports_its_predecessor)
{
    upstream entry{
        .id = upstream_id{"a"},
        .service = engines,
        .address = http::address{"10.0.0.1:80"},
        .started_ms = 100};
    EXPECT_TRUE(balancer_.upsert(entry).empty());
    const auto predecessor = std::exchange(entry.started_ms, 200);
    const auto ended = balancer_.upsert(entry);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0].started_ms, predecessor);
}

TEST_F(load_balancer_fixture, removed_upstream_is_reported_once)
{
    list("a");
    EXPECT_TRUE(balancer_.remove(upstream_id{"a"}, duration{}, now_));
    EXPECT_FALSE(balancer_.remove(upstream_id{"a"}, duration{}, now_));
    EXPECT_FALSE(balancer_.remove(upstream_id{"b"}, duration{}, now_));
}

TEST_F(load_balancer_fixture, draining_process_never_becomes_ready_again)
{
    upstream entry{
        .id = upstream_id{"a"},
        .service = engines,
        .address = http::address{"10.0.0.1:80"},
        .draining = true,
        .started_ms = 100};
    balancer_.upsert(entry);
    entry.draining = false;
    balancer_.upsert(entry);
    EXPECT_EQ(chosen_id(make_query()), "none");
    entry.started_ms = 200;
    balancer_.upsert(entry);
    EXPECT_EQ(chosen_id(make_query()), "a");
}

TEST_F(load_balancer_fixture, departed_process_in_a_restored_list_is_not_used)
{
    const upstream departed{
        .id = upstream_id{"a"},
        .service = engines,
        .address = http::address{"10.0.0.1:80"},
        .started_ms = 100};
    auto restarted = departed;
    restarted.started_ms = 200;
    balancer_.upsert(departed);
    balancer_.remove(departed.id, duration{}, now_);
    balancer_.confirm_departure(departed.id);
    std::vector<upstream> listed{departed};
    balancer_.remove_departed(listed);
    EXPECT_TRUE(listed.empty());
    listed = {restarted};
    balancer_.remove_departed(listed);
    EXPECT_EQ(listed.size(), 1U);
}

TEST_F(load_balancer_fixture, local_upstream_is_preferred_among_equals)
{
    list("near", local_data_centre);
    list("far", remote_data_centre);
    EXPECT_GT(times_chosen("near"), 100);
}

RC_GTEST_PROP(
    load_balancer, excluded_or_draining_upstream_is_never_chosen,
    (const std::vector<std::uint8_t>& steps, std::uint64_t seed))
{
    load_balancer balancer;
    random_source random(seed);
    mono_time now{seconds(1000)};
    std::map<upstream_id, bool> draining;
    for (const auto step : steps)
    {
        const upstream_id id{std::to_string(step % 4)};
        now += milliseconds(step);
        switch (step / 4 % 6)
        {
        case 0:
            balancer.upsert({.id = id, .service = engines});
            draining[id] = false;
            break;
        case 1:
            balancer.upsert({.id = id, .service = engines, .draining = true});
            draining[id] = true;
            break;
        case 2:
            balancer.begin_attempt(id, {});
            balancer.end_attempt(id, connect_failed{}, now);
            break;
        case 3:
            balancer.update_load(id, {.prompts_waiting = step}, now);
            break;
        case 4:
            balancer.begin_attempt(id, {});
            balancer.end_attempt(id, answered{}, now);
            break;
        default:
            balancer.remove(id, duration::zero(), now);
            draining.erase(id);
            break;
        }
        const upstream_query query{
            .service = engines, .excluded = {upstream_id{"0"}}};
        const auto selection = balancer.choose(query, random, now);
        if (const auto* const chosen = std::get_if<chosen_upstream>(&selection))
        {
            RC_ASSERT(chosen->entry.id != upstream_id{"0"});
            RC_ASSERT(draining.contains(chosen->entry.id));
            RC_ASSERT(!draining.at(chosen->entry.id));
        }
    }
}

} // namespace
} // namespace wagtailseam::serving
