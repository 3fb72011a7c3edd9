// Fail points, at which a test kills the relay. The shipped programs contain none: without
// HERONVANE_FAIL_POINTS, which only the test target heronvane_failing defines, the macros do nothing.
//
// The test program reads these environment variables (tests/kill/fail_points.cpp):
//   HERONVANE_KILL_AT=n        the n-th point that is passed, from 1 on, kills the process by SIGKILL
//   HERONVANE_KILL_NAME=name   counts only points of that name
//   HERONVANE_KILL_TOLD=file   a file that outlasts the process and counts the points that were passed: lines
//                              of a name and a count, the last for the point that killed
//   HERONVANE_DISK_FULL=f/c    c disk operations that need space fail, starting with the f-th
//   HERONVANE_DISK_FULL=seed   random series of them fail, for HERONVANE_DISK_FULL_MS (default 2000)
//                              after the first
//
// Operations that need space are write, create and allocate. They fail with ENOSPC; a failed write may have
// written a part of its bytes.
//
//   HERONVANE_DEFECT=name      turns on a deliberate defect, which the checks of tests/lab have to
//                              detect: the code misbehaves at HERONVANE_DEFECT(name)
//
// Names of points: `disk.OPERATION.before` and `.after` around each operation of the store's Disk that
// changes something, and `disk.write.part` in the middle of a write; other names are given in the sources.
#pragma once

#ifdef HERONVANE_FAIL_POINTS

#include <memory>

namespace heronvane {
namespace store {
class Disk;
}

// Safe to call from any thread.
void fail_point(const char* name);
bool has_defect(const char* name);
bool has_defect_now(const char* name);  // true at every twentieth call
bool second_life();                     // whether the state folder held records when this was first called
// Wraps `disk` with fail points around its operations and with the failures that the environment asks for.
std::unique_ptr<store::Disk> failing(std::unique_ptr<store::Disk> disk);

}  // namespace heronvane

#define HERONVANE_POINT(name) ::heronvane::fail_point(name)
#define HERONVANE_DEFECT(name) ::heronvane::has_defect(name)
#define HERONVANE_DEFECT_NOW(name) ::heronvane::has_defect_now(name)
#define HERONVANE_SECOND_LIFE() ::heronvane::second_life()
#define HERONVANE_FAILING(disk) ::heronvane::failing(disk)

#else

#define HERONVANE_POINT(name) static_cast<void>(0)
#define HERONVANE_DEFECT(name) false
#define HERONVANE_DEFECT_NOW(name) false
#define HERONVANE_SECOND_LIFE() false
#define HERONVANE_FAILING(disk) disk

#endif
