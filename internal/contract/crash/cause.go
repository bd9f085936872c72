package crash

import "slices"

// MaxCause bounds the suspects of one cause.
const MaxCause = 16

// Cause is what servers crash under: one request, or the prompts that hold all of several parts. Parts
// that were together in all prompts under which servers crashed can't be told apart. The first suspect
// names the cause; the others are in ascending order.
type Cause []Suspect

// CauseOf returns the cause that lead names. Repeats among the others are left out.
func CauseOf(lead Suspect, others ...Suspect) Cause {
	rest := slices.DeleteFunc(slices.Clone(others), func(s Suspect) bool { return s == lead })
	slices.Sort(rest)
	return append(Cause{lead}, slices.Compact(rest)...)
}

// HeldBy reports whether a request with the given suspects has all of the cause.
func (c Cause) HeldBy(suspects []Suspect) bool {
	return !slices.ContainsFunc(c, func(s Suspect) bool { return !slices.Contains(suspects, s) })
}

// In returns those of the suspects that are part of the cause.
func (c Cause) In(suspects []Suspect) Cause {
	return slices.DeleteFunc(slices.Clone(c), func(s Suspect) bool { return !slices.Contains(suspects, s) })
}

// Without returns the cause without the given suspects.
func (c Cause) Without(suspects []Suspect) Cause {
	return slices.DeleteFunc(slices.Clone(c), func(s Suspect) bool { return slices.Contains(suspects, s) })
}
