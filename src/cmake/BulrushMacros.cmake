# Common compile options, and functions that declare the libraries, programs and unit tests of the project.

add_library(bulrush_options INTERFACE)
target_include_directories(bulrush_options INTERFACE ${CMAKE_SOURCE_DIR}/src/include)
target_compile_options(bulrush_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-missing-field-initializers)
# GCC 12 reports false positives from inlined coroutine frames and std::string.
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    target_compile_options(bulrush_options INTERFACE -Wno-restrict -Wno-maybe-uninitialized -Wno-array-bounds -Wno-stringop-overread -Wno-stringop-overflow -Wno-mismatched-new-delete)
endif()
target_compile_definitions(bulrush_options INTERFACE XXH_INLINE_ALL BOOST_ASIO_NO_DEPRECATED)
if(BULRUSH_SANITIZE)
    target_compile_options(bulrush_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
    target_link_options(bulrush_options INTERFACE -fsanitize=address,undefined)
endif()
if(BULRUSH_FUZZ)
    target_compile_options(bulrush_options INTERFACE -fsanitize=fuzzer-no-link,address -fno-omit-frame-pointer)
    target_link_options(bulrush_options INTERFACE -fsanitize=address)
endif()

# bulrush_library(NAME SOURCES ... LINKS ...): adds a static library.
function(bulrush_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC bulrush_options Boost::headers ${ARG_LINKS})
endfunction()

# bulrush_program(NAME SOURCES ... LINKS ...): adds an executable that is built in the folder bin.
function(bulrush_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE bulrush_options Boost::headers ${ARG_LINKS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# bulrush_test(NAME SOURCES ... LINKS ...): adds a Boost.Test executable and registers it with CTest.
function(bulrush_test name)
    if(NOT BULRUSH_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_sources(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src/cmake/test_main.cpp)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name} PRIVATE bulrush_options Boost::unit_test_framework ${ARG_LINKS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
