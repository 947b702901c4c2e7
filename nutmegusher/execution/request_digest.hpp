// A digest of a request's content.
#ifndef NUTMEGUSHER_EXECUTION_REQUEST_DIGEST_HPP
#define NUTMEGUSHER_EXECUTION_REQUEST_DIGEST_HPP

#include <cstdint>
#include <memory>
#include <string_view>

// The hash library's own state; its header stays in the source file.
struct XXH64_state_s; // NOLINT(readability-identifier-naming)

namespace nutmegusher
{

// Tells whether a repeated idempotency key came with the same request. The body
// is fed in as it streams by; how it is cut into pieces doesn't matter.
//
//     request_digest digest("POST", "/disbursement/pay");
//     digest.update(chunk);
//     const auto value = digest.value();
//
// Not cryptographic: a customer who looks for two bodies with one digest only
// gets the first one's answer for the second, under a key of its own.
class request_digest
{
public:
    request_digest(std::string_view method, std::string_view path);

    void update(std::string_view chunk);

    // Of all that was fed in so far; the same on every host and build. Never 0,
    // which stands for any request in a fence.
    [[nodiscard]] std::uint64_t value() const;

private:
    struct state_deleter
    {
        void operator()(XXH64_state_s* state) const;
    };

    std::unique_ptr<XXH64_state_s, state_deleter> state_;
};

} // namespace nutmegusher

#endif
