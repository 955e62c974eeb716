# Helpers to declare one vertical slice and its tests.

# mt_slice(NAME SOURCES... DEPENDS ...): a static library meadowthread_NAME.
function(mt_slice name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(meadowthread_${name} STATIC ${ARG_SOURCES})
  target_include_directories(meadowthread_${name}
                             PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(meadowthread_${name} PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(meadowthread_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# mt_tests(NAME SOURCES... DEPENDS ...): a Criterion program NAME_tests, run by
# ctest and by scripts/test.
function(mt_tests name)
  if(NOT MEADOWTHREAD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES})
  target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(${name}_tests PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(${name}_tests PRIVATE ${ARG_DEPENDS} criterion)
  add_test(NAME ${name} COMMAND ${name}_tests)
endfunction()

# mt_fuzzer(NAME DEPENDS ...): a libFuzzer program fuzz_NAME of NAME_fuzzer.cc,
# run by scripts/fuzz over the seeds in corpus/NAME beside it.
function(mt_fuzzer name)
  if(NOT MEADOWTHREAD_FUZZ)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_executable(fuzz_${name} ${name}_fuzzer.cc)
  target_include_directories(fuzz_${name} PRIVATE ${CMAKE_SOURCE_DIR}/src
                                                  ${CMAKE_SOURCE_DIR})
  target_compile_options(fuzz_${name} PRIVATE -Wall -Wextra -Werror)
  target_link_libraries(fuzz_${name} PRIVATE ${ARG_DEPENDS})
  target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
endfunction()
