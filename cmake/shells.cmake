# Everything that does I/O: messages, HTTP, daemons, programs and the bench.
bulrush_library(wire bulrush_world bulrush_query bulrush_control bulrush_telemetry zmq protobuf)
bulrush_library(http bulrush_world bulrush_telemetry Threads::Threads)
bulrush_library(daemon bulrush_query bulrush_control bulrush_store bulrush_settings bulrush_wire
                bulrush_http bulrush_telemetry caf_core)

bulrush_library(ctl bulrush_http bulrush_settings bulrush_wire)

foreach(Library wire http daemon)
  get_target_property(Type bulrush_${Library} TYPE)
  if(Type STREQUAL STATIC_LIBRARY AND BULRUSH_PCH)
    target_precompile_headers(bulrush_${Library} PRIVATE ${CMAKE_SOURCE_DIR}/cmake/pch_${Library}.h)
  endif()
endforeach()

# One program for each file programs/NAME.cpp; the bench adds its own folders.
file(GLOB Programs CONFIGURE_DEPENDS programs/*.cpp)
foreach(Source ${Programs})
  get_filename_component(Name ${Source} NAME_WE)
  add_executable(${Name} ${Source})
  target_link_libraries(${Name} PRIVATE bulrush_daemon bulrush_ctl)
endforeach()

if(EXISTS ${CMAKE_SOURCE_DIR}/bench/CMakeLists.txt)
  add_subdirectory(bench)
endif()
