// Which upstream service a request goes to: host name and path select a route,
// the route's weights select one of its services.
//
//     const auto table = route_table::create(document);
//     if (const request_route* route = table->find("hulo.example", "/a/b?c"))
//     {
//         const destination& to = route->choose(engine);
//     }
//
// No network, threads or clock reads.
#ifndef NUTMEGUSHER_ROUTES_ROUTES_HPP
#define NUTMEGUSHER_ROUTES_ROUTES_HPP

#include "nutmegusher/routes/route_table.hpp"

#endif
