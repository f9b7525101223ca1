# The daemon, its tools and its simulated peers: one static library per package, then the executables.
find_package(CLI11 REQUIRED)
find_package(spdlog REQUIRED)
find_package(valijson QUIET)
find_package(Threads REQUIRED)
add_compile_definitions(ASIO_STANDALONE MSGPACK_NO_BOOST)

set(schemas ${CMAKE_BINARY_DIR}/schemas.cpp)
file(GLOB schema_files CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/schema/*.json)
add_custom_command(OUTPUT ${schemas}
  COMMAND ${CMAKE_COMMAND} -DIN=${CMAKE_SOURCE_DIR}/schema -DOUT=${schemas} -P ${CMAKE_SOURCE_DIR}/cmake/embed.cmake
  DEPENDS ${schema_files} ${CMAKE_SOURCE_DIR}/cmake/embed.cmake)

function(yewmount_package name)
  cmake_parse_arguments(P "" "" "SOURCES;USES" ${ARGN})
  add_library(yewmount_${name} STATIC ${P_SOURCES})
  target_include_directories(yewmount_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR})
  target_link_libraries(yewmount_${name} PUBLIC ${P_USES})
endfunction()

yewmount_package(base SOURCES src/base/base.cpp USES spdlog::spdlog nlohmann_json::nlohmann_json)
yewmount_package(wire SOURCES src/wire/wire.cpp)
yewmount_package(background SOURCES src/background/background.cpp)
yewmount_package(checksums SOURCES src/checksums/checksums.cpp USES yewmount_wire)
yewmount_package(memory SOURCES src/memory/budget.cpp src/memory/byte_buffer.cpp)
yewmount_package(net SOURCES src/net/stream.cpp src/net/link.cpp src/net/listener.cpp
                 USES yewmount_wire yewmount_base yewmount_memory Threads::Threads)
yewmount_package(settings SOURCES src/settings/json_schema.cpp src/settings/head_settings.cpp ${schemas}
                 USES yewmount_base yewmount_rules)
yewmount_package(solver SOURCES src/solver/model.cpp src/solver/exact.cpp src/solver/solve.cpp src/solver/infeasibility.cpp
                 USES glpk)
yewmount_package(plans SOURCES src/plans/plan.cpp USES yewmount_settings)
yewmount_package(planning SOURCES src/plans/problem.cpp src/plans/report.cpp USES yewmount_plans yewmount_solver)
yewmount_package(node_transport SOURCES src/node_transport/node_transport.cpp
                 USES yewmount_net yewmount_base yewmount_rules)
yewmount_package(node_list SOURCES src/node_list/list_client.cpp USES yewmount_net yewmount_settings yewmount_rules)
yewmount_package(catalogue SOURCES src/catalogue/store.cpp src/catalogue/server.cpp src/catalogue/client.cpp
                 USES yewmount_net yewmount_base lmdb)
yewmount_package(http_server SOURCES src/http_server/http_server.cpp USES yewmount_net yewmount_base http_parser)
yewmount_package(head SOURCES src/head/daemon.cpp src/head/scrubbing.cpp
                 USES yewmount_node_transport yewmount_node_list yewmount_catalogue yewmount_http_server
                 yewmount_settings yewmount_plans yewmount_checksums yewmount_background)

# Relay mode: serves the platform's RESP protocol with its own client, node and discovery connections.
yewmount_package(resp SOURCES src/resp/resp.cpp)
yewmount_package(client_sessions SOURCES src/client_sessions/client_sessions.cpp src/client_sessions/session.cpp
                 src/client_sessions/input_queue.cpp
                 USES yewmount_net yewmount_resp yewmount_base)
yewmount_package(node_connections SOURCES src/node_connections/node_connections.cpp
                 USES yewmount_net yewmount_resp yewmount_base yewmount_provision)
yewmount_package(discovery SOURCES src/discovery/discovery_client.cpp
                 USES yewmount_net yewmount_base yewmount_provision http_parser)
yewmount_package(relay SOURCES src/relay/relay.cpp src/relay/deployment.cpp src/relay/report.cpp src/relay/memory_watch.cpp
                 USES yewmount_client_sessions yewmount_node_connections yewmount_discovery yewmount_settings)

function(yewmount_program name)
  cmake_parse_arguments(P "" "" "SOURCES;USES" ${ARGN})
  add_executable(${name} ${P_SOURCES})
  target_link_libraries(${name} PRIVATE ${P_USES} CLI11::CLI11)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

yewmount_program(yewmountd SOURCES src/head/main.cpp USES yewmount_head yewmount_relay)
yewmount_program(yewmount-catalogue SOURCES src/catalogue/main.cpp USES yewmount_catalogue)

# Simulated nodes, discovery and clients for tests and demos; not part of the daemon.
yewmount_program(yewmount-node SOURCES standins/node_main.cpp standins/node.cpp
                 USES yewmount_net yewmount_settings yewmount_checksums)
yewmount_program(yewmount-list SOURCES standins/list_main.cpp USES yewmount_net yewmount_base)
yewmount_program(yewmount-client SOURCES standins/client_main.cpp
                 USES yewmount_net yewmount_settings http_parser)

add_library(yewmount_judge STATIC judge/judge.cpp judge/plan.cpp)  # shares no code with the daemon, to be independent
target_include_directories(yewmount_judge PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(yewmount_judge PUBLIC nlohmann_json::nlohmann_json)

yewmount_package(days SOURCES src/days/processes.cpp src/days/runner.cpp USES yewmount_net yewmount_settings)
yewmount_program(yewmount SOURCES src/cli/main.cpp src/cli/plan.cpp
                 USES yewmount_days yewmount_judge yewmount_settings yewmount_planning)

# Benchmarks, excluded from the default build: cmake --build BUILD --target rules_bench head_bench
find_package(benchmark QUIET)
if(benchmark_FOUND)
  add_executable(rules_bench EXCLUDE_FROM_ALL bench/rules_bench.cpp)
  target_link_libraries(rules_bench PRIVATE yewmount_rules benchmark::benchmark)
  add_executable(checksums_bench EXCLUDE_FROM_ALL bench/checksums_bench.cpp)
  target_link_libraries(checksums_bench PRIVATE yewmount_checksums benchmark::benchmark)
endif()
add_executable(head_bench EXCLUDE_FROM_ALL bench/head_bench.cpp)
target_link_libraries(head_bench PRIVATE yewmount_days yewmount_net CLI11::CLI11)
add_library(count_allocations SHARED EXCLUDE_FROM_ALL bench/count_allocations.cpp)
add_executable(plan_bench EXCLUDE_FROM_ALL bench/plan_bench.cpp)
target_link_libraries(plan_bench PRIVATE yewmount_planning)
