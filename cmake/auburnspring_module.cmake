# auburnspring_module(NAME SOURCES a.cpp... TESTS a_test.cpp... LIBS x y...)
# One static library auburnspring_NAME and one test program NAME_test.
function(auburnspring_module NAME)
  cmake_parse_arguments(ARG "" "LABEL" "SOURCES;TESTS;LIBS" ${ARGN})
  add_library(auburnspring_${NAME} STATIC ${ARG_SOURCES})
  auburnspring_target(auburnspring_${NAME})
  target_link_libraries(auburnspring_${NAME} PUBLIC ${ARG_LIBS})
  if(ARG_TESTS AND NOT AUBURNSPRING_SERVING_ONLY)
    auburnspring_test(${NAME}_test unit auburnspring_${NAME} ${ARG_TESTS})
  endif()
endfunction()

# Sets the include directory of a target and turns its warnings into errors.
function(auburnspring_target TARGET)
  target_include_directories(${TARGET} PUBLIC ${CMAKE_SOURCE_DIR}/include)
  if(AUBURNSPRING_SANITIZE)
    # No -Werror here: the code that the sanitizers add causes warnings.
    target_compile_options(${TARGET} PUBLIC -fsanitize=${AUBURNSPRING_SANITIZE}
      -fno-omit-frame-pointer)
    target_link_options(${TARGET} PUBLIC -fsanitize=${AUBURNSPRING_SANITIZE})
  else()
    target_compile_options(${TARGET} PRIVATE -Wall -Wextra -Werror)
  endif()
endfunction()

# auburnspring_test(TARGET LABEL LIB SOURCES...)
function(auburnspring_test TARGET LABEL LIB)
  add_executable(${TARGET} ${ARGN})
  auburnspring_target(${TARGET})
  target_link_libraries(${TARGET} PRIVATE
    ${LIB} auburnspring_test_main Catch2::Catch2 rapidcheck)
  add_test(NAME ${TARGET} COMMAND ${TARGET})
  set_tests_properties(${TARGET} PROPERTIES LABELS ${LABEL}
    ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()
