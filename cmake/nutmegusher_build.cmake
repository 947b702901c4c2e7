# What every package of the workspace shares: language level, warnings,
# libraries, and three functions that declare a library, a test and a program.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release CACHE STRING "" FORCE)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

set(NUTMEGUSHER_SANITIZE "" CACHE STRING
    "Sanitizers for all targets, for example 'address,undefined' or 'thread'")
if(NUTMEGUSHER_SANITIZE)
    add_compile_options(-fsanitize=${NUTMEGUSHER_SANITIZE} -g1
                        -fno-omit-frame-pointer -fno-sanitize-recover=all)
    add_link_options(-fsanitize=${NUTMEGUSHER_SANITIZE})
    if(NUTMEGUSHER_SANITIZE MATCHES "thread")
        add_compile_options(-Wno-tsan)
    endif()
endif()

# Needs clang; tools/fuzz.sh sets it. 'function' clashes with coroutines in
# clang 14.
option(NUTMEGUSHER_FUZZ "Instrument everything for libFuzzer" OFF)
if(NUTMEGUSHER_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
                        -fno-sanitize=function -fno-sanitize-recover=all -g)
    add_link_options(-fsanitize=address,undefined)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

add_compile_options(-Wall -Wextra -Wpedantic)
add_compile_definitions(
    BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_HANDLER_TYPE_REQUIREMENTS)

find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
# For machines that only run the programs: no tests, no benchmarks, and none of
# their libraries.
option(NUTMEGUSHER_PROGRAMS_ONLY "Build the programs and nothing else" OFF)
if(NOT NUTMEGUSHER_PROGRAMS_ONLY)
    find_package(GTest REQUIRED)
    find_package(benchmark REQUIRED)
endif()
find_package(Boost 1.81 REQUIRED COMPONENTS json)

# nutmegusher_library(NAME SOURCES a.cpp ... DEPENDS x y ...)
# A package: target nutmegusher_NAME, included as "nutmegusher/NAME/NAME.hpp".
function(nutmegusher_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target nutmegusher_${name})
    if(ARG_SOURCES)
        add_library(${target} STATIC ${ARG_SOURCES})
        set(scope PUBLIC)
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(
        ${target} ${scope} $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}>)
    target_link_libraries(${target} ${scope} ${ARG_DEPENDS} Threads::Threads)
endfunction()

# nutmegusher_test(NAME SOURCES a_test.cpp ... DEPENDS nutmegusher_x ...)
# A GoogleTest program, registered with CTest as one test.
function(nutmegusher_test name)
    if(NUTMEGUSHER_PROGRAMS_ONLY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(
        ${name} PRIVATE ${ARG_DEPENDS} GTest::gmock GTest::gtest_main
        rapidcheck Threads::Threads)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(
        ${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
        ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=200")
endfunction()

# nutmegusher_program(NAME SOURCES main.cpp ... DEPENDS nutmegusher_x ...)
function(nutmegusher_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Threads::Threads)
endfunction()
