include("${CMAKE_CURRENT_LIST_DIR}/gooseberryTargets.cmake")
