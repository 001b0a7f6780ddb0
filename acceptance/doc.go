// Package acceptance holds end-to-end tests that run the system as separate
// processes on the loopback interface: one process with the stand-ins of the
// platform, engines and services, and several nodes. The tests send requests as
// callers do, inject faults and kill, pause or restart nodes. They check the
// responses, and compare the stand-ins' counters with the limits on copies and memory.
//
// The tests take minutes and only run with PARSLEYLUG_ACCEPTANCE=1 in the
// environment; otherwise they are skipped. No other package uses this one.
package acceptance
