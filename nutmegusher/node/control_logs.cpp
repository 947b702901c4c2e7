#include "nutmegusher/node/control_logs.hpp"

#include "nutmegusher/node/control_loop.hpp"
#include "nutmegusher/node/run_on.hpp"
#include "nutmegusher/node/withdrawal_client.hpp"

#include <array>
#include <span>
#include <utility>

namespace nutmegusher::node
{

using internal::control_loop;

namespace
{

// A batch of replica messages; the largest one is a snapshot.
constexpr std::size_t max_batch_bytes = 512 * 1024 * 1024;
// A change, a claim with its stored answer, or a query.
constexpr std::size_t max_request_bytes = 4 * 1024 * 1024;
constexpr std::size_t read_chunk_bytes = 16 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_too_large = 413;

asio::awaitable<std::optional<std::string>>
read_body(wire::server_stream& stream, std::size_t limit)
{
    std::string body;
    std::array<std::byte, read_chunk_bytes> chunk;
    while (true)
    {
        const auto count = co_await stream.read_some(chunk);
        if (!count || body.size() + *count > limit)
        {
            co_return std::nullopt;
        }
        if (*count == 0)
        {
            co_return body;
        }
        body.append(reinterpret_cast<const char*>(chunk.data()), *count);
    }
}

asio::awaitable<void>
write_response(wire::server_stream& stream, unsigned status, std::string body)
{
    wire::response_head head;
    head.status = status;
    const auto sent = co_await stream.write_head(head, body.empty());
    if (sent && !body.empty())
    {
        const auto bytes = std::as_bytes(std::span(body));
        static_cast<void>(co_await stream.write(bytes, true));
    }
}

// Handles a request whose body is complete, on the logs' thread. Returns
// nullopt if the body is not of the type that the path expects.
using request_handler = asio::awaitable<std::optional<std::string>> (*)(
    std::shared_ptr<control_loop> loop, std::string body);

asio::awaitable<std::optional<std::string>>
answer_raft(std::shared_ptr<control_loop> loop, std::string body)
{
    co_return co_await loop->handle_batch(std::move(body));
}

template <bool Forward>
asio::awaitable<std::optional<std::string>>
answer_change(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::change change;
    if (!change.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    const auto result =
        co_await loop->propose_change(std::move(change), Forward);
    co_return result.SerializeAsString();
}

template <bool Forward>
asio::awaitable<std::optional<std::string>>
answer_withdrawal(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::upstream_withdrawal withdrawal;
    if (!withdrawal.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    const auto result =
        co_await loop->propose_withdrawal(std::move(withdrawal), Forward);
    co_return result.SerializeAsString();
}

template <bool Forward>
asio::awaitable<std::optional<std::string>>
answer_claim(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::claim_command command;
    if (!command.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    const auto result =
        co_await loop->propose_claim(std::move(command), Forward);
    co_return result.SerializeAsString();
}

asio::awaitable<std::optional<std::string>>
answer_find_claim(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::claim_key key;
    if (!key.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    const auto result = co_await loop->find_claim(std::move(key));
    co_return result.SerializeAsString();
}

asio::awaitable<std::optional<std::string>>
answer_read(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::read_request request;
    if (!request.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    const auto reply = co_await loop->confirm_leader(request.group());
    co_return reply.SerializeAsString();
}

asio::awaitable<std::optional<std::string>>
answer_replace(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::replace_request request;
    if (!request.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    co_return loop->replace_step(request).SerializeAsString();
}

asio::awaitable<std::optional<std::string>>
answer_join(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::join_request request;
    if (!request.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    co_return loop->join(request).SerializeAsString();
}

template <bool Forward>
asio::awaitable<std::optional<std::string>>
answer_admit(std::shared_ptr<control_loop> loop, std::string body)
{
    messages::admit_request request;
    if (!request.ParseFromString(body))
    {
        co_return std::nullopt;
    }
    const auto reply = co_await loop->admit(std::move(request), Forward);
    co_return reply.SerializeAsString();
}

struct route
{
    std::string_view path;
    request_handler answer;
    std::size_t limit;
};

// Requests below "/control/lead/" are not forwarded: otherwise two hosts that
// each take the other for the leader would forward a request back and forth.
constexpr std::array routes{
    route{internal::raft_path, answer_raft, max_batch_bytes},
    route{"/control/propose", answer_change<true>, max_request_bytes},
    route{"/control/claim", answer_claim<true>, max_request_bytes},
    route{withdrawal_path, answer_withdrawal<true>, max_request_bytes},
    route{"/control/find-claim", answer_find_claim, max_request_bytes},
    route{"/control/join", answer_join, max_request_bytes},
    route{"/control/admit", answer_admit<true>, max_request_bytes},
    route{"/control/lead/admit", answer_admit<false>, max_request_bytes},
    route{"/control/lead/propose", answer_change<false>, max_request_bytes},
    route{
        "/control/lead/withdraw", answer_withdrawal<false>, max_request_bytes},
    route{"/control/lead/claim", answer_claim<false>, max_request_bytes},
    route{"/control/lead/read", answer_read, max_request_bytes},
    route{"/control/lead/replace", answer_replace, max_request_bytes}};

const route* find_route(std::string_view path)
{
    for (const auto& known : routes)
    {
        if (known.path == path)
        {
            return &known;
        }
    }
    return nullptr;
}

} // namespace

std::string_view to_string(replace_outcome outcome)
{
    switch (outcome)
    {
    case replace_outcome::replaced:
        return "replaced";
    case replace_outcome::new_host_unreachable:
        return "new_host_unreachable";
    case replace_outcome::wrong_host:
        return "wrong_host";
    case replace_outcome::foreign_data_folder:
        return "foreign_data_folder";
    case replace_outcome::timed_out:
        return "timed_out";
    }
    return "";
}

leaf::result<std::unique_ptr<control_logs>> control_logs::create(
    asio::io_context& context, const control_settings& settings)
{
    BOOST_LEAF_AUTO(target, file_disk::open(settings.data_folder));
    auto loop =
        std::make_shared<control_loop>(context, settings, std::move(target));
    BOOST_LEAF_CHECK(loop->open());
    loop->start();
    // Not make_unique: the constructor is private.
    return std::unique_ptr<control_logs>(new control_logs(std::move(loop)));
}

control_logs::control_logs(std::shared_ptr<control_loop> loop)
    : loop_(std::move(loop))
{
}

control_logs::~control_logs()
{
    loop_->stop();
}

asio::awaitable<void> control_logs::end()
{
    return loop_->end();
}

asio::awaitable<messages::change_result>
control_logs::propose_change(messages::change change)
{
    co_return co_await run_on(
        loop_->context(), loop_->propose_change(std::move(change), true));
}

asio::awaitable<messages::change_result>
control_logs::withdraw(messages::upstream_withdrawal withdrawal)
{
    co_return co_await run_on(
        loop_->context(),
        loop_->propose_withdrawal(std::move(withdrawal), true));
}

asio::awaitable<messages::claim_result>
control_logs::claim(messages::claim_command command)
{
    co_return co_await run_on(
        loop_->context(), loop_->propose_claim(std::move(command), true));
}

asio::awaitable<messages::claim_result>
control_logs::find_claim(messages::claim_key key)
{
    co_return co_await run_on(
        loop_->context(), loop_->find_claim(std::move(key)));
}

asio::awaitable<bool> control_logs::confirm_configuration()
{
    co_return co_await run_on(loop_->context(), loop_->confirm_configuration());
}

revision control_logs::at() const
{
    return loop_->cache().at();
}

messages::configuration control_logs::present() const
{
    return loop_->cache().present();
}

messages::configuration_delta control_logs::since(revision from) const
{
    return loop_->cache().since(from);
}

std::vector<messages::upstream_withdrawal>
control_logs::withdrawals_of(const std::string& host) const
{
    return loop_->cache().withdrawals_of(host);
}

std::vector<messages::accepted_change>
control_logs::history(std::size_t limit) const
{
    return loop_->cache().history(limit);
}

void control_logs::on_revision(std::function<void(revision)> notify)
{
    loop_->notify = std::move(notify);
}

std::vector<std::optional<asio::ip::tcp::endpoint>>
control_logs::claim_leaders() const
{
    return loop_->status().claim_leaders;
}

time_point control_logs::known_current_at() const
{
    return loop_->known_current_at();
}

configuration_leadership control_logs::leadership() const
{
    return loop_->leadership();
}

std::vector<control_address> control_logs::members() const
{
    return loop_->status().members;
}

boost::json::value control_logs::state() const
{
    return loop_->state();
}

asio::awaitable<replace_outcome> control_logs::replace_member(
    host_id old_host, host_id new_host, asio::ip::tcp::endpoint address)
{
    messages::replica_member added;
    added.set_host(new_host.str());
    added.set_address(internal::to_text(address));
    co_return co_await run_on(
        loop_->context(),
        loop_->replace(std::move(old_host), std::move(added)));
}

asio::awaitable<void> control_logs::hand_over(duration limit)
{
    co_await run_on(loop_->context(), loop_->hand_over(limit));
}

asio::awaitable<bool>
control_logs::handle(std::shared_ptr<wire::server_stream> stream)
{
    const auto* found = find_route(stream->head().path);
    if (found == nullptr)
    {
        co_return false;
    }
    const auto loop = loop_;
    auto body = co_await read_body(*stream, found->limit);
    if (!body)
    {
        co_await write_response(*stream, status_too_large, std::string());
        co_return true;
    }
    auto answer =
        co_await run_on(loop->context(), found->answer(loop, *std::move(body)));
    if (!answer)
    {
        stream->reset();
        co_return true;
    }
    co_await write_response(*stream, status_ok, *std::move(answer));
    co_return true;
}

} // namespace nutmegusher::node
