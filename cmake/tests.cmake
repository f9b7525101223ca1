# Tests of the daemon: one test executable per package, and scenarios that run whole processes.
function(yewmount_test package)
  cmake_parse_arguments(P "" "" "SOURCES;USES;PROPERTIES" ${ARGN})
  add_executable(${package}_tests ${P_SOURCES})
  target_include_directories(${package}_tests PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${package}_tests PRIVATE ${P_USES} GTest::gtest_main)
  gtest_discover_tests(${package}_tests NO_PRETTY_VALUES DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 1500 ${P_PROPERTIES})
endfunction()

yewmount_test(wire SOURCES tests/wire/wire_test.cpp USES yewmount_wire)
yewmount_test(node_transport SOURCES tests/node_transport/node_transport_test.cpp USES yewmount_node_transport)
yewmount_test(catalogue SOURCES tests/catalogue/store_test.cpp USES yewmount_catalogue)
yewmount_test(settings SOURCES tests/settings/head_settings_test.cpp USES yewmount_settings)

# Runs each scenario with its own processes and checks the result. PROCESSORS 2 limits how many run at once, so
# that timing stays reliable.
file(GLOB days CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/days/*.json)
foreach(day ${days})
  get_filename_component(name ${day} NAME_WE)
  add_test(NAME day_${name} COMMAND ${CMAKE_SOURCE_DIR}/tools/days ${CMAKE_BINARY_DIR}/bin
           ${CMAKE_BINARY_DIR}/days ${day})
  set_tests_properties(day_${name} PROPERTIES PROCESSORS 2 TIMEOUT 120)
endforeach()

yewmount_test(judge SOURCES tests/judge/judge_test.cpp USES yewmount_judge)
yewmount_test(head SOURCES tests/head/head_test.cpp USES yewmount_head)

# A head with a planted fault: it reports requests that may have run as never run. The checks must detect it.
# Never installed.
add_executable(yewmountd-planted EXCLUDE_FROM_ALL src/head/main.cpp src/head/daemon.cpp src/head/scrubbing.cpp
               src/relay/relay.cpp src/relay/deployment.cpp src/relay/report.cpp src/relay/memory_watch.cpp)
target_compile_definitions(yewmountd-planted PRIVATE YEWMOUNT_PLANTED_FAULT)
target_link_libraries(yewmountd-planted PRIVATE yewmount_node_transport yewmount_node_list yewmount_catalogue
                      yewmount_http_server yewmount_settings yewmount_plans yewmount_checksums
                      yewmount_background yewmount_client_sessions yewmount_node_connections
                      yewmount_discovery CLI11::CLI11)
set_target_properties(yewmountd-planted PROPERTIES EXCLUDE_FROM_ALL OFF)
add_test(NAME planted_fault_is_caught COMMAND ${CMAKE_SOURCE_DIR}/tests/judge/planted.sh ${CMAKE_BINARY_DIR}
         ${CMAKE_SOURCE_DIR}/days/quick-errors.json)
set_tests_properties(planted_fault_is_caught PROPERTIES PROCESSORS 2 TIMEOUT 120)
add_test(NAME command_line COMMAND ${CMAKE_SOURCE_DIR}/tests/settings/command_line.sh ${CMAKE_BINARY_DIR}/bin)
yewmount_test(node_list SOURCES tests/node_list/list_client_test.cpp USES yewmount_node_list)
yewmount_test(solver SOURCES tests/solver/small_test.cpp tests/solver/large_test.cpp USES yewmount_planning yewmount_judge)
yewmount_test(background SOURCES tests/background/background_test.cpp USES yewmount_background)
yewmount_test(checksums SOURCES tests/checksums/checksums_test.cpp USES yewmount_checksums)
yewmount_test(plans SOURCES tests/plans/plan_test.cpp tests/plans/random_test.cpp USES yewmount_planning yewmount_judge)
add_test(NAME plan_command_line COMMAND ${CMAKE_SOURCE_DIR}/tests/plans/command_line.sh ${CMAKE_BINARY_DIR}/bin)

# LD_PRELOAD library for heads: makes system calls fail temporarily and steps the wall clock.
add_library(syscall_faults SHARED tests/support/syscall_faults.cpp)
target_link_libraries(syscall_faults PRIVATE ${CMAKE_DL_LIBS})

yewmount_test(resp SOURCES tests/resp/resp_test.cpp USES yewmount_resp)
yewmount_test(memory SOURCES tests/memory/budget_test.cpp USES yewmount_memory)
yewmount_test(event_loop SOURCES tests/event_loop/event_loop_test.cpp USES yewmount_relay)
yewmount_test(client_sessions SOURCES tests/client_sessions/client_sessions_test.cpp
              USES yewmount_client_sessions yewmount_rules)
target_compile_definitions(client_sessions_tests PRIVATE YEWMOUNTD="$<TARGET_FILE:yewmountd>")
yewmount_test(relay SOURCES tests/relay/relay_test.cpp tests/relay/node_connections_test.cpp
              tests/relay/connection_reuse_test.cpp tests/relay/memory_test.cpp tests/relay/crowd_test.cpp
              tests/relay/flood_test.cpp
              USES yewmount_node_connections nlohmann_json::nlohmann_json PROPERTIES PROCESSORS 2 TIMEOUT 60)
target_compile_definitions(relay_tests PRIVATE YEWMOUNTD="$<TARGET_FILE:yewmountd>"
                           YEWMOUNTD_PLANTED="$<TARGET_FILE:yewmountd-planted>"
                           SYSCALL_FAULTS="$<TARGET_FILE:syscall_faults>")
add_dependencies(relay_tests yewmountd yewmountd-planted syscall_faults)

# Tests of the scripts in tools/.
add_test(NAME variant_tool COMMAND ${CMAKE_SOURCE_DIR}/tests/variant/variant_test.sh)
add_test(NAME known_red_tool COMMAND ${CMAKE_SOURCE_DIR}/tests/known_red/known_red_test.sh)

# Random faults against real processes. The seeds here are fixed; tools/soak runs other seeds.
add_executable(yewmount-soak tests/soak/main.cpp tests/soak/plan.cpp tests/soak/node.cpp tests/soak/discovery.cpp
               tests/soak/clients.cpp tests/soak/proxy.cpp tests/soak/oracle.cpp)
target_include_directories(yewmount-soak PRIVATE ${CMAKE_SOURCE_DIR})
target_link_libraries(yewmount-soak PRIVATE nlohmann_json::nlohmann_json CLI11::CLI11 Threads::Threads)
set_target_properties(yewmount-soak PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
foreach(seed 1 2 3)
  add_test(NAME soak_${seed} COMMAND yewmount-soak run --seed ${seed} --program $<TARGET_FILE:yewmountd>)
  set_tests_properties(soak_${seed} PROPERTIES PROCESSORS 4 TIMEOUT 120)
endforeach()
# 9: a crowd before a head of 32 MB; 17: one with kills in series. Both have short deadlines.
foreach(seed 9 17)
  add_test(NAME soak_crowd_${seed} COMMAND yewmount-soak run --seed ${seed} --program $<TARGET_FILE:yewmountd>)
  set_tests_properties(soak_crowd_${seed} PROPERTIES PROCESSORS 4 TIMEOUT 120)
endforeach()
foreach(seed 6 11)
  add_test(NAME soak_faulty_calls_${seed} COMMAND yewmount-soak run --seed ${seed} --program $<TARGET_FILE:yewmountd>
           --faults $<TARGET_FILE:syscall_faults>)
  set_tests_properties(soak_faulty_calls_${seed} PROPERTIES PROCESSORS 4 TIMEOUT 120)
endforeach()
add_test(NAME soak_finds_a_planted_fault COMMAND ${CMAKE_SOURCE_DIR}/tests/soak/planted.sh
         $<TARGET_FILE:yewmount-soak> $<TARGET_FILE:yewmountd-planted>)
set_tests_properties(soak_finds_a_planted_fault PROPERTIES PROCESSORS 4 TIMEOUT 120)
