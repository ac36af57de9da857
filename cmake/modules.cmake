# wasabiroad_module(<name> SOURCES ... DEPENDS ...) adds the static library module-<name>.
function(wasabiroad_module name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  if(arg_SOURCES)
    add_library(module-${name} STATIC ${arg_SOURCES})
    target_include_directories(module-${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(module-${name} PUBLIC ${arg_DEPENDS})
  else()
    add_library(module-${name} INTERFACE)
    target_include_directories(module-${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(module-${name} INTERFACE ${arg_DEPENDS})
  endif()
endfunction()

# wasabiroad_plugin(<name> SOURCES ... DEPENDS ...) adds the object library module-<name>.
# The linker keeps every object of an object library, so static registrations are not dropped.
function(wasabiroad_plugin name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(module-${name} OBJECT ${arg_SOURCES})
  target_include_directories(module-${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(module-${name} PUBLIC ${arg_DEPENDS})
endfunction()
