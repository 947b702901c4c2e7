// Requests with keys of teams, from the caller to the upstream.
#include "nutmegusher/routed/test_path.hpp"

#include <boost/json/serialize.hpp>

#include <string>
#include <thread>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* first_key = "k3y-of-the-treasury";
constexpr const char* second_key = "k3y-of-the-audit";

// Takes the part of the owner of quotas.
class owner_stub
{
public:
    owner_stub(node::quota_gate& gate, const messages::route_document& of)
        : gate_(gate)
        , owner_(1, uptime_clock().now() - seconds(10), quota_bounds())
        , teams_(team_table::create(of).teams())
        , thread_(
              [this]
              {
                  run();
              })
    {
    }

    ~owner_stub()
    {
        stopping_ = true;
        thread_.join();
    }

private:
    void run()
    {
        owner_.set_limits(teams_, uptime_clock().now() - seconds(9));
        while (!stopping_)
        {
            const auto wait = gate_.until_next_exchange();
            if (wait && *wait <= duration::zero())
            {
                const auto request = gate_.make_request(incarnation(1));
                gate_.on_reply(owner_.answer(request, uptime_clock().now()));
            }
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    node::quota_gate& gate_;
    quota_owner owner_;
    const std::vector<team> teams_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

// Answers one request to the owner, and no further one.
void grant_once(node::quota_gate& gate, std::uint32_t tokens)
{
    auto wait = gate.until_next_exchange();
    while (!wait || *wait > duration::zero())
    {
        std::this_thread::sleep_for(milliseconds(1));
        wait = gate.until_next_exchange();
    }
    const auto request = gate.make_request(incarnation(1));
    messages::quota_reply reply;
    reply.set_accepted(true);
    reply.set_term(1);
    reply.set_sequence(request.sequence());
    auto& grant = *reply.add_grants();
    grant.set_team(request.holdings(0).team());
    grant.set_granted(tokens);
    EXPECT_TRUE(gate.on_reply(reply));
}

std::size_t tokens_of(const node::quota_gate& gate)
{
    const auto dump = gate.dump();
    return static_cast<std::size_t>(dump.at("tokens").as_double());
}

template <class Condition>
void wait_until(const Condition& condition)
{
    const auto until = host_clock().now() + seconds(1);
    while (!condition() && host_clock().now() < until)
    {
        std::this_thread::sleep_for(milliseconds(2));
    }
}

class team_path : public routed_path
{
protected:
    void start_with_teams()
    {
        start_without_routes(recording_script());
        document.set_version(1);
        add_route(document, "/views/", true);
        add_route(document, "/pay/", false);
        add_route(document, "/open/", true);
        document.mutable_routes(2)->set_anonymous(true);
        add_team("treasury", first_key);
        add_team("audit", second_key);
        install();
    }

    void add_team(const std::string& name, const std::string& key)
    {
        auto& team = *document.add_teams();
        team.set_name(name);
        team.add_key_digests(key_digest::of(key).bytes());
    }

    // Installs the document at a new revision.
    void install()
    {
        messages::configuration_delta delta;
        delta.mutable_full()->set_revision(++revision_);
        *delta.mutable_full()->mutable_routes() = document;
        entry->shared.configuration.accept(delta);
        entry->shared.age_of_configuration.advance(host_clock().now());
    }

    [[nodiscard]] text_response ask_with(
        const std::string& path, const std::vector<std::string>& authorization)
    {
        auto request = make_request(path, "id-" + std::to_string(++asked_), "");
        request.set("nutmeg-team", "forged");
        for (const auto& value : authorization)
        {
            request.insert("authorization", value);
        }
        return ask(request);
    }

    [[nodiscard]] unsigned
    status_with(const std::string& path, const std::string& key)
    {
        return ask_with(path, {"Bearer " + key}).result_int();
    }

    [[nodiscard]] std::vector<text_request> arrived()
    {
        const std::scoped_lock lock(mutex_);
        return arrived_;
    }

    messages::route_document document;

private:
    scripted_upstream::script recording_script()
    {
        return [this](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            while (const auto request = read_request(socket, buffer))
            {
                {
                    const std::scoped_lock lock(mutex_);
                    arrived_.push_back(*request);
                }
                http::write(socket, answer_to(id_of(*request), "done"));
            }
        };
    }

    std::mutex mutex_;
    std::vector<text_request> arrived_;
    std::uint64_t revision_ = 0;
    std::size_t asked_ = 0;
};

TEST_F(team_path, the_upstream_gets_the_team_and_not_the_key)
{
    start_with_teams();
    EXPECT_EQ(status_with("/views/1", first_key), 200);
    EXPECT_EQ(status_with("/pay/1", second_key), 200);
    const auto requests = arrived();
    ASSERT_EQ(requests.size(), 2);
    EXPECT_EQ(requests[0]["nutmeg-team"], "treasury");
    EXPECT_EQ(requests[1]["nutmeg-team"], "audit");
    for (const auto& request : requests)
    {
        EXPECT_EQ(request.count("nutmeg-team"), 1);
        std::ostringstream text;
        text << request;
        EXPECT_EQ(text.str().find("k3y"), std::string::npos) << text.str();
        EXPECT_EQ(request.count("authorization"), 0);
        EXPECT_EQ(request["x-caller"], "kept");
    }
}

TEST_F(team_path, refuses_what_is_not_clearly_one_known_key)
{
    start_with_teams();
    const std::string known = std::string("Bearer ") + first_key;
    EXPECT_EQ(ask_with("/views/1", {}).result_int(), 401);
    EXPECT_EQ(ask_with("/views/1", {""}).result_int(), 401);
    EXPECT_EQ(ask_with("/views/1", {"Bearer other"}).result_int(), 401);
    EXPECT_EQ(ask_with("/views/1", {first_key}).result_int(), 401);
    EXPECT_EQ(ask_with("/views/1", {known, known}).result_int(), 401);
    EXPECT_EQ(ask_with("/pay/1", {known + "x"}).result_int(), 401);
    EXPECT_EQ(arrived().size(), 0);
}

TEST_F(team_path, anonymous_routes_need_no_key)
{
    start_with_teams();
    EXPECT_EQ(ask_with("/open/1", {}).result_int(), 200);
    EXPECT_EQ(status_with("/open/2", second_key), 200);
    EXPECT_EQ(status_with("/open/3", "other"), 401);
    const auto requests = arrived();
    ASSERT_EQ(requests.size(), 2);
    EXPECT_EQ(requests[0].count("nutmeg-team"), 0);
    EXPECT_EQ(requests[1]["nutmeg-team"], "audit");
}

TEST_F(team_path, without_teams_the_field_is_forwarded)
{
    start_with_teams();
    document.clear_teams();
    install();
    EXPECT_EQ(status_with("/views/1", "other"), 200);
    const auto requests = arrived();
    ASSERT_EQ(requests.size(), 1);
    EXPECT_EQ(requests[0]["authorization"], "Bearer other");
    EXPECT_EQ(requests[0].count("nutmeg-team"), 0);
}

TEST_F(team_path, keys_follow_the_configuration)
{
    start_with_teams();
    EXPECT_EQ(status_with("/views/1", first_key), 200);
    // The key moves to the other team.
    document.mutable_teams(1)->add_key_digests(
        document.teams(0).key_digests(0));
    document.mutable_teams(0)->clear_key_digests();
    install();
    EXPECT_EQ(status_with("/views/2", first_key), 200);
    document.mutable_teams(1)->clear_key_digests();
    install();
    EXPECT_EQ(status_with("/views/3", first_key), 401);
    const auto requests = arrived();
    ASSERT_EQ(requests.size(), 2);
    EXPECT_EQ(requests[0]["nutmeg-team"], "treasury");
    EXPECT_EQ(requests[1]["nutmeg-team"], "audit");
}

// A daemon that is cut off can't know which keys were removed.
TEST_F(team_path, refuses_keys_while_its_configuration_may_be_old)
{
    max_configuration_age = seconds(2);
    start_with_teams();
    EXPECT_EQ(status_with("/views/1", first_key), 200);
    std::this_thread::sleep_for(max_configuration_age + milliseconds(100));
    const auto refused =
        ask_with("/views/2", {std::string("Bearer ") + first_key});
    EXPECT_EQ(refused.result_int(), 503);
    EXPECT_EQ(refused["nutmeg-outcome"], "not-run");
    EXPECT_EQ(refused["nutmeg-reason"], "configuration-old");
    // Not 401: the key may have been added since.
    EXPECT_EQ(status_with("/views/3", "other"), 503);
    EXPECT_EQ(ask_with("/open/4", {}).result_int(), 200);
    entry->shared.age_of_configuration.advance(host_clock().now());
    EXPECT_EQ(status_with("/views/5", first_key), 200);
    EXPECT_EQ(arrived().size(), 3);
}

TEST_F(team_path, without_a_bound_old_knowledge_serves_on)
{
    start_with_teams();
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(status_with("/views/1", first_key), 200);
}

TEST_F(team_path, refuses_requests_beyond_the_quota)
{
    start_with_teams();
    document.mutable_teams(0)->set_rate(1);
    document.mutable_teams(0)->set_burst(4);
    install();
    const owner_stub owner(entry->shared.quotas, document);
    std::map<unsigned, std::size_t> counts;
    for (int i = 0; i < 12; ++i)
    {
        const auto answer =
            ask_with("/views/1", {std::string("Bearer ") + first_key});
        ++counts[answer.result_int()];
        if (answer.result_int() == 429)
        {
            EXPECT_EQ(answer["nutmeg-outcome"], "not-run");
            EXPECT_NE(answer["nutmeg-retry-after-ms"], "");
        }
    }
    EXPECT_GE(counts[200], 4);
    EXPECT_LE(counts[200], 6);
    EXPECT_EQ(counts[200] + counts[429], 12);
    EXPECT_EQ(arrived().size(), counts[200]);
    // Another team isn't affected.
    EXPECT_EQ(status_with("/views/1", second_key), 200);
}

TEST_F(team_path, refuses_requests_of_limited_teams_without_an_owner)
{
    start_with_teams();
    document.mutable_teams(0)->set_rate(100);
    install();
    const auto refused =
        ask_with("/views/1", {std::string("Bearer ") + first_key});
    EXPECT_EQ(refused.result_int(), 503);
    EXPECT_EQ(refused["nutmeg-outcome"], "not-run");
    EXPECT_EQ(refused["nutmeg-reason"], "quota-unavailable");
    EXPECT_EQ(arrived().size(), 0);
}

// The call may have started there in that moment.
TEST_F(team_path, a_call_that_is_interrupted_at_a_peer_keeps_its_token)
{
    constexpr std::uint32_t granted = 10;
    constexpr std::size_t slots = 4;
    std::atomic<std::size_t> running = 0;
    std::promise<void> released;
    const auto release = released.get_future().share();
    start_without_routes(
        [&running, release](tcp::socket& socket)
        {
            beast::flat_buffer buffer;
            if (read_request(socket, buffer))
            {
                ++running;
                release.wait();
            }
        });
    document.set_version(1);
    add_route(document, "/views/", true);
    add_team("treasury", first_key);
    document.mutable_teams(0)->set_rate(100);
    install();
    auto& gate = entry->shared.quotas;
    std::vector<std::unique_ptr<tcp::socket>> callers;
    asio::io_context context;
    for (std::size_t i = 0; i <= slots; ++i)
    {
        auto request = make_request("/views/1", "id-" + std::to_string(i), "");
        request.set("authorization", std::string("Bearer ") + first_key);
        auto& socket =
            *callers.emplace_back(std::make_unique<tcp::socket>(context));
        socket.connect(entry->caller_server->local_endpoint());
        http::write(socket, request);
        if (i == 0)
        {
            grant_once(gate, granted);
        }
    }
    wait_until(
        [&]
        {
            return running == slots && tokens_of(gate) == granted - slots - 1;
        });
    EXPECT_EQ(tokens_of(gate), granted - slots - 1);
    // Time for the last call to reach the queue of the other daemon.
    std::this_thread::sleep_for(milliseconds(200));
    callers.back()->close();
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_EQ(tokens_of(gate), granted - slots - 1);
    released.set_value();
}

TEST_F(team_path, keys_are_in_no_metric_and_no_dump)
{
    start_with_teams();
    EXPECT_EQ(status_with("/views/1", first_key), 200);
    EXPECT_EQ(status_with("/views/1", "k3y-unknown"), 401);
    const auto& shared = entry->shared;
    EXPECT_EQ(
        shared.request_metrics.exposition().find("k3y"), std::string::npos);
    for (const auto& dump :
         {shared.request_metrics.dump(),
          shared.quotas.dump(),
          shared.routes.dump()})
    {
        EXPECT_EQ(boost::json::serialize(dump).find("k3y"), std::string::npos);
    }
}

} // namespace
} // namespace nutmegusher::routed
