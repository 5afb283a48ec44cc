include("${CMAKE_CURRENT_LIST_DIR}/meadowslipTargets.cmake")
