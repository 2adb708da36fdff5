# Targets with I/O: messages, HTTP, daemons, programs and benchmarks.

# Message codecs without ZeroMQ, for the relay and registry daemons.
add_library(bulrush_messages STATIC src/wire/voter_codec.cpp src/wire/fleet_codec.cpp src/wire/rollout_codec.cpp src/wire/quota_codec.cpp
            src/wire/generated/voter.pb.cc src/wire/generated/fleet.pb.cc)
target_include_directories(bulrush_messages PUBLIC include src)
target_link_libraries(bulrush_messages PUBLIC bulrush_control bulrush_relay libprotobuf.a z)

bulrush_library(http bulrush_world bulrush_telemetry Threads::Threads)
bulrush_library(fleet bulrush_relay bulrush_control bulrush_store bulrush_messages bulrush_http
                bulrush_telemetry)
add_library(bulrush_platform STATIC platform/adapter.cpp platform/catalogs.cpp platform/endpoints.cpp
            platform/fields.cpp platform/operators.cpp platform/requests.cpp platform/settings.cpp)
target_include_directories(bulrush_platform PUBLIC ${CMAKE_SOURCE_DIR})
target_link_libraries(bulrush_platform PUBLIC bulrush_fleet bulrush_settings)

foreach(Name bulrush-relay bulrush-registry)
  add_executable(${Name} programs/${Name}.cpp programs/early_start.cpp)
  target_link_libraries(${Name} PRIVATE bulrush_platform)
  target_link_options(${Name} PRIVATE -static-libstdc++ -static-libgcc)
endforeach()

set(ShellLibraries http fleet)
if(NOT BULRUSH_PLATFORM_ONLY)
  include(cmake/own_daemons.cmake)
endif()

foreach(Library ${ShellLibraries})
  get_target_property(Type bulrush_${Library} TYPE)
  if(Type STREQUAL STATIC_LIBRARY AND BULRUSH_PCH)
    target_precompile_headers(bulrush_${Library} PRIVATE ${CMAKE_SOURCE_DIR}/cmake/pch_${Library}.h)
  endif()
endforeach()
