// The fields of the questionnaire.
#include "questionnaire/questionnaire.hpp"

#include "questionnaire/consistency.hpp"

namespace wagtailseam::questionnaire
{
namespace
{

using nlohmann::json;
using settings::flag_rule;
using settings::list_of;
using settings::number_rule;
using settings::object_rule;
using settings::text_format;
using settings::text_rule;
using settings::whole_rule;

constexpr std::int64_t max_entries = 10'000;
constexpr std::int64_t max_piece_tokens = 65'536;
constexpr std::int64_t usual_piece_tokens = 1024;
/// Shares below this would round to nothing.
constexpr double smallest_share = 0.000'01;

const text_rule identifier{.format = text_format::identifier};

object_rule objective_rule()
{
    return {
        {{.name = "first_token",
          .rule = number_rule{0, 1},
          .description = "How much a late first token costs."},
         {.name = "recomputed_share",
          .rule = number_rule{0, 1},
          .description = "How much recomputing prompt work costs."}}};
}

object_rule workspace_rule()
{
    return {
        {{.name = "id",
          .rule = identifier,
          .description = "Name of the workspace, unique."},
         {.name = "caller_keys",
          .rule = list_of(text_rule{text_format::sha256_hex}, 1, 8),
          .description = "SHA-256 of each bearer key that its callers may "
                         "use; two while keys change. Never the key itself."},
         {.name = "share",
          .rule = number_rule{smallest_share, 1},
          .description = "Part of the capacity that it gets while capacity is "
                         "short; all shares together are at most 1."},
         {.name = "objective",
          .rule = objective_rule(),
          .fallback = json(),
          .description =
              "Weights for this workspace; the deployment's when absent."},
         {.name = "models",
          .rule = list_of(identifier),
          .fallback = json::array(),
          .description = "Ids of the models that it may use."},
         {.name = "services",
          .rule = list_of(identifier),
          .fallback = json::array(),
          .description = "Ids of the services that it may call."}}};
}

object_rule model_rule()
{
    const object_rule adapter{
        {{.name = "id",
          .rule = identifier,
          .description = "Name of the adapter, unique within its model."},
         {.name = "version",
          .rule = whole_rule{.min = 1},
          .description = "Version to serve."}}};
    return {
        {{.name = "id",
          .rule = identifier,
          .description = "Name of the model, unique."},
         {.name = "version",
          .rule = whole_rule{.min = 1},
          .description = "Weight version to serve; cached prompts never "
                         "cross versions."},
         {.name = "cache_piece_tokens",
          .rule = whole_rule{.min = 1, .max = max_piece_tokens},
          .fallback = usual_piece_tokens,
          .description = "Tokens in one piece of the engines' prefix cache."},
         {.name = "adapters",
          .rule = list_of(adapter),
          .fallback = json::array(),
          .description = "Adapters that engines of this model load."}}};
}

object_rule service_rule()
{
    const object_rule request{
        {{.name = "name",
          .rule = identifier,
          .description = "Name of the request, unique within its service."},
         {.name = "idempotent",
          .rule = flag_rule{},
          .description = "true when running it twice is the same as once; "
                         "false makes it a filing, run at most once."}}};
    return {
        {{.name = "id",
          .rule = identifier,
          .description = "Name of the service, unique."},
         {.name = "requests",
          .rule = list_of(request, 1),
          .description = "Every request that it takes."}}};
}

object_rule upstream_rule()
{
    return {
        {{.name = "id",
          .rule = identifier,
          .description = "Name of the upstream, unique."},
         {.name = "kind",
          .rule = text_rule{.one_of = {"engine", "service", "store"}},
          .description = "What runs there."},
         {.name = "data_centre",
          .rule = identifier,
          .description = "Where it runs; one of data_centres."},
         {.name = "sidecar",
          .rule = text_rule{text_format::address},
          .description = "Address of the sidecar beside it, unique."},
         {.name = "checks_fencing",
          .rule = flag_rule{},
          .description = "Whether it refuses an order with an old fencing "
                         "number itself; if not, its sidecar does."},
         {.name = "models",
          .rule = list_of(identifier),
          .fallback = json::array(),
          .description = "Engines only: ids of the models that it may load."},
         {.name = "service",
          .rule = text_rule{},
          .fallback = "",
          .description = "Services only: id of the service that it runs."}}};
}

object_rule process_keys_rule()
{
    return {
        {{.name = "sign_with",
          .rule = identifier,
          .description = "Name of the key that processes sign with."},
         {.name = "accept",
          .rule = list_of(identifier, 1, 4),
          .description = "Names of the keys that processes accept, with "
                         "sign_with among them; two while keys change."}}};
}

settings::schema make_schema()
{
    return {
        {{.name = "deployment",
          .rule = identifier,
          .description = "Name of the deployment."},
         {.name = "data_centres",
          .rule = list_of(identifier, 1),
          .description = "Names of the data centres."},
         {.name = "entries",
          .rule = whole_rule{.min = 1, .max = max_entries},
          .description = "Number of entry VMs; sets how often each reads the "
                         "head, so that all together stay within the "
                         "platform's reads a second."},
         {.name = "objective",
          .rule = objective_rule(),
          .description = "What the deployment weighs most."},
         {.name = "process_keys",
          .rule = process_keys_rule(),
          .description = "Names of keys between processes; the keys "
                         "themselves stand in each process's settings."},
         {.name = "workspaces",
          .rule = list_of(workspace_rule(), 1),
          .description = "The customers."},
         {.name = "models",
          .rule = list_of(model_rule()),
          .fallback = json::array(),
          .description = "The models that engines serve."},
         {.name = "services",
          .rule = list_of(service_rule()),
          .fallback = json::array(),
          .description = "Plain services beside the engines."},
         {.name = "upstreams",
          .rule = list_of(upstream_rule(), 1),
          .description = "Engines, services and stores."}}};
}

} // namespace

const settings::schema& questionnaire_schema()
{
    static const settings::schema schema = make_schema();
    return schema;
}

settings::loaded load_questionnaire(std::string_view text)
{
    const settings::document given = settings::parse_document(text);
    settings::loaded read;
    read.faults = settings::check(questionnaire_schema(), given);
    if (!read.faults.empty())
    {
        return read;
    }
    read.value = settings::with_defaults(questionnaire_schema(), given.value);
    read.faults = inconsistencies(read.value, given);
    return read;
}

} // namespace wagtailseam::questionnaire
