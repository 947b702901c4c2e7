// Support for end-to-end tests: stand-in upstreams, a process driver and
// clients. Not installed.
//
//     auto block = address_block::reserve();
//     auto upstream = stand_in_upstream::start(
//         {.service = "balances", .address = block->address(1, 9000)});
//     auto answer = send_request((*upstream)->address(), {.target = "/"});
#ifndef NUTMEGUSHER_TESTING_TESTING_HPP
#define NUTMEGUSHER_TESTING_TESTING_HPP

#include "testing/address_block.hpp"
#include "testing/association.hpp"
#include "testing/deployment.hpp"
#include "testing/execution_log.hpp"
#include "testing/http_client.hpp"
#include "testing/load_client.hpp"
#include "testing/operator_client.hpp"
#include "testing/oracle.hpp"
#include "testing/patterned_body.hpp"
#include "testing/process.hpp"
#include "testing/relay.hpp"
#include "testing/running_load.hpp"
#include "testing/stand_in_upstream.hpp"
#include "testing/upstream_behavior.hpp"

#endif
