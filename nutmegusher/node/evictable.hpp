// Work of a caller that can be ended to make room for others.
#ifndef NUTMEGUSHER_NODE_EVICTABLE_HPP
#define NUTMEGUSHER_NODE_EVICTABLE_HPP

#include <functional>

namespace nutmegusher::node
{

class evictable
{
public:
    virtual ~evictable() = default;

    // Returns a function that ends what the caller still sends, or the answer
    // that it reads; at other times it does nothing. It may be called on any
    // thread, and after this object has been destroyed.
    [[nodiscard]] virtual std::function<void()> make_ender() = 0;
};

} // namespace nutmegusher::node

#endif
