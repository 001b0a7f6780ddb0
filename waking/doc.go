// Package waking decides when models are loaded and taken down: how long an idle
// replica stays, what is loaded ahead of its callers, which backend server loads a
// model, what makes room for it, and in which order loads go to the weight store. It
// has no input, output or clock.
package waking
