#include "nutmegusher/node/worker.hpp"

#include <random>

namespace nutmegusher::node
{

controllers::controllers(const settings& from, incarnation run)
    : configured(from)
    , run(run)
    , quotas(from.host.id)
    , upstream(from.host, from.listen.peers, run)
    , admission(
          stable_hash(from.host.id.str(), run.value()), from.measurement.naive)
    , pressure(from.measurement.naive)
    , routes(
          from.host,
          from.measurement.naive,
          router_options{from.dialect == "own"})
    , claims(from.control_hosts)
    , request_memory(
          "requests",
          [this]
          {
              const auto& limits = configuration.current()->routes().limits();
              return request_memory_for(configured.limits, limits.body_bytes());
          })
    , control_memory(
          "control",
          []
          {
              return control_memory_bytes;
          })
{
}

worker::worker(controllers& shared, std::size_t index)
    : attempt_name(
          shared.configured.host.id.str() + "#" + std::to_string(index))
    , shared(shared)
    , context(1)
    , tasks(context)
    , peers(context, wire::session_options())
    , upstreams(context)
    , random(stable_hash(attempt_name, std::random_device{}()))
{
}

std::uint64_t wall_milliseconds()
{
    using std::chrono::milliseconds;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace nutmegusher::node
