// Flattens both documents to named values and compares those.
#include "questionnaire/difference.hpp"

#include <array>
#include <map>
#include <string_view>

namespace wagtailseam::questionnaire
{
namespace
{

using nlohmann::json;
using named_values = std::map<std::string, std::string>;

std::string name_of(const json& element)
{
    if (!element.is_object())
    {
        return element.is_string() ? element.get<std::string>()
                                   : element.dump();
    }
    for (const char* key : {"id", "name"})
    {
        if (element.contains(key))
        {
            return element[key].get<std::string>();
        }
    }
    return element.dump();
}

void flatten(const json& value, const std::string& path, named_values& into)
{
    const std::string prefix = path.empty() ? path : path + ".";
    if (value.is_object())
    {
        for (const auto& [key, member] : value.items())
        {
            flatten(member, prefix + key, into);
        }
    }
    else if (value.is_array())
    {
        for (const json& element : value)
        {
            const std::string at = prefix + name_of(element);
            if (element.is_object())
            {
                flatten(element, at, into);
            }
            else
            {
                into.emplace(at, "listed");
            }
        }
    }
    else
    {
        into.emplace(path, value.dump());
    }
}

named_values flattened(json document)
{
    document.erase("reasons");
    named_values values;
    flatten(document, {}, values);
    return values;
}

/// What a change of a value means; the first row whose words all occur in
/// the subject applies.
struct effect_row
{
    std::string_view group;
    std::string_view part;
    std::string_view added;
    std::string_view removed;
    std::string_view changed;
};

constexpr std::array effects{
    effect_row{
        "workspaces.", ".caller_keys.", "callers may use this key",
        "callers with this key are refused", ""},
    effect_row{
        "workspaces.", ".share", "", "",
        "the workspace gets another part of scarce capacity"},
    effect_row{
        "workspaces.", ".objective.", "", "",
        "routing and caching weigh the workspace's costs differently"},
    effect_row{
        "workspaces.", ".models.", "the workspace may use this model",
        "the workspace's prompts for this model are refused", ""},
    effect_row{
        "workspaces.", ".services.", "the workspace may call this service",
        "the workspace's calls to this service are refused", ""},
    effect_row{
        "workspaces.", ".id", "callers of a new workspace are served",
        "all callers of the workspace are refused", ""},
    effect_row{
        "models.", ".version", "the model or adapter is served",
        "it is no longer served",
        "engines load this version; prompts cached under the other one are "
        "computed again"},
    effect_row{
        "services.", ".idempotent", "requests of this name are taken",
        "requests of this name are refused",
        "the rule for running the request twice changes: false runs it at "
        "most once and needs an idempotency key"},
    effect_row{
        "upstreams.", ".id", "the upstream gets work",
        "the upstream gets no new work", ""},
    effect_row{
        "upstreams.", ".checks_fencing", "", "",
        "who refuses orders with an old fencing number changes"},
    effect_row{"upstreams.", ".sidecar", "", "", "work goes to this address"},
    effect_row{
        "process_keys.accept.", "", "messages signed with this key are taken",
        "processes that still sign with this key are cut off", ""},
    effect_row{
        "process_keys.sign_with", "", "", "",
        "processes sign with this key; all must accept it already"},
    effect_row{
        "spread.", "", "", "", "entries read the head at another interval"},
    effect_row{
        "membership.", "", "", "",
        "silent upstreams are suspected after another time"},
    effect_row{"lease.", "", "", "", "duties pass on after another time"},
};

std::string effect_of(const change& made)
{
    for (const effect_row& row : effects)
    {
        if (!made.subject.starts_with(row.group) ||
            made.subject.find(row.part) == std::string::npos)
        {
            continue;
        }
        if (made.before.empty())
        {
            return std::string(row.added);
        }
        return std::string(made.after.empty() ? row.removed : row.changed);
    }
    return {};
}

} // namespace

std::vector<change> difference(const json& before, const json& after)
{
    const named_values old_values = flattened(before);
    const named_values new_values = flattened(after);
    std::map<std::string, change> changes;
    for (const auto& [subject, value] : old_values)
    {
        changes.emplace(subject, change{.subject = subject, .before = value});
    }
    for (const auto& [subject, value] : new_values)
    {
        change& each = changes[subject];
        each.subject = subject;
        each.after = value;
    }
    std::vector<change> made;
    for (auto& [subject, each] : changes)
    {
        if (each.before != each.after)
        {
            each.effect = effect_of(each);
            made.push_back(std::move(each));
        }
    }
    return made;
}

json to_json(const std::vector<change>& changes)
{
    json list = json::array();
    for (const change& each : changes)
    {
        list.push_back(
            {{"subject", each.subject},
             {"before", each.before},
             {"after", each.after},
             {"effect", each.effect}});
    }
    return {{"changes", std::move(list)}};
}

std::string describe(const std::vector<change>& changes)
{
    if (changes.empty())
    {
        return "no change\n";
    }
    std::string text;
    for (const change& each : changes)
    {
        if (each.before.empty())
        {
            text += "+ " + each.subject + " = " + each.after;
        }
        else if (each.after.empty())
        {
            text += "- " + each.subject + " (was " + each.before + ")";
        }
        else
        {
            text +=
                "~ " + each.subject + ": " + each.before + " -> " + each.after;
        }
        text += each.effect.empty() ? "\n" : "  (" + each.effect + ")\n";
    }
    return text;
}

} // namespace wagtailseam::questionnaire
