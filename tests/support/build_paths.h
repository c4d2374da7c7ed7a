// Where this build has its programs and data. Only build_paths.cpp depends on these paths, so that
// a compiler cache serves the other files of the tests for each checkout.
#pragma once

namespace test_paths {

extern const char* const kProgram;         // the program alderspur
extern const char* const kEdgeRouter;      // the program edge_router
extern const char* const kTestData;        // tests/data
extern const char* const kLanguageCorpus;  // tests/config_language
extern const char* const kFaultyDisk;  // a library for LD_PRELOAD; empty in builds without tests

}  // namespace test_paths
