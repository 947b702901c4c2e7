// The operators' command line tool as a library.
//
//     ctl::environment env{...};
//     return static_cast<int>(ctl::run(arguments, env));
//
// `run` does all I/O (connections, sleeping, output) through its environment,
// so that tests can replace it.
#ifndef NUTMEGUSHER_CTL_CTL_HPP
#define NUTMEGUSHER_CTL_CTL_HPP

#include "nutmegusher/ctl/http_exchange.hpp"
#include "nutmegusher/ctl/run.hpp"

#endif
