# The entry and control daemons, the command-line client and the benchmarks.
bulrush_library(wire bulrush_messages bulrush_query bulrush_telemetry zmq)
bulrush_library(daemon bulrush_query bulrush_control bulrush_store bulrush_settings bulrush_wire
                bulrush_http bulrush_telemetry caf_core)
bulrush_library(ctl bulrush_http bulrush_settings bulrush_wire)
list(APPEND ShellLibraries wire daemon)

foreach(Name bulrush-entry bulrush-control bulrushctl)
  add_executable(${Name} programs/${Name}.cpp)
  target_link_libraries(${Name} PRIVATE bulrush_daemon bulrush_ctl)
endforeach()
add_subdirectory(bench)
