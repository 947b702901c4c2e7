// The operators' command line as a library.
//
//     ctl::environment env{...};
//     return static_cast<int>(ctl::run(arguments, env));
//
// `run` takes everything that reaches outside (connections, waiting, output)
// from its environment, so that tests bring their own.
#ifndef NUTMEGUSHER_CTL_CTL_HPP
#define NUTMEGUSHER_CTL_CTL_HPP

#include "nutmegusher/ctl/http_exchange.hpp"
#include "nutmegusher/ctl/run.hpp"

#endif
