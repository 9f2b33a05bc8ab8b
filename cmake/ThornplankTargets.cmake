# Functions with which every folder declares its targets.
#
#   thornplank_add_library(<name> SOURCES a.cc b.cc [DEPENDS lib ...])
#   thornplank_add_program(<name> SOURCES main.cc [DEPENDS lib ...])
#   thornplank_add_test(<name> SOURCES tst_x.cc [DEPENDS lib ...] [TIMEOUT seconds])
#
# The target of a library is thornplank_<name>. DEPENDS takes the <name> of a
# library of this project, or any other CMake target or library. TIMEOUT is in
# seconds and defaults to 60.

function(thornplank_link target)
  foreach(dependency IN LISTS ARGN)
    if(TARGET thornplank_${dependency} OR EXISTS "${PROJECT_SOURCE_DIR}/src/libs/${dependency}")
      target_link_libraries(${target} PUBLIC thornplank_${dependency})
    else()
      target_link_libraries(${target} PUBLIC ${dependency})
    endif()
  endforeach()
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror)
endfunction()

function(thornplank_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(thornplank_${name} STATIC ${ARG_SOURCES})
  target_include_directories(thornplank_${name} PUBLIC "${PROJECT_SOURCE_DIR}/src/libs")
  thornplank_link(thornplank_${name} ${ARG_DEPENDS})
endfunction()

function(thornplank_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
  thornplank_link(${name} ${ARG_DEPENDS})
endfunction()

function(thornplank_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  thornplank_link(${name} ${ARG_DEPENDS} thornplank_test_main)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
