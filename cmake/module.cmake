# Declares a static library for a module, with its public headers in include/.
#   damaskgate_add_module(NAME SOURCES a.cpp ... [DEPENDS lib ...])
function(damaskgate_add_module name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target damaskgate_${name})
    add_library(${target} STATIC ${arg_SOURCES})
    target_include_directories(${target}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${target} PUBLIC ${arg_DEPENDS})
endfunction()

# Declares the test program of a module; each test case becomes a ctest entry.
#   damaskgate_add_tests(NAME SOURCES a_test.cpp ... [DEPENDS lib ...])
function(damaskgate_add_tests name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
    set(target damaskgate_${name}_tests)
    add_executable(${target} ${arg_SOURCES})
    target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/..)
    target_link_libraries(${target} PRIVATE damaskgate_${name} ${arg_DEPENDS}
        GTest::gtest GTest::gmock GTest::gtest_main)
    gtest_discover_tests(${target} TEST_PREFIX ${name}. DISCOVERY_TIMEOUT 60)
endfunction()

# Adds the folder of a module's tests or benchmarks unless DAMASKGATE_PROGRAMS_ONLY is set.
function(damaskgate_add_checks folder)
    if(NOT DAMASKGATE_PROGRAMS_ONLY)
        add_subdirectory(${folder})
    endif()
endfunction()
