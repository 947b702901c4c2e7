// Result types. Every failure has a type of its own; none is a plain string.
//
// Synchronous code (settings, storage, checks) returns `leaf::result<T>` and
// fails with an error struct of its package. Coroutines return
// `outcome<T, Failure>`: LEAF keeps its error objects in thread-local contexts,
// which don't follow a coroutine across its suspension points.
#ifndef NUTMEGUSHER_BASE_ERROR_HPP
#define NUTMEGUSHER_BASE_ERROR_HPP

#include <boost/leaf.hpp>
#include <boost/system/result.hpp>

namespace nutmegusher
{

namespace leaf = boost::leaf;

// Holds either a value or a failure.
template <class T, class Failure>
using outcome = boost::system::result<T, Failure>;

} // namespace nutmegusher

#endif
