// Points at which a test ends the relay. The shipped programs contain nothing of it: without
// HERONVANE_FAIL_POINTS, which only the target heronvane_failing of the tests defines, a point is nothing.
//
// That program obeys its environment (tests/kill/fail_points.cpp):
//   HERONVANE_KILL_AT=n        passing the n-th point, from 1 on, ends the process by SIGKILL
//   HERONVANE_KILL_NAME=name   counts only points of that name
//   HERONVANE_KILL_TOLD=file   a file that tells how many points of each name were passed, which outlasts the
//                              process: lines of a name and a count, last the one that killed
//   HERONVANE_DISK_FULL=f/c    the disk's operations that need room, from the f-th on and c of them, fail
//   HERONVANE_DISK_FULL=seed   so do spells of them at random, for HERONVANE_DISK_FULL_MS (2000) after the
//   first
//
// Operations that need room are write, create and allocate. They fail with ENOSPC; a write may leave a part
// of its bytes.
//
//   HERONVANE_DEFECT=name      the process has that defect, for the tests of who has to find it (tests/lab):
//   at
//                              HERONVANE_DEFECT(name) in the sources it does what is wrong
//
// Points: `disk.OPERATION.before` and `.after` around each operation of the store's Disk that changes
// something, `disk.write.part` in the middle of a write; elsewhere as they stand in the sources.
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
bool has_defect_now(const char* name);  // each twentieth time that it is asked
bool second_life();                     // the folder that lasts held records when this was first asked
// The disk with points around its operations, which fails as the environment says.
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
