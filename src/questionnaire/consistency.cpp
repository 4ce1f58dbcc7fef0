// Unique ids, references that resolve, shares that fit.
#include "questionnaire/consistency.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace wagtailseam::questionnaire
{
namespace
{

using nlohmann::json;
using settings::element_path;
using settings::member_path;

/// Sums of shares written in decimal miss 1 by rounding.
constexpr double share_rounding = 1e-9;

/// Collects the faults between fields.
class walker
{
public:
    walker(const json& answers, const settings::document& source)
        : answers_(answers), source_(source)
    {
    }

    std::vector<settings::fault> run()
    {
        read_ids();
        check_process_keys();
        check_objective(answers_["objective"], "objective");
        check_workspaces();
        check_nested_ids("models", "adapters", "id");
        check_nested_ids("services", "requests", "name");
        check_upstreams();
        std::ranges::stable_sort(faults_, {}, &settings::fault::line);
        return std::move(faults_);
    }

private:
    void add(const std::string& path, result_code code, std::string detail)
    {
        faults_.push_back(
            {.path = path,
             .line = source_.line_of(path),
             .code = code,
             .detail = std::move(detail)});
    }

    /// Adds a fault when the text was used before at another path.
    void unique(
        std::map<std::string, std::string>& seen, const std::string& text,
        const std::string& path)
    {
        const auto [first, is_new] = seen.emplace(text, path);
        if (!is_new)
        {
            add(path, result_code::config_invalid,
                "the same value stands at " + first->second +
                    "; each must be unique");
        }
    }

    std::set<std::string> unique_ids(
        const json& list, const std::string& path, const char* key)
    {
        std::map<std::string, std::string> seen;
        std::set<std::string> ids;
        for (std::size_t i = 0; i < list.size(); ++i)
        {
            const auto id = list[i][key].get<std::string>();
            unique(seen, id, member_path(element_path(path, i), key));
            ids.insert(id);
        }
        return ids;
    }

    void read_ids()
    {
        std::map<std::string, std::string> seen;
        const json& data_centres = answers_["data_centres"];
        for (std::size_t i = 0; i < data_centres.size(); ++i)
        {
            const auto id = data_centres[i].get<std::string>();
            unique(seen, id, element_path("data_centres", i));
            data_centres_.insert(id);
        }
        models_ = unique_ids(answers_["models"], "models", "id");
        services_ = unique_ids(answers_["services"], "services", "id");
        unique_ids(answers_["workspaces"], "workspaces", "id");
        unique_ids(answers_["upstreams"], "upstreams", "id");
    }

    void check_process_keys()
    {
        const json& keys = answers_["process_keys"];
        const json& accept = keys["accept"];
        if (std::ranges::find(accept, keys["sign_with"]) == accept.end())
        {
            add("process_keys.sign_with", result_code::config_invalid,
                "processes would refuse each other: list this key under "
                "accept");
        }
    }

    void check_objective(const json& weights, const std::string& path)
    {
        if (weights["first_token"].get<double>() <= 0 &&
            weights["recomputed_share"].get<double>() <= 0)
        {
            add(path, result_code::out_of_range,
                "both weights are 0; at least one must be above");
        }
    }

    void check_references(
        const json& list, const std::string& path,
        const std::set<std::string>& known)
    {
        std::map<std::string, std::string> seen;
        for (std::size_t i = 0; i < list.size(); ++i)
        {
            const auto id = list[i].get<std::string>();
            unique(seen, id, element_path(path, i));
            check_reference(id, element_path(path, i), known);
        }
    }

    void check_reference(
        const std::string& id, const std::string& path,
        const std::set<std::string>& known)
    {
        if (!known.contains(id))
        {
            add(path, result_code::config_invalid,
                "'" + id + "' is not declared in this questionnaire");
        }
    }

    void check_workspaces()
    {
        const json& workspaces = answers_["workspaces"];
        std::map<std::string, std::string> key_owners;
        double total = 0;
        for (std::size_t i = 0; i < workspaces.size(); ++i)
        {
            const json& workspace = workspaces[i];
            const std::string path = element_path("workspaces", i);
            const std::string keys = member_path(path, "caller_keys");
            for (std::size_t k = 0; k < workspace["caller_keys"].size(); ++k)
            {
                unique(
                    key_owners, workspace["caller_keys"][k].get<std::string>(),
                    element_path(keys, k));
            }
            if (!workspace["objective"].is_null())
            {
                check_objective(
                    workspace["objective"], member_path(path, "objective"));
            }
            check_references(
                workspace["models"], member_path(path, "models"), models_);
            check_references(
                workspace["services"], member_path(path, "services"),
                services_);
            total += workspace["share"].get<double>();
        }
        if (total > 1 + share_rounding)
        {
            add("workspaces", result_code::out_of_range,
                "the shares add up to " + std::to_string(total) +
                    "; lower them to at most 1 together");
        }
    }

    void check_nested_ids(
        const std::string& outer, const char* inner, const char* key)
    {
        const json& list = answers_[outer];
        for (std::size_t i = 0; i < list.size(); ++i)
        {
            unique_ids(
                list[i][inner], member_path(element_path(outer, i), inner),
                key);
        }
    }

    void check_upstreams()
    {
        const json& upstreams = answers_["upstreams"];
        std::map<std::string, std::string> addresses;
        for (std::size_t i = 0; i < upstreams.size(); ++i)
        {
            const std::string path = element_path("upstreams", i);
            const json& upstream = upstreams[i];
            unique(
                addresses, upstream["sidecar"].get<std::string>(),
                member_path(path, "sidecar"));
            check_reference(
                upstream["data_centre"].get<std::string>(),
                member_path(path, "data_centre"), data_centres_);
            check_kind(upstream, path);
        }
    }

    void check_kind(const json& upstream, const std::string& path)
    {
        const auto kind = upstream["kind"].get<std::string>();
        const bool is_engine = kind == "engine";
        const bool is_service = kind == "service";
        if (is_engine == upstream["models"].empty())
        {
            add(member_path(path, "models"), result_code::config_invalid,
                is_engine ? "an engine needs at least one model"
                          : "only engines have models; remove this");
        }
        check_references(
            upstream["models"], member_path(path, "models"), models_);
        const auto service = upstream["service"].get<std::string>();
        if (is_service)
        {
            check_reference(service, member_path(path, "service"), services_);
        }
        else if (!service.empty())
        {
            add(member_path(path, "service"), result_code::config_invalid,
                "only upstreams of kind service name one; remove this");
        }
    }

    const json& answers_;
    const settings::document& source_;
    std::set<std::string> data_centres_;
    std::set<std::string> models_;
    std::set<std::string> services_;
    std::vector<settings::fault> faults_;
};

} // namespace

std::vector<settings::fault> inconsistencies(
    const json& answers, const settings::document& source)
{
    return walker(answers, source).run();
}

} // namespace wagtailseam::questionnaire
