// Canonical order, derived values and their reasons.
#include "questionnaire/generate.hpp"

#include "membership/cells.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace wagtailseam::questionnaire
{
namespace
{

using nlohmann::json;

/// Head reads a second that all entries may spend together; the platform
/// gives about two thousand, most of which filings need.
constexpr std::int64_t head_reads_per_second = 200;
/// More reads than one in this time gain little against the spread's target
/// of seconds.
constexpr std::int64_t shortest_poll_ms = 500;
constexpr std::int64_t heartbeat_ms = 500;
constexpr std::int64_t silent_heartbeats = 4;
/// Upstreams whose heartbeats one process can hear within its share of the
/// network.
constexpr std::int64_t upstreams_per_cell = 64;
constexpr std::int64_t lease_ms = 9'000;
/// Two renewals may fail before a lease ends.
constexpr std::int64_t renewals_per_lease = 3;
/// A quarter of a renewal: covers clock drift and the last order's flight.
constexpr std::int64_t lease_margin_ms = 750;
constexpr int indent = 2;

json sorted(json list, const char* key)
{
    std::sort(
        list.begin(), list.end(),
        [key](const json& a, const json& b) { return a[key] < b[key]; });
    return list;
}

json sorted(json list)
{
    std::sort(list.begin(), list.end());
    return list;
}

/// Builds the document and notes a reason for each derived value.
class generator
{
public:
    explicit generator(const json& answers) : answers_(answers) {}

    json run()
    {
        made_["format"] = 1;
        made_["deployment"] = answers_["deployment"];
        made_["data_centres"] = sorted(answers_["data_centres"]);
        made_["process_keys"] = answers_["process_keys"];
        made_["process_keys"]["accept"] =
            sorted(answers_["process_keys"]["accept"]);
        derive_spread();
        derive_membership();
        derive_lease();
        add_workspaces();
        add_models();
        add_services();
        add_upstreams();
        made_["reasons"] = sorted(reasons_, "path");
        return std::move(made_);
    }

private:
    void explain(const std::string& path, const std::string& reason)
    {
        reasons_.push_back({{"path", path}, {"reason", reason}});
    }

    void derive_spread()
    {
        const auto entries = answers_["entries"].get<std::int64_t>();
        constexpr std::int64_t ms_per_second = 1000;
        const std::int64_t fair =
            (entries * ms_per_second + head_reads_per_second - 1) /
            head_reads_per_second;
        const std::int64_t poll = std::max(shortest_poll_ms, fair);
        made_["spread"]["poll_interval_ms"] = poll;
        explain(
            "spread.poll_interval_ms",
            std::to_string(entries) + " entries read the head at most " +
                std::to_string(head_reads_per_second) +
                " times a second together, each at most once in " +
                std::to_string(shortest_poll_ms) + " ms");
    }

    void derive_membership()
    {
        const auto upstreams =
            static_cast<std::int64_t>(answers_["upstreams"].size());
        cells_ = (upstreams + upstreams_per_cell - 1) / upstreams_per_cell;
        made_["membership"] = {
            {"heartbeat_interval_ms", heartbeat_ms},
            {"silent_heartbeats", silent_heartbeats},
            {"cells", cells_}};
        explain(
            "membership.heartbeat_interval_ms",
            "a silent upstream is suspected within seconds");
        explain(
            "membership.silent_heartbeats",
            "suspicion after " +
                std::to_string(heartbeat_ms * silent_heartbeats) +
                " ms of silence; three heartbeats may be lost in a row");
        explain(
            "membership.cells",
            std::to_string(upstreams) + " upstreams, at most about " +
                std::to_string(upstreams_per_cell) + " in a cell");
    }

    void derive_lease()
    {
        const std::int64_t renew = lease_ms / renewals_per_lease;
        made_["lease"] = {
            {"length_ms", lease_ms},
            {"renew_interval_ms", renew},
            {"margin_ms", lease_margin_ms}};
        explain(
            "lease.length_ms",
            "a duty whose holder died is taken over within about ten "
            "seconds");
        explain(
            "lease.renew_interval_ms",
            "two renewals in a row may fail before the lease ends");
        explain(
            "lease.margin_ms",
            "the holder stops this long before its lease ends, for clocks "
            "that run at different rates");
    }

    void add_workspaces()
    {
        json all = json::array();
        for (json workspace : answers_["workspaces"])
        {
            const auto id = workspace["id"].get<std::string>();
            if (workspace["objective"].is_null())
            {
                workspace["objective"] = answers_["objective"];
                explain(
                    "workspaces." + id + ".objective",
                    "the deployment's objective, as the workspace states "
                    "none");
            }
            for (const char* key : {"caller_keys", "models", "services"})
            {
                workspace[key] = sorted(workspace[key]);
            }
            all.push_back(std::move(workspace));
        }
        made_["workspaces"] = sorted(std::move(all), "id");
    }

    void add_models()
    {
        json all = json::array();
        for (json model : answers_["models"])
        {
            model["adapters"] = sorted(model["adapters"], "id");
            all.push_back(std::move(model));
        }
        made_["models"] = sorted(std::move(all), "id");
    }

    void add_services()
    {
        json all = json::array();
        for (json service : answers_["services"])
        {
            service["requests"] = sorted(service["requests"], "name");
            all.push_back(std::move(service));
        }
        made_["services"] = sorted(std::move(all), "id");
    }

    void add_upstreams()
    {
        json all = json::array();
        for (json upstream : answers_["upstreams"])
        {
            const auto id = upstream["id"].get<std::string>();
            upstream["models"] = sorted(upstream["models"]);
            upstream["cell"] =
                membership::cell_of(
                    upstream_id{id}, static_cast<std::uint32_t>(cells_))
                    .value();
            explain(
                "upstreams." + id + ".cell",
                "rendezvous hash of the id over the cells, so that adding a "
                "cell moves few upstreams");
            all.push_back(std::move(upstream));
        }
        made_["upstreams"] = sorted(std::move(all), "id");
    }

    const json& answers_;
    json made_ = json::object();
    json reasons_ = json::array();
    std::int64_t cells_ = 1;
};

} // namespace

std::string generate(const json& answers)
{
    return generator(answers).run().dump(indent) + "\n";
}

} // namespace wagtailseam::questionnaire
