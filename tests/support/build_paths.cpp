#include "support/build_paths.h"

namespace test_paths {

const char* const kProgram = ALDERSPUR_PROGRAM;
const char* const kEdgeRouter = ALDERSPUR_EDGE_ROUTER;
const char* const kTestData = ALDERSPUR_TEST_DATA;
const char* const kLanguageCorpus = ALDERSPUR_CORPUS;
const char* const kFaultyDisk = ALDERSPUR_FAULTY_DISK;

}  // namespace test_paths
