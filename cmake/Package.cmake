# Headers that most sources of a kind include; precompiled once per target.
set(PRECOMPILED_PLAIN <algorithm> <chrono> <functional> <map> <memory> <optional>
  <set> <string> <unordered_map> <variant> <vector> <nlohmann/json.hpp>)
set(PRECOMPILED_NETWORK <boost/asio/awaitable.hpp> <boost/asio/co_spawn.hpp>
  <boost/asio/detached.hpp> <boost/asio/io_context.hpp> <boost/asio/ip/tcp.hpp>
  <boost/asio/steady_timer.hpp> <boost/asio/use_awaitable.hpp>
  <boost/beast/core.hpp> <boost/beast/http.hpp>)
set(PRECOMPILED_TEST <doctest/doctest.h> <rapidcheck.h>)

# Precompiles the headers of the given kinds (PLAIN, NETWORK, TEST).
function(carawaypond_precompile NAME)
  if(NOT CARAWAYPOND_PRECOMPILE)
    return()
  endif()
  foreach(KIND ${ARGN})
    target_precompile_headers(${NAME} PRIVATE ${PRECOMPILED_${KIND}})
  endforeach()
endfunction()

# Defines the library target NAME from src/ and the test target NAME_test from
# test/, both globbed, so that new files need not be listed.
#   carawaypond_package(NAME [DEPENDS target...] [PRECOMPILE kind...])
function(carawaypond_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRECOMPILE" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER SOURCES EXCLUDE REGEX "/main\\.cpp$")
  if(SOURCES)
    add_library(${NAME} STATIC ${SOURCES})
    set(SCOPE PUBLIC)
  else()
    add_library(${NAME} INTERFACE)
    set(SCOPE INTERFACE)
  endif()
  target_include_directories(${NAME} ${SCOPE} ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${NAME} ${SCOPE} ${ARG_DEPENDS})
  if(SOURCES)
    carawaypond_precompile(${NAME} ${ARG_PRECOMPILE})
  endif()

  file(GLOB_RECURSE TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
  if(CARAWAYPOND_TESTS AND TESTS)
    add_executable(${NAME}_test ${TESTS})
    target_link_libraries(${NAME}_test PRIVATE ${NAME} rapidcheck)
    carawaypond_precompile(${NAME}_test ${ARG_PRECOMPILE} TEST)
    # main.cpp defines a doctest configuration macro before it includes doctest.h.
    set_source_files_properties(test/main.cpp PROPERTIES SKIP_PRECOMPILE_HEADERS ON)
    add_test(NAME ${NAME} COMMAND ${NAME}_test)
  endif()
endfunction()
