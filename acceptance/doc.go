// Package acceptance holds tests that run the system as separate processes on
// loopback: one process with the stand-ins and several nodes. They take minutes
// and are run on demand, with PARSLEYLUG_ACCEPTANCE=1 in the environment.
package acceptance
