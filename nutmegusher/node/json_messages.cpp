#include "nutmegusher/node/json_messages.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <initializer_list>
#include <limits>

namespace nutmegusher::node
{

namespace
{

// Reads typed fields of a JSON object; keeps the object's path for errors.
class object_reader
{
public:
    object_reader(const json::object& object, std::string path)
        : object_(object)
        , path_(std::move(path))
    {
    }

    [[nodiscard]] leaf::error_id
    fail(json_problem problem, std::string_view field) const
    {
        return leaf::new_error(json_error{problem, path_ + std::string(field)});
    }

    [[nodiscard]] leaf::result<void>
    reject_unknown_fields(std::initializer_list<std::string_view> known) const
    {
        for (const auto& item : object_)
        {
            const std::string_view key(item.key().data(), item.key().size());
            if (std::find(known.begin(), known.end(), key) == known.end())
            {
                return fail(json_problem::unknown_field, key);
            }
        }
        return {};
    }

    [[nodiscard]] bool has(std::string_view field) const
    {
        return object_.contains(field);
    }

    [[nodiscard]] leaf::result<std::string>
    text(std::string_view field, bool required) const
    {
        const auto* const found = object_.if_contains(field);
        if (found == nullptr)
        {
            if (required)
            {
                return fail(json_problem::missing_field, field);
            }
            return std::string();
        }
        if (!found->is_string())
        {
            return fail(json_problem::wrong_type, field);
        }
        return std::string(found->get_string());
    }

    template <class Number>
    [[nodiscard]] leaf::result<Number>
    count(std::string_view field, bool required) const
    {
        const auto* const found = object_.if_contains(field);
        if (found == nullptr)
        {
            if (required)
            {
                return fail(json_problem::missing_field, field);
            }
            return Number{0};
        }
        if (!found->is_int64() && !found->is_uint64())
        {
            return fail(json_problem::wrong_type, field);
        }
        const bool negative = found->is_int64() && found->get_int64() < 0;
        const auto value = found->is_int64()
                               ? static_cast<std::uint64_t>(found->get_int64())
                               : found->get_uint64();
        if (negative || value > std::numeric_limits<Number>::max())
        {
            return fail(json_problem::out_of_range, field);
        }
        return static_cast<Number>(value);
    }

    [[nodiscard]] leaf::result<bool>
    flag(std::string_view field, bool default_value) const
    {
        const auto* const found = object_.if_contains(field);
        if (found == nullptr)
        {
            return default_value;
        }
        if (!found->is_bool())
        {
            return fail(json_problem::wrong_type, field);
        }
        return found->get_bool();
    }

    [[nodiscard]] leaf::result<object_reader>
    object(std::string_view field) const
    {
        const auto* const found = object_.if_contains(field);
        if (found == nullptr)
        {
            return fail(json_problem::missing_field, field);
        }
        if (!found->is_object())
        {
            return fail(json_problem::wrong_type, field);
        }
        return object_reader(
            found->get_object(), path_ + std::string(field) + ".");
    }

private:
    const json::object& object_;
    std::string path_;
};

leaf::result<messages::class_target> read_target(const object_reader& in)
{
    BOOST_LEAF_CHECK(
        in.reject_unknown_fields({"latency_ms", "completion_ppm"}));
    messages::class_target target;
    BOOST_LEAF_AUTO(latency, in.count<std::uint32_t>("latency_ms", true));
    BOOST_LEAF_AUTO(
        completion, in.count<std::uint32_t>("completion_ppm", true));
    target.set_latency_ms(latency);
    target.set_completion_ppm(completion);
    return target;
}

leaf::result<messages::work_class> read_class(const object_reader& in)
{
    BOOST_LEAF_CHECK(in.reject_unknown_fields(
        {"name",
         "service",
         "method",
         "path_prefix",
         "rank",
         "repeatable",
         "bulk",
         "target"}));
    messages::work_class result;
    BOOST_LEAF_AUTO(name, in.text("name", true));
    BOOST_LEAF_AUTO(service, in.text("service", true));
    BOOST_LEAF_AUTO(method, in.text("method", false));
    BOOST_LEAF_AUTO(prefix, in.text("path_prefix", false));
    BOOST_LEAF_AUTO(rank, in.count<std::uint32_t>("rank", true));
    BOOST_LEAF_AUTO(repeatable, in.flag("repeatable", false));
    BOOST_LEAF_AUTO(bulk, in.flag("bulk", false));
    BOOST_LEAF_AUTO(target_in, in.object("target"));
    BOOST_LEAF_AUTO(target, read_target(target_in));
    result.set_name(name);
    result.set_service(service);
    result.set_method(method);
    result.set_path_prefix(prefix.empty() ? "/" : prefix);
    result.set_rank(rank);
    result.set_repeatable(repeatable);
    result.set_bulk(bulk);
    *result.mutable_target() = target;
    return result;
}

leaf::result<void> read_action(const object_reader& in, messages::change& to)
{
    if (in.has("declare"))
    {
        BOOST_LEAF_AUTO(object, in.object("declare"));
        BOOST_LEAF_ASSIGN(*to.mutable_declare(), read_class(object));
    }
    else if (in.has("set_target"))
    {
        BOOST_LEAF_AUTO(object, in.object("set_target"));
        BOOST_LEAF_CHECK(
            object.reject_unknown_fields({"class_name", "target"}));
        BOOST_LEAF_AUTO(name, object.text("class_name", true));
        BOOST_LEAF_AUTO(target_in, object.object("target"));
        BOOST_LEAF_AUTO(target, read_target(target_in));
        to.mutable_set_target()->set_class_name(name);
        *to.mutable_set_target()->mutable_target() = target;
    }
    else
    {
        BOOST_LEAF_AUTO(name, in.text("remove_class", true));
        to.set_remove_class(name);
    }
    return {};
}

json::object to_json(const messages::class_target& from)
{
    return {
        {"latency_ms", from.latency_ms()},
        {"completion_ppm", from.completion_ppm()}};
}

} // namespace

std::string_view to_string(json_problem problem)
{
    switch (problem)
    {
    case json_problem::not_json:
        return "not-json";
    case json_problem::not_an_object:
        return "not-an-object";
    case json_problem::unknown_field:
        return "unknown-field";
    case json_problem::missing_field:
        return "missing-field";
    case json_problem::wrong_type:
        return "wrong-type";
    case json_problem::out_of_range:
        break;
    }
    return "out-of-range";
}

json::value to_json(const json_error& error)
{
    return json::object{
        {"error",
         json::object{
             {"problem", to_string(error.problem)}, {"field", error.field}}}};
}

leaf::result<messages::change> parse_change(std::string_view text)
{
    json::error_code failed;
    const auto value =
        json::parse(json::string_view(text.data(), text.size()), failed);
    if (failed)
    {
        return leaf::new_error(json_error{json_problem::not_json, ""});
    }
    if (!value.is_object())
    {
        return leaf::new_error(json_error{json_problem::not_an_object, ""});
    }
    const object_reader in(value.get_object(), "");
    BOOST_LEAF_CHECK(in.reject_unknown_fields(
        {"change_id",
         "based_on",
         "author",
         "declare",
         "set_target",
         "remove_class"}));
    messages::change change;
    BOOST_LEAF_AUTO(id, in.text("change_id", true));
    BOOST_LEAF_AUTO(based_on, in.count<std::uint64_t>("based_on", false));
    BOOST_LEAF_AUTO(author, in.text("author", false));
    change.set_change_id(id);
    change.set_based_on(based_on);
    change.set_author(author);
    BOOST_LEAF_CHECK(read_action(in, change));
    return change;
}

json::value to_json(const messages::work_class& from)
{
    return json::object{
        {"name", from.name()},
        {"service", from.service()},
        {"method", from.method()},
        {"path_prefix", from.path_prefix()},
        {"rank", from.rank()},
        {"repeatable", from.repeatable()},
        {"bulk", from.bulk()},
        {"target", to_json(from.target())}};
}

json::value to_json(const messages::configuration& from)
{
    json::array classes;
    for (const auto& item : from.classes())
    {
        auto class_json = to_json(item);
        // The revision that a change of this class gives in `based_on`.
        class_json.get_object()["revision"] = item.revision();
        classes.push_back(std::move(class_json));
    }
    return json::object{
        {"revision", from.revision()}, {"classes", std::move(classes)}};
}

json::value to_json(const messages::change& from)
{
    json::object object{
        {"change_id", from.change_id()},
        {"based_on", from.based_on()},
        {"author", from.author()}};
    if (from.has_declare())
    {
        object["declare"] = to_json(from.declare());
    }
    else if (from.has_set_target())
    {
        object["set_target"] = json::object{
            {"class_name", from.set_target().class_name()},
            {"target", to_json(from.set_target().target())}};
    }
    else
    {
        object["remove_class"] = from.remove_class();
    }
    return object;
}

json::value to_json(const messages::change_result& from)
{
    json::object object{
        {"verdict", to_string(from.verdict())}, {"revision", from.revision()}};
    if (from.problem() != messages::change_problem_none)
    {
        object["problem"] = to_string(from.problem());
        object["field"] = from.field();
    }
    return object;
}

std::string_view to_string(messages::change_verdict verdict)
{
    switch (verdict)
    {
    case messages::change_accepted:
        return "accepted";
    case messages::change_conflict:
        return "conflict";
    case messages::change_invalid:
        return "invalid";
    case messages::change_id_reused:
        return "change-id-reused";
    default:
        return "unavailable";
    }
}

std::string_view to_string(messages::change_problem problem)
{
    switch (problem)
    {
    case messages::change_problem_none:
        return "none";
    case messages::problem_empty_name:
        return "empty-name";
    case messages::problem_bad_name:
        return "bad-name";
    case messages::problem_empty_service:
        return "empty-service";
    case messages::problem_bad_path:
        return "bad-path";
    case messages::problem_rank_too_high:
        return "rank-too-high";
    case messages::problem_latency_out_of_range:
        return "latency-out-of-range";
    case messages::problem_completion_out_of_range:
        return "completion-out-of-range";
    case messages::problem_unknown_class:
        return "unknown-class";
    case messages::problem_missing_action:
        return "missing-action";
    case messages::problem_too_many_classes:
        return "too-many-classes";
    case messages::problem_missing_change_id:
        return "missing-change-id";
    case messages::problem_overlapping_match:
        return "overlapping-match";
    default:
        return "unknown-problem";
    }
}

} // namespace nutmegusher::node
