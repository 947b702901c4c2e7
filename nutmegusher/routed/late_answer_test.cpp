// An upstream that repeats its answers late: at any later position on the
// connection, under ids that come again.
#include "nutmegusher/routed/test_path.hpp"

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>

namespace nutmegusher::routed
{
namespace
{

using namespace test_path;

constexpr unsigned status_ok = 200;
constexpr std::string_view load_field = "1,0,4,100";

std::string to_bytes(const text_response& answer, bool without_body)
{
    std::ostringstream text;
    text << answer.base();
    if (!without_body)
    {
        text << answer.body();
    }
    return text.str();
}

// How often the upstream misbehaves.
struct late_answer_plan
{
    double rejected = 0.3;
    double repeated = 0.4;
    // Interim answers before the final one.
    double interim = 0.1;
};

// Serves connections with seeded rejections and repeated answers, and counts
// the runs of each id.
class repeating_upstream
{
public:
    explicit repeating_upstream(std::uint32_t seed)
        : random_(seed)
    {
    }

    void set_plan(const late_answer_plan& plan)
    {
        const std::scoped_lock lock(mutex_);
        plan_ = plan;
    }

    void serve(tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        std::vector<std::string> sent;
        while (const auto request = read_request(socket, buffer))
        {
            std::string bytes;
            {
                const std::scoped_lock lock(mutex_);
                bytes = earlier_answers(sent);
                if (happens(plan_.interim))
                {
                    bytes += "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
                }
                sent.push_back(answer(*request));
                bytes += sent.back();
            }
            boost::system::error_code failed;
            asio::write(socket, asio::buffer(bytes), failed);
        }
    }

    [[nodiscard]] int runs_of(const std::string& id)
    {
        const std::scoped_lock lock(mutex_);
        return runs_[id];
    }

private:
    bool happens(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    std::string earlier_answers(const std::vector<std::string>& sent)
    {
        if (sent.empty() || !happens(plan_.repeated))
        {
            return {};
        }
        // Mostly the one before.
        const auto back = happens(0.7) ? 0 : random_() % sent.size();
        return sent[sent.size() - 1 - back];
    }

    std::string answer(const text_request& request)
    {
        constexpr std::array rejections{
            http::status::service_unavailable,
            http::status::too_many_requests,
            http::status::misdirected_request,
            http::status::bad_request};
        const auto id = id_of(request);
        auto made = answer_to(id, "own " + id);
        made.set(
            "upstream-load",
            beast::string_view(load_field.data(), load_field.size()));
        if (happens(plan_.rejected))
        {
            made.result(rejections.at(random_() % rejections.size()));
            made.set("nutmeg-not-run", "1");
        }
        else
        {
            ++runs_[id];
        }
        return to_bytes(made, request.method() == http::verb::head);
    }

    std::mutex mutex_;
    std::mt19937 random_;
    late_answer_plan plan_;
    std::map<std::string, int> runs_;
};

// What a caller saw of one id.
struct caller_view
{
    std::string id;
    bool repeatable = false;
    bool refused_last = false;
    bool got_wrong_answer = false;
};

bool promises_not_run(const text_response& answer)
{
    return answer["nutmeg-outcome"] == "not-run";
}

// A path over an upstream that repeats answers; made anew for each history.
class late_answer_path : public routed_path
{
public:
    explicit late_answer_path(std::uint32_t seed)
        : upstream_(seed)
        , seed_(seed)
    {
        start(
            [this](tcp::socket& socket)
            {
                upstream_.serve(socket);
            });
        warm_up();
    }

    std::vector<caller_view> play()
    {
        constexpr std::uint32_t callers = 4;
        std::vector<std::future<std::vector<caller_view>>> running;
        for (std::uint32_t n = 0; n < callers; ++n)
        {
            running.push_back(std::async(
                std::launch::async,
                [this, n]
                {
                    return send_requests(n);
                }));
        }
        std::vector<caller_view> all;
        for (auto& each : running)
        {
            const auto views = each.get();
            all.insert(all.end(), views.begin(), views.end());
        }
        return all;
    }

    [[nodiscard]] int runs_of(const std::string& id)
    {
        return upstream_.runs_of(id);
    }

private:
    void TestBody() override
    {
    }

    // Calls that pass, so that repeats of rejected calls are allowed.
    void warm_up()
    {
        upstream_.set_plan({0, 0, 0});
        for (int n = 0; n < 30; ++n)
        {
            const auto id = "warm-" + std::to_string(n);
            static_cast<void>(ask("/pay/1", id, "amount 7"));
        }
        upstream_.set_plan({});
    }

    std::vector<caller_view> send_requests(std::uint32_t caller) const
    {
        constexpr int requests = 15;
        std::mt19937 random(seed_ + caller);
        std::vector<caller_view> views;
        for (int n = 0; n < requests; ++n)
        {
            caller_view view;
            view.id = "c" + std::to_string(caller) + "-" + std::to_string(n);
            const auto kind = random() % 8;
            view.repeatable = kind < 2;
            auto request = make_request(
                view.repeatable ? "/views/1" : "/pay/1",
                view.id,
                view.repeatable ? "" : "amount 7");
            if (kind == 0)
            {
                request.method(http::verb::head);
            }
            // A caller that was refused may send its request again.
            const int sends = 1 + static_cast<int>(random() % 3);
            view.refused_last = true;
            for (int send = 0; send < sends && view.refused_last; ++send)
            {
                const auto answer = exchange(request);
                view.refused_last = answer && promises_not_run(*answer);
                view.got_wrong_answer = view.got_wrong_answer ||
                                        (answer && is_wrong(*answer, request));
            }
            views.push_back(view);
        }
        return views;
    }

    [[nodiscard]] std::optional<text_response>
    exchange(const text_request& request) const
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(entry->caller_server->local_endpoint());
        http::write(socket, request);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.skip(request.method() == http::verb::head);
        boost::system::error_code failed;
        http::read(socket, buffer, parser, failed);
        return failed ? std::nullopt : std::optional(parser.release());
    }

    static bool
    is_wrong(const text_response& answer, const text_request& request)
    {
        const bool has_body = request.method() != http::verb::head;
        return answer.result_int() == status_ok && has_body &&
               answer.body() != "own " + id_of(request);
    }

    repeating_upstream upstream_;
    std::uint32_t seed_;
};

// Guards against an answer to an earlier send that is taken for the answer to a
// later one: a refused call that ran, a call that ran twice, and another
// caller's answer.
RC_GTEST_PROP(late_answer, belongs_to_no_later_send, ())
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    late_answer_path path(seed);
    for (const auto& view : path.play())
    {
        const auto runs = path.runs_of(view.id);
        RC_LOG() << view.id << " ran " << runs << " times, refused "
                 << view.refused_last << "\n";
        RC_ASSERT_FALSE(view.got_wrong_answer);
        RC_ASSERT(view.repeatable || runs <= 1);
        RC_ASSERT(!view.refused_last || view.repeatable || runs == 0);
    }
}

} // namespace
} // namespace nutmegusher::routed
