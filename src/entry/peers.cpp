// Construction of what an entry's slices share.
#include "entry/peers.hpp"

namespace wagtailseam::entry
{

peers::peers(
    asio::io_context& run_on, entry_settings wanted,
    identity::process_keys accepted)
    : context(run_on), settings(std::move(wanted)), keys(std::move(accepted)),
      client(run_on.get_executor()),
      control(run_on.get_executor(), keys, traffic),
      platform(run_on.get_executor(), {.platform = settings.platform}),
      random(std::random_device{}())
{
}

bool peers::configured() const
{
    return config && (spread->ready() || spread->none_accepted());
}

void peers::explain(const request_id& request, std::string text)
{
    explained.add(request, monotonic_clock::now(), std::move(text));
}

} // namespace wagtailseam::entry
