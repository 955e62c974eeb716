# Adds the stand-in of the users' platform to a build without the tests, so that
# no package of the tests is needed.
cmake_language(DEFER CALL add_executable meadowthread-users-standin
  platform/standin/main.cc platform/standin/server_standin.cc
  platform/standin/store_standin.cc)
cmake_language(DEFER CALL target_link_libraries meadowthread-users-standin
  PRIVATE meadowthread_platform)
