package wire

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// fieldID is the key of a submission's job id.
	fieldID = "name_id"
	// maxTextLength is how many bytes a class, team or image name may have.
	maxTextLength = 200
	// maxTypes is how many machine types a job may name.
	maxTypes = 64
)

// FieldError says which field of a submission is malformed. Its text is sent to the user.
type FieldError struct {
	Field string // as spelled on the wire
	Err   error
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap gives the cause, such as an error of the decoder.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldError(field, text string) error { return &FieldError{Field: field, Err: errors.New(text)} }

// ParseJob decodes and validates a submission. Every error means that the body is malformed, and is a *FieldError where
// a field is to blame; whether the job can ever run is decided elsewhere. Numbers and texts are decoded one by one,
// because the library would turn one kind into another where the protocol demands a refusal.
func ParseJob(b []byte) (*JobSpec, error) {
	if err := checkNesting(b); err != nil {
		return nil, err
	}
	var s JobSpec
	seen := map[string]bool{}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	n, err := d.DecodeMapLen()
	if err != nil {
		return nil, err
	}
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		if err := s.decodeField(d, key); err != nil {
			return nil, &FieldError{Field: key, Err: err}
		}
		seen[key] = true
	}
	for _, k := range requiredFields {
		if !seen[k] {
			return nil, fieldError(k, "missing")
		}
	}
	return &s, s.validate()
}

// PeekJobID finds the job id in a submission, well formed otherwise or not, so that the repetition of a known job is
// recognised as an idempotent request before anything else is checked.
func PeekJobID(b []byte) (uint64, error) {
	if err := checkNesting(b); err != nil {
		return 0, err
	}
	d := msgpack.NewDecoder(bytes.NewReader(b))
	n, err := d.DecodeMapLen()
	if err != nil {
		return 0, err
	}
	found, ok := uint64(0), false
	for range n {
		key, err := d.DecodeString()
		if err != nil {
			return 0, err
		}
		if key != fieldID {
			if err := d.Skip(); err != nil {
				return 0, err
			}
			continue
		}
		id, err := decodeText(d)
		if err != nil {
			return 0, &FieldError{Field: fieldID, Err: err}
		}
		found, ok = JobNumber(id)
	}
	if !ok {
		return 0, fieldError(fieldID, "missing or not a job id")
	}
	return found, nil
}

// requiredFields are those that a submission must have; one that may be null may also be left out.
var requiredFields = []string{"name_id", "jobclass", "owner", "shape", "rank", "pieces", "cores", "gpus", "mem_gb",
	"bundle", "image_gb", "same_place", "spread", "loaners", "runtime_s", "snapshot_s", "flush_s"}

// decodeField reads the value of one key; unknown keys are skipped, so that the protocol can grow.
func (s *JobSpec) decodeField(d *msgpack.Decoder, key string) (err error) {
	switch key {
	case "name_id":
		s.ID, err = decodeText(d)
	case "jobclass":
		s.Class, err = decodeText(d)
	case "owner":
		s.Team, err = decodeText(d)
	case "shape":
		s.Shape, err = decodeText(d)
	case "rank":
		s.Priority, err = decodeText(d)
	case "pieces":
		s.Tasks, err = decodeCount(d)
	case "cores":
		s.CPUs, err = decodeAmount(d)
	case "gpus":
		s.GPUs, err = decodeAmount(d)
	case "mem_gb":
		s.MemoryGB, err = decodeAmount(d)
	case "bundle":
		s.Image, err = decodeText(d)
	case "image_gb":
		s.ImageGB, err = decodeAmount(d)
	case "models":
		s.Types, err = decodeTexts(d)
	case "hall":
		if isNil(d) {
			return d.DecodeNil()
		}
		var z string
		z, err = decodeText(d)
		s.Zone = &z
	case "same_place":
		s.SameZone, err = decodeBool(d)
	case "spread":
		s.Spread, err = decodeBool(d)
	case "loaners":
		s.Spot, err = decodeBool(d)
	case "runtime_s":
		s.EstimateS, err = decodeAmount(d)
	case "snapshot_s":
		s.CheckpointIntervalS, err = decodeAmount(d)
	case "flush_s":
		s.CheckpointWriteS, err = decodeAmount(d)
	case "due_s":
		if isNil(d) {
			return d.DecodeNil()
		}
		var f float64
		f, err = decodeAmount(d)
		s.DeadlineS = &f
	default:
		err = d.Skip()
	}
	return err
}

// validate checks what the type of a value does not rule out.
func (s *JobSpec) validate() error {
	if _, ok := JobNumber(s.ID); !ok {
		return fieldError(fieldID, "not a job id")
	}
	for _, text := range []struct{ field, value string }{
		{"jobclass", s.Class},
		{"owner", s.Team},
		{"bundle", s.Image},
	} {
		if text.value == "" || len(text.value) > maxTextLength {
			return fieldError(text.field, "empty or too long")
		}
	}
	switch s.Shape {
	case Array, Gang, Service:
	default:
		return fieldError("shape", "unknown")
	}
	switch s.Priority {
	case Production, High, Normal, Low:
	default:
		return fieldError("rank", "unknown")
	}
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fieldError("pieces", "out of range")
	}
	if len(s.Types) > maxTypes {
		return fieldError("models", "too many")
	}
	return nil
}
