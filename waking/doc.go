// Package waking decides when models are loaded and unloaded: the keep-alive of an idle
// replica, pre-warming before expected requests, the backend server for a load, the
// evictions that make room for it, and the order of loads at the weight store. Package node
// and the simulation in package wakereplay call it. It does no I/O, reads no clock and
// loads nothing itself.
package waking
