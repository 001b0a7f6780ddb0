package domain

// Strings converts names to strings, for codecs.
func Strings[T ~string](names []T) []string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return out
}

// Names converts strings to names.
func Names[T ~string](values []string) []T {
	out := make([]T, len(values))
	for i, n := range values {
		out[i] = T(n)
	}
	return out
}
