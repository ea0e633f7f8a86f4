package adminapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3gen"
	"github.com/shoenig/test/must"

	"github.com/zinniafork/zinniafork/internal/cli"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

const jsonType = "application/json"

// updateVariable tells TestOpenAPIDocument to write the document.
const updateVariable = "ZF_UPDATE_OPENAPI"

// TestOpenAPIDocument compares the document that is served with the endpoints.
func TestOpenAPIDocument(t *testing.T) {
	data, err := document(new(Service).endpoints())
	must.NoError(t, err)
	var pretty bytes.Buffer
	must.NoError(t, json.Indent(&pretty, data, "", "  "))
	pretty.WriteByte('\n')
	if os.Getenv(updateVariable) != "" {
		must.NoError(t, os.WriteFile("openapi.json", pretty.Bytes(), 0o644))
	}
	file, err := os.ReadFile("openapi.json")
	must.NoError(t, err)
	must.Eq(t, string(file), pretty.String(), must.Sprint("run the test with ", updateVariable, "=1"))
	doc, err := openapi3.NewLoader().LoadFromData(file)
	must.NoError(t, err)
	must.NoError(t, doc.Validate(t.Context()))
}

// document returns the OpenAPI document of the endpoints.
func document(endpoints []endpoint) ([]byte, error) {
	doc := &openapi3.T{
		OpenAPI: "3.0.3",
		Info: &openapi3.Info{
			Title:       "zinniafork administration API",
			Version:     cli.Version,
			Description: "Reads and changes the configuration and the state of a fleet. Every router serves it.",
		},
		Paths: openapi3.NewPaths(),
		Components: &openapi3.Components{
			SecuritySchemes: openapi3.SecuritySchemes{
				"key": {Value: openapi3.NewSecurityScheme().WithType("http").WithScheme("bearer")},
			},
		},
		Security: *openapi3.NewSecurityRequirements().With(openapi3.SecurityRequirement{"key": {}}),
	}
	for _, e := range endpoints {
		operation, err := e.operation()
		if err != nil {
			return nil, fmt.Errorf("openapi of %s: %w", e.path, err)
		}
		doc.AddOperation(e.path, e.method, operation)
	}
	return json.Marshal(doc)
}

func (e endpoint) operation() (*openapi3.Operation, error) {
	out := openapi3.NewOperation()
	out.Summary = e.summary
	out.OperationID = e.operationID()
	if e.open {
		out.Security = openapi3.NewSecurityRequirements()
	}
	if e.method == http.MethodGet {
		if err := e.parameters(out); err != nil {
			return nil, err
		}
	} else {
		schema, err := schemaOf(e.in)
		if err != nil {
			return nil, err
		}
		body := openapi3.NewRequestBody().WithRequired(true).WithContent(content(schema))
		out.RequestBody = &openapi3.RequestBodyRef{Value: body}
	}
	schema, err := schemaOf(e.out)
	if err != nil {
		return nil, err
	}
	failure, err := schemaOf(reflect.TypeFor[admin.Error]())
	if err != nil {
		return nil, err
	}
	out.AddResponse(http.StatusOK, openapi3.NewResponse().WithDescription("The answer.").WithContent(content(schema)))
	out.Responses.Set("default", &openapi3.ResponseRef{
		Value: openapi3.NewResponse().WithDescription("What went wrong.").WithContent(content(failure)),
	})
	return out, nil
}

// operationID names the operation by method and path.
func (e endpoint) operationID() string {
	name := strings.TrimPrefix(e.path, admin.Prefix+"/")
	return strings.ToLower(e.method) + "_" + strings.NewReplacer("/", "_", ".", "_").Replace(name)
}

func (e endpoint) parameters(out *openapi3.Operation) error {
	for i := range e.in.NumField() {
		f := e.in.Field(i)
		schema, err := schemaOf(f.Type)
		if err != nil {
			return err
		}
		p := openapi3.NewQueryParameter(parameter(f)).WithRequired(!strings.Contains(f.Tag.Get("url"), "omitempty"))
		p.Schema = schema
		out.AddParameter(p)
	}
	return nil
}

func content(schema *openapi3.SchemaRef) openapi3.Content {
	return openapi3.Content{jsonType: openapi3.NewMediaType().WithSchemaRef(schema)}
}

func schemaOf(t reflect.Type) (*openapi3.SchemaRef, error) {
	if t == reflect.TypeFor[json.RawMessage]() {
		return openapi3.NewObjectSchema().NewRef(), nil
	}
	return openapi3gen.NewSchemaRefForValue(reflect.New(t).Elem().Interface(), nil,
		openapi3gen.SchemaCustomizer(customize))
}

// customize describes types that write themselves as text, and lists that may
// be null.
func customize(_ string, t reflect.Type, _ reflect.StructTag, schema *openapi3.Schema) error {
	if t.Implements(reflect.TypeFor[interface{ MarshalText() ([]byte, error) }]()) && t.Kind() == reflect.Int64 {
		*schema = *openapi3.NewStringSchema()
		schema.Description = "A time span with a unit, such as " + strconv.Quote("2s") + "."
	}
	if t.Kind() == reflect.Slice {
		schema.Nullable = true
	}
	return nil
}
