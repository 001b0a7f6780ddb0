package domain

// Texts returns names as plain strings, for a codec.
func Texts[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = string(n)
	}
	return out
}

// Names returns plain strings as names.
func Names[T ~string](list []string) []T {
	out := make([]T, len(list))
	for i, n := range list {
		out[i] = T(n)
	}
	return out
}
