// Basic types that all packages share: time, ids, errors, log events, classes
// of HTTP status codes and random numbers.
//
// Include only this header; it includes the others in this folder.
//
//     using namespace nutmegusher;
//     manual_clock clock;
//     clock.advance(std::chrono::milliseconds(5));
//     service_name service("disbursement");
#ifndef NUTMEGUSHER_BASE_BASE_HPP
#define NUTMEGUSHER_BASE_BASE_HPP

#include "nutmegusher/base/clock.hpp"
#include "nutmegusher/base/error.hpp"
#include "nutmegusher/base/events.hpp"
#include "nutmegusher/base/http_status.hpp"
#include "nutmegusher/base/identifier.hpp"
#include "nutmegusher/base/random.hpp"
#include "nutmegusher/base/uptime_clock.hpp"

#endif
