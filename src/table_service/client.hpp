// HTTP client of the platform's table service, object store and VM list.
#ifndef WAGTAILSEAM_TABLE_SERVICE_CLIENT_HPP
#define WAGTAILSEAM_TABLE_SERVICE_CLIENT_HPP

#include "http/client.hpp"
#include "table_service/table.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace wagtailseam::table_service
{

namespace asio = boost::asio;

/// Numbers of calls from this client to the platform.
struct call_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t failures = 0;
};

/// An entry of the platform's VM list, which is eventually consistent.
struct vm_entry
{
    std::string vm;
    bool leaving = false;
};

struct client_options
{
    http::address platform;
    duration timeout = std::chrono::milliseconds(400);
};

/// Client of the platform's HTTP API (docs/PLATFORM.md).
class client
{
public:
    client(const asio::any_io_executor& executor, client_options options);

    /// Applies a transaction; outcome_unknown if it may have been applied.
    asio::awaitable<transaction_result> apply(transaction request);
    /// Reads one row.
    asio::awaitable<read_result> read(row_key key);
    /// Reads up to limit rows whose keys start with prefix and follow the key
    /// `after`, in key order. An empty `after` starts at the first row.
    asio::awaitable<scan_result> scan(
        std::string table, std::string prefix, std::string after,
        std::size_t limit);
    /// Stores an object.
    /// @errors platform_unavailable: the object may have been stored
    asio::awaitable<result<void>> put_object(
        std::string name, std::string bytes);
    /// Reads an object. @errors platform_not_found, platform_unavailable
    asio::awaitable<result<std::string>> read_object(std::string name);
    /// Reads the list of VMs. @errors platform_unavailable
    asio::awaitable<result<std::vector<vm_entry>>> list_vms();

    [[nodiscard]] const call_counts& calls() const noexcept { return calls_; }

private:
    asio::awaitable<result<http::response>> post(
        std::string target, std::string body);

    http::client http_;
    client_options options_;
    call_counts calls_;
};

} // namespace wagtailseam::table_service

#endif
