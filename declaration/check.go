package declaration

import (
	"encoding/hex"
	"fmt"
)

// Problem is one broken rule of a declaration.
type Problem struct {
	// Field is the path of the value, such as workspace[0].route[1].quality.
	Field string `json:"field"`
	// Line is the line in the document, or zero when unknown.
	Line int `json:"line,omitempty"`
	// Detail says which rule the value breaks and what the value is.
	Detail string `json:"detail"`
}

// minSecretLength is the shortest accepted signing secret, in bytes.
const minSecretLength = 16

// digestLength is the length of a SHA-256 digest, in bytes.
const digestLength = 32

type checker struct{ problems []Problem }

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{Field: field, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, value string) {
	if !validName(value) {
		c.add(field, "%q is not a name of 1 to %d lower-case letters, digits, dots and hyphens", value, maxNameLength)
	}
}

func (c *checker) share(field string, value, highest float64) {
	if !(value >= 0 && value <= highest) {
		c.add(field, "%v is not between 0 and %v", value, highest)
	}
}

func (c *checker) atLeastZero(field string, value int64) {
	if value < 0 {
		c.add(field, "%d is below 0", value)
	}
}

func checkOneOf[T ~string](c *checker, field string, value T, allowed ...T) {
	if value == "" {
		return
	}
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(field, "%q is not one of %q", value, allowed)
}

func checkUnique[T ~string](c *checker, field string, seen map[T]bool, value T) {
	if seen[value] {
		c.add(field, "%q is declared twice", value)
	}
	seen[value] = true
}

// Check returns every broken rule of the document, those between objects included.
func (f *Fleet) Check() []Problem {
	c := &checker{}
	zones := map[ZoneName]bool{}
	for i, z := range f.Zones {
		field := fmt.Sprintf("zone[%d]", i)
		z.check(c, field)
		checkUnique(c, field+".name", zones, z.Name)
	}
	models := map[ModelName]bool{}
	for i, m := range f.Models {
		field := fmt.Sprintf("model[%d]", i)
		m.check(c, field)
		checkUnique(c, field+".name", models, m.Name)
	}
	services := map[ServiceName]bool{}
	for i, s := range f.Services {
		field := fmt.Sprintf("service[%d]", i)
		s.check(c, field)
		checkUnique(c, field+".name", services, s.Name)
	}
	workspaces := map[WorkspaceName]bool{}
	for i, w := range f.Workspaces {
		field := fmt.Sprintf("workspace[%d]", i)
		w.check(c, field)
		checkUnique(c, field+".name", workspaces, w.Name)
		f.checkReferences(c, field, w)
	}
	keys := map[KeyName]bool{}
	for i, k := range f.SessionKeys {
		field := fmt.Sprintf("session-key[%d]", i)
		k.check(c, field)
		checkUnique(c, field+".name", keys, k.Name)
	}
	return c.problems
}

func (f *Fleet) checkReferences(c *checker, field string, w Workspace) {
	for i, ref := range w.Allow {
		if !f.declares(ref) {
			c.add(fmt.Sprintf("%s.allow[%d]", field, i), "%s is not declared", ref)
		}
	}
	for i, name := range w.Services {
		if !f.declaresService(name) {
			c.add(fmt.Sprintf("%s.services[%d]", field, i), "service %q is not declared", name)
		}
	}
}

func (f *Fleet) declares(ref Ref) bool {
	for _, m := range f.Models {
		if m.Name != ref.Model {
			continue
		}
		if ref.Version == "" {
			return true
		}
		return m.version(ref.Version) != nil
	}
	return false
}

func (f *Fleet) declaresService(name ServiceName) bool {
	for _, s := range f.Services {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (m *Model) version(name VersionName) *Version {
	for i := range m.Versions {
		if m.Versions[i].Name == name {
			return &m.Versions[i]
		}
	}
	return nil
}

// Check returns the rules that the zone breaks.
func (z Zone) Check() []Problem {
	c := &checker{}
	z.check(c, "zone")
	return c.problems
}

func (z Zone) check(c *checker, field string) {
	c.name(field+".name", string(z.Name))
	c.name(field+".region", string(z.Region))
}

// Check returns the rules that the key breaks.
func (k SessionKey) Check() []Problem {
	c := &checker{}
	k.check(c, "session-key")
	return c.problems
}

func (k SessionKey) check(c *checker, field string) {
	c.name(field+".name", string(k.Name))
	if len(k.Secret) < minSecretLength {
		c.add(field+".secret", "has %d bytes, fewer than %d", len(k.Secret), minSecretLength)
	}
	c.atLeastZero(field+".since-ms", int64(k.Since))
}

// Check returns the rules that the model breaks.
func (m Model) Check() []Problem {
	c := &checker{}
	m.check(c, "model")
	return c.problems
}

func (m Model) check(c *checker, field string) {
	c.name(field+".name", string(m.Name))
	if len(m.Versions) == 0 {
		c.add(field+".version", "has no version")
	}
	seen := map[VersionName]bool{}
	for i, v := range m.Versions {
		at := fmt.Sprintf("%s.version[%d]", field, i)
		v.check(c, at)
		checkUnique(c, at+".name", seen, v.Name)
	}
	if m.Rollout != nil {
		m.Rollout.check(c, field+".rollout", m)
	}
}

func (v Version) check(c *checker, field string) {
	c.name(field+".name", string(v.Name))
	checkOneOf(c, field+".state", v.State, StateActive, StateDraining, StateWithdrawn)
	c.atLeastZero(field+".prompt-price", int64(v.PromptPrice))
	c.atLeastZero(field+".answer-price", int64(v.AnswerPrice))
	c.atLeastZero(field+".cold-limit", int64(v.ColdLimit))
	c.share(field+".quality", float64(v.Quality), 1)
}

func (r *Rollout) check(c *checker, field string, m Model) {
	if m.version(r.From) == nil {
		c.add(field+".from", "version %q is not declared", r.From)
	}
	if m.version(r.To) == nil {
		c.add(field+".to", "version %q is not declared", r.To)
	}
	if r.From == r.To {
		c.add(field+".to", "%q is also the version to leave", r.To)
	}
	if len(r.Steps) == 0 {
		c.add(field+".steps", "has no step")
	}
	last := Percent(0)
	for i, step := range r.Steps {
		if !(step > last && step <= 100) {
			c.add(fmt.Sprintf("%s.steps[%d]", field, i), "%v is not above %v and at most 100", step, last)
		}
		last = step
	}
	c.atLeastZero(field+".hold-ms", int64(r.Hold))
	c.share(field+".guard.max-error-rise", float64(r.Guard.MaxErrorRise), 100)
	c.share(field+".guard.max-quality-drop", float64(r.Guard.MaxQualityDrop), 1)
	if r.Guard.MaxLatencyFactor != 0 && !(r.Guard.MaxLatencyFactor > 1) {
		c.add(field+".guard.max-latency-factor", "%v is neither 0 nor above 1", r.Guard.MaxLatencyFactor)
	}
}

// Check returns the rules that the workspace breaks by itself.
func (w Workspace) Check() []Problem {
	c := &checker{}
	w.check(c, "workspace")
	return c.problems
}

func (w Workspace) check(c *checker, field string) {
	c.name(field+".name", string(w.Name))
	if len(w.KeyDigests) == 0 {
		c.add(field+".key-digests", "has no digest")
	}
	for i, d := range w.KeyDigests {
		raw, err := hex.DecodeString(d)
		if err != nil || len(raw) != digestLength {
			c.add(fmt.Sprintf("%s.key-digests[%d]", field, i), "%q is not a SHA-256 digest in hex", d)
		}
	}
	seen := map[RouteName]bool{}
	for i, r := range w.Routes {
		at := fmt.Sprintf("%s.route[%d]", field, i)
		r.check(c, at, w)
		checkUnique(c, at+".name", seen, r.Name)
	}
}

func (w Workspace) allows(ref Ref) bool {
	for _, a := range w.Allow {
		if a.Covers(ref) {
			return true
		}
	}
	return false
}

func (r Route) check(c *checker, field string, w Workspace) {
	c.name(field+".name", string(r.Name))
	c.name(field+".class", string(r.Class))
	checkOneOf(c, field+".priority", r.Priority, PriorityPrompt, PriorityPatient)
	checkOneOf(c, field+".answer", r.Answer, AnswerStreamed, AnswerRated)
	checkOneOf(c, field+".on-withdrawal", r.OnWithdrawal, WithdrawalMove, WithdrawalRefuse)
	c.share(field+".quality", float64(r.Quality), 1)
	c.share(field+".explore-percent", float64(r.Explore), 100)
	if len(r.Models) == 0 {
		c.add(field+".models", "has no model")
	}
	for i, ref := range r.Models {
		if !w.mayCover(ref) {
			c.add(fmt.Sprintf("%s.models[%d]", field, i), "%s is not allowed to workspace %q", ref, w.Name)
		}
	}
}

// mayCover reports whether the workspace allows ref or, for a whole model, a version of it.
func (w Workspace) mayCover(ref Ref) bool {
	for _, a := range w.Allow {
		if a.Covers(ref) || ref.Covers(a) {
			return true
		}
	}
	return false
}

// Check returns the rules that the service breaks.
func (s Service) Check() []Problem {
	c := &checker{}
	s.check(c, "service")
	return c.problems
}

func (s Service) check(c *checker, field string) {
	c.name(field+".name", string(s.Name))
	checkOneOf(c, field+".priority", s.Priority, PriorityPrompt, PriorityPatient)
	for i, m := range s.OnceMethods {
		checkOneOf(c, fmt.Sprintf("%s.once-methods[%d]", field, i), m, "POST", "PUT", "PATCH", "DELETE")
	}
	c.atLeastZero(field+".price", int64(s.Price))
	c.atLeastZero(field+".cold-limit", int64(s.ColdLimit))
}
