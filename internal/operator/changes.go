package operator

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/gorilla/mux"

	"oxbowslip.dev/oxbowslip/internal/httprelay"
	"oxbowslip.dev/oxbowslip/internal/settings"
	"oxbowslip.dev/oxbowslip/internal/strictjson"
)

// ChangeRequest is an operator's change of the settings.
type ChangeRequest struct {
	// ID is chosen by the operator. A change with the same ID is accepted only once.
	ID string `json:"id"`
	// Base is the revision that the operator made the patch for.
	Base uint64 `json:"base"`
	// Patch is a JSON merge patch (RFC 7396) of the tree.
	Patch jsontext.Value `json:"patch"`
}

// ChangeAnswer is the result of a change. Exactly one of Revision and Error is
// set.
type ChangeAnswer struct {
	Revision uint64 `json:"revision,omitzero"`
	Error    string `json:"error,omitzero"`
	// Accepted is "yes", "no" or "unknown".
	Accepted string `json:"accepted"`
	// Faults are the faults of the tree that the change would result in.
	Faults []strictjson.Fault `json:"faults,omitzero"`
	// Other is the conflicting change. Paths are the paths that both changes modify.
	Other *settings.Change `json:"other,omitzero"`
	Paths []string         `json:"paths,omitzero"`
}

// SettingsAnswer is the tree in force with its revision number.
type SettingsAnswer struct {
	Revision uint64         `json:"revision"`
	Tree     jsontext.Value `json:"tree"`
}

// maxChangeBytes limits the size of a change's body.
const maxChangeBytes = 4 << 20

func (s *Server) showSettings(w http.ResponseWriter, _ *http.Request) {
	tree := s.parts.Tree()
	if tree.Revision == 0 {
		httprelay.WriteJSON(w, http.StatusServiceUnavailable, Problem{Error: "no settings are in force yet"})
		return
	}
	httprelay.WriteJSON(w, http.StatusOK, tree)
}

func (s *Server) showChange(w http.ResponseWriter, r *http.Request) {
	// The route matches digits only. For a number out of range, ParseUint returns the largest uint64, which is not in use.
	revision, _ := strconv.ParseUint(mux.Vars(r)["revision"], 10, 64)
	c, err := s.parts.Changes.Find(r.Context(), revision)
	switch {
	case errors.Is(err, ErrChangeNotFound):
		httprelay.WriteJSON(w, http.StatusNotFound, Problem{Error: "no such change"})
	case err != nil:
		httprelay.WriteJSON(w, http.StatusServiceUnavailable, Problem{Error: "the platform is away"})
	default:
		httprelay.WriteJSON(w, http.StatusOK, c)
	}
}

func (s *Server) acceptChange(w http.ResponseWriter, r *http.Request) {
	var request ChangeRequest
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err == nil {
		err = decodeChange(data, &request)
	}
	if err == nil && request.ID == "" {
		err = merry.New("the change needs an ID")
	}
	if err != nil {
		httprelay.WriteJSON(w, http.StatusBadRequest, ChangeAnswer{Error: err.Error(), Accepted: "no"})
		return
	}
	c := settings.Change{ID: request.ID, Base: request.Base, Patch: request.Patch, Who: operatorName(r)}
	revision, err := s.parts.Changes.Accept(r.Context(), c)
	status, result := changeAnswer(revision, err)
	httprelay.WriteJSON(w, status, result)
}

// decodeChange decodes an operator's change. Its error describes the fault without the text of the
// JSON library's error, which the library deliberately varies between runs of a program.
func decodeChange(data []byte, request *ChangeRequest) error {
	err := json.Unmarshal(data, request, json.RejectUnknownMembers(true))
	var semantic *json.SemanticError
	if !errors.As(err, &semantic) {
		return err
	}
	if semantic.Err == nil {
		return merry.Errorf("the change can't be read at %q: a value of the wrong kind", semantic.JSONPointer)
	}
	return merry.Errorf("the change can't be read at %q: %w", semantic.JSONPointer, semantic.Err)
}

// changeAnswer returns the HTTP status and body for the result of a change.
func changeAnswer(revision uint64, err error) (int, ChangeAnswer) {
	if err == nil {
		return http.StatusOK, ChangeAnswer{Revision: revision, Accepted: "yes"}
	}
	var failed *ChangeError
	if !errors.As(err, &failed) {
		return http.StatusServiceUnavailable, ChangeAnswer{Error: err.Error(), Accepted: "no"}
	}
	result := ChangeAnswer{Error: failed.Detail, Accepted: "no", Faults: failed.Faults, Other: failed.Other, Paths: failed.Paths}
	switch failed.Cause {
	case CauseConflict:
		return http.StatusConflict, result
	case CauseInvalid:
		return http.StatusUnprocessableEntity, result
	case CauseUnknown:
		result.Accepted = "unknown"
		return http.StatusGatewayTimeout, result
	}
	return http.StatusServiceUnavailable, result
}
