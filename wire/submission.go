package wire

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// fieldID is the key of the job id in a submission.
	fieldID = "name_id"
	// maxNameLength is the maximum length in bytes of a class, team or image name.
	maxNameLength = 200
	// maxTypes is the maximum number of machine types in a submission.
	maxTypes = 64
)

// FieldError reports a malformed field of a submission. Its text is sent to the user.
type FieldError struct {
	Field string // key in the submission
	Err   error
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field, for example an error of the decoder.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldError(field, problem string) error {
	return &FieldError{Field: field, Err: errors.New(problem)}
}

// ParseJob decodes and validates a submission. Every error means that the body is malformed; the error is a *FieldError
// if one field is the cause. ParseJob does not check whether any machine can run the job. Fields are decoded one by
// one, because the library converts between types where the protocol requires that the submission is rejected.
func ParseJob(b []byte) (*JobSpec, error) {
	b, err := prune(b)
	if err != nil {
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

// PeekJobID returns the job number of a submission without validating the other fields, so that a repeated submission
// of a known job is recognized before the rest is checked.
func PeekJobID(b []byte) (uint64, error) {
	b, err := prune(b)
	if err != nil {
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
		id, err := decodeString(d)
		if err != nil {
			return 0, &FieldError{Field: fieldID, Err: err}
		}
		found, ok = ParseJobID(id)
	}
	if !ok {
		return 0, fieldError(fieldID, "missing or not a job id")
	}
	return found, nil
}

// requiredFields must be present in a submission. Fields that may be null may also be omitted.
var requiredFields = []string{"name_id", "jobclass", "owner", "shape", "rank", "pieces", "cores", "gpus", "mem_gb",
	"bundle", "image_gb", "same_place", "spread", "loaners", "runtime_s", "snapshot_s", "flush_s"}

// optionalFields may be null or omitted in a submission.
var optionalFields = []string{"models", "hall", "due_s"}

// decodeField decodes the value of one key. Unknown keys are skipped, so that fields can be added to the protocol.
func (s *JobSpec) decodeField(d *msgpack.Decoder, key string) (err error) {
	switch key {
	case "name_id":
		s.ID, err = decodeString(d)
	case "jobclass":
		s.Class, err = decodeString(d)
	case "owner":
		s.Team, err = decodeString(d)
	case "shape":
		s.Shape, err = decodeString(d)
	case "rank":
		s.Priority, err = decodeString(d)
	case "pieces":
		s.Tasks, err = decodeCount(d)
	case "cores":
		s.CPUs, err = decodeAmount(d)
	case "gpus":
		s.GPUs, err = decodeAmount(d)
	case "mem_gb":
		s.MemoryGB, err = decodeAmount(d)
	case "bundle":
		s.Image, err = decodeString(d)
	case "image_gb":
		s.ImageGB, err = decodeAmount(d)
	case "models":
		s.Types, err = decodeStrings(d)
	case "hall":
		if isNil(d) {
			return d.DecodeNil()
		}
		var z string
		z, err = decodeString(d)
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

// validate checks the values of decoded fields.
func (s *JobSpec) validate() error {
	if _, ok := ParseJobID(s.ID); !ok {
		return fieldError(fieldID, "not a job id")
	}
	for _, name := range []struct{ field, value string }{
		{"jobclass", s.Class},
		{"owner", s.Team},
		{"bundle", s.Image},
	} {
		if name.value == "" || len(name.value) > maxNameLength {
			return fieldError(name.field, "empty or too long")
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
