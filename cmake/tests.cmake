# Tests of the program: a binary a package, and the days played with processes.
function(yewmount_test package)
  cmake_parse_arguments(P "" "" "SOURCES;USES" ${ARGN})
  add_executable(${package}_tests ${P_SOURCES})
  target_include_directories(${package}_tests PRIVATE ${CMAKE_SOURCE_DIR} ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${package}_tests PRIVATE ${P_USES} GTest::gtest_main)
  gtest_discover_tests(${package}_tests DISCOVERY_TIMEOUT 60)
endfunction()

yewmount_test(wire SOURCES tests/wire/wire_test.cpp USES yewmount_wire)
yewmount_test(carrier SOURCES tests/carrier/carrier_test.cpp USES yewmount_carrier)
yewmount_test(catalogue SOURCES tests/catalogue/store_test.cpp USES yewmount_catalogue)
yewmount_test(settings SOURCES tests/settings/head_test.cpp USES yewmount_settings)

# Each day is played by processes of its own and judged; two at a time leave the machine some air.
file(GLOB days CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/days/*.json)
foreach(day ${days})
  get_filename_component(name ${day} NAME_WE)
  add_test(NAME day_${name} COMMAND ${CMAKE_SOURCE_DIR}/tools/days ${CMAKE_BINARY_DIR}/bin
           ${CMAKE_BINARY_DIR}/days ${day})
  set_tests_properties(day_${name} PROPERTIES PROCESSORS 2 TIMEOUT 120)
endforeach()
