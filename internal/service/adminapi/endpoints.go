package adminapi

import (
	_ "embed" // for the OpenAPI document
	"encoding/json"
	"net/http"

	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// openAPI is the document of the endpoints. TestOpenAPIDocument writes it.
//
//go:embed openapi.json
var openAPI []byte

// endpoints lists every operation of the API.
func (s *Service) endpoints() []endpoint {
	spec := op(http.MethodGet, admin.PathOpenAPI, "This document.", s.spec)
	spec.open = true
	return []endpoint{
		spec,
		op(http.MethodGet, admin.PathWhoAmI, "Who the key belongs to.", s.whoAmI),

		op(http.MethodGet, admin.PathConfig, "The newest configuration version.", s.configInfo),
		op(http.MethodGet, admin.PathDocument, "One document of a version.", s.readDocument),
		op(http.MethodGet, admin.PathEffective, "The configuration of a site, with the origin of each value.", s.effective),
		op(http.MethodGet, admin.PathHistory, "The versions that are kept, the newest first.", s.history),
		op(http.MethodGet, admin.PathDiff, "What changed between two versions.", s.diff),
		op(http.MethodGet, admin.PathSpread, "How far the newest version has spread.", s.spread),
		op(http.MethodGet, admin.PathPublication, "What became of a publication.", s.publication),
		op(http.MethodPost, admin.PathPublish, "Publish one document, or check what that would do.", s.publish).audited("publish"),
		op(http.MethodPost, admin.PathRollback, "Publish a document as it was before.", s.rollback).audited("rollback"),
		op(http.MethodPost, admin.PathMark, "Take a data centre, VM or target out, or bring it back.", s.mark).audited("mark"),
		op(http.MethodPost, admin.PathEmergency, "Take a thing of this site out while the log is away.", s.emergency).audited("emergency"),

		op(http.MethodGet, admin.PathStatus, "The state of this router's site.", s.status),
		op(http.MethodGet, admin.PathTargets, "The targets of the site with their load.", s.listTargets),
		op(http.MethodGet, admin.PathAccounts, "The client accounts with their service of the last minutes.", s.accounts),
		op(http.MethodGet, admin.PathSites, "What every site says of its rules and its service.", s.sites),
		op(http.MethodGet, admin.PathExplain, "Why a chat goes where it goes, or why a request failed.", s.explain),

		op(http.MethodGet, admin.PathOrders, "Orders, the newest first.", s.listOrders),
		op(http.MethodPost, admin.PathSettle, "Record the outcome of an order that stayed unknown.", s.settle).audited("settle order"),
		op(http.MethodGet, admin.PathAudit, "The newest changes and refusals.", s.readAudit),
	}
}

func (*Service) spec(*request, none) (*json.RawMessage, error) {
	raw := json.RawMessage(openAPI)
	return &raw, nil
}

func (s *Service) whoAmI(c *request, _ none) (*admin.WhoAmI, error) {
	self := s.identity.Self()
	return &admin.WhoAmI{
		Operator: c.operator.Name,
		Member:   c.operator.Member,
		Role:     c.operator.Role,
		Sites:    c.operator.Sites,
		VM:       self.VM,
		Site:     self.Site,
	}, nil
}
