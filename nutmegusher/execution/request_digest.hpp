// A digest of a request's method, path and body.
#ifndef NUTMEGUSHER_EXECUTION_REQUEST_DIGEST_HPP
#define NUTMEGUSHER_EXECUTION_REQUEST_DIGEST_HPP

#include <cstdint>
#include <memory>
#include <string_view>

// State of the hash library; declared here to keep its header out of this one.
struct XXH64_state_s; // NOLINT(readability-identifier-naming)

namespace nutmegusher
{

// Computes a digest that shows whether a repeated idempotency key came with the
// same request. The body is added in chunks as it is streamed; the chunk
// boundaries don't affect the digest.
//
//     request_digest digest("POST", "/disbursement/pay");
//     digest.update(chunk);
//     const auto value = digest.value();
//
// Not cryptographic: a customer who constructs two bodies with the same digest
// only gets the answer to the first one for the second, under its own key.
class request_digest
{
public:
    request_digest(std::string_view method, std::string_view path);

    // Adds a chunk of the body.
    void update(std::string_view chunk);

    // Returns the digest of everything added so far; it is the same on every
    // host and build. Never 0, which stands for any request in a fence.
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
