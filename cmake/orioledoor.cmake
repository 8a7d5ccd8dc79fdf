# Declares the library orioledoor_NAME of a package and its alias
# orioledoor::NAME. Without sources it is an interface library.
#   orioledoor_library(NAME name SRCS a.cc ... DEPS target ...)
function(orioledoor_library)
  cmake_parse_arguments(ARG "" "NAME" "SRCS;DEPS" ${ARGN})
  if(ARG_SRCS)
    add_library(orioledoor_${ARG_NAME} STATIC ${ARG_SRCS})
    target_include_directories(orioledoor_${ARG_NAME} PUBLIC ${PROJECT_SOURCE_DIR})
    target_link_libraries(orioledoor_${ARG_NAME} PUBLIC ${ARG_DEPS})
  else()
    add_library(orioledoor_${ARG_NAME} INTERFACE)
    target_include_directories(orioledoor_${ARG_NAME} INTERFACE ${PROJECT_SOURCE_DIR})
    target_link_libraries(orioledoor_${ARG_NAME} INTERFACE ${ARG_DEPS})
  endif()
  add_library(orioledoor::${ARG_NAME} ALIAS orioledoor_${ARG_NAME})
endfunction()

# Declares a CppUnit test program and a CTest test of the same name, which run in
# the root of the source tree. The sources register their suites in CppUnit's
# default registry. TIMEOUT is in seconds, 300 by default. Does nothing if
# ORIOLEDOOR_TESTS is off.
#   orioledoor_test(NAME name SRCS a_test.cc ... DEPS target ... [TIMEOUT s])
function(orioledoor_test)
  if(NOT ORIOLEDOOR_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "NAME;TIMEOUT" "SRCS;DEPS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${ARG_NAME} ${ARG_SRCS} ${PROJECT_SOURCE_DIR}/orioledoor/base/testing/cppunit_main.cc)
  target_include_directories(${ARG_NAME} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${ARG_NAME} PRIVATE PkgConfig::CPPUNIT ${ARG_DEPS})
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME} WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
