// Transactions on an ordered map of rows.
#include "table_service/memory_table.hpp"

namespace wagtailseam::table_service
{

bool memory_table::condition_met(const row_write& write) const
{
    if (!write.expected)
    {
        return true;
    }
    const auto found = rows_.find(write.key);
    const row_version current =
        found == rows_.end() ? absent_row_version : found->second.version;
    return current == *write.expected;
}

transaction_result memory_table::apply(const transaction& request)
{
    for (std::size_t i = 0; i < request.writes.size(); ++i)
    {
        if (!condition_met(request.writes[i]))
        {
            return conflicted{i, read(request.writes[i].key)};
        }
    }
    committed result;
    for (const row_write& write : request.writes)
    {
        const row_version version{++last_version_};
        result.versions.push_back(version);
        if (write.value)
        {
            rows_.insert_or_assign(
                write.key, row{write.key, *write.value, version});
        }
        else
        {
            rows_.erase(write.key);
        }
    }
    return result;
}

optional_row memory_table::read(const row_key& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? optional_row{} : optional_row{found->second};
}

std::vector<row> memory_table::scan(
    std::string_view table, std::string_view prefix, std::string_view after,
    std::size_t limit) const
{
    std::vector<row> matches;
    auto next = after.empty()
                    ? rows_.lower_bound(
                          row_key{std::string(table), std::string(prefix)})
                    : rows_.upper_bound(
                          row_key{std::string(table), std::string(after)});
    for (; next != rows_.end() && matches.size() < limit; ++next)
    {
        const row_key& key = next->first;
        if (key.table != table || !key.key.starts_with(prefix))
        {
            break;
        }
        matches.push_back(next->second);
    }
    return matches;
}

} // namespace wagtailseam::table_service
