package relay

import (
	"crocusstep/admit"
	"crocusstep/ident"
	"crocusstep/table"
)

// orderOf returns what orders a request among others to the service, or nil if nothing does.
func orderOf(t *table.Table, request *Request, route table.Route, service ident.ServiceName, workspace *table.Workspace) *admit.Order {
	if !t.Ordered(service) {
		return nil
	}
	o := &admit.Order{Priority: route.Priority}
	if workspace != nil {
		own, _ := t.Match(request.Host, request.Path)
		o.Workspace, o.Weight, o.Inner = workspace.Name, t.Weight(workspace), own.Priority
	}
	return o
}

// orderFields returns what a log line says of a request's order; nothing without one.
func orderFields(o *admit.Order) []any {
	if o == nil {
		return nil
	}
	return []any{"priority", o.Priority, "workspace", o.Workspace}
}
