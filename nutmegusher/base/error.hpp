// Errors. Every failure has a type; none is a bare string.
//
// Code that runs to its end in one step (settings, storage, checks) returns
// `leaf::result<T>` and fails with one of the small structs of its package.
// Code that suspends in a coroutine returns `outcome<T, Failure>`: LEAF keeps
// its error objects in thread-local contexts, which don't follow a coroutine.
#ifndef NUTMEGUSHER_BASE_ERROR_HPP
#define NUTMEGUSHER_BASE_ERROR_HPP

#include <boost/leaf.hpp>
#include <boost/system/result.hpp>

namespace nutmegusher
{

namespace leaf = boost::leaf;

// A value, or a typed failure carried beside it.
template <class T, class Failure>
using outcome = boost::system::result<T, Failure>;

} // namespace nutmegusher

#endif
