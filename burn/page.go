package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

const (
	plotWidth  = 640.0
	plotHeight = 120.0
)

// pageTemplate is self-contained: it loads no scripts, style sheets or images.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) },
	"within":  func(row Row) string { return polylinePoints(row, withinTargetShare) },
	"target":  func(row Row) string { return fmt.Sprintf("%.1f", plotHeight*(1-row.ObjectivePercent/100)) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 15px sans-serif; margin: 2em; max-width: 60em }
table { border-collapse: collapse } td, th { padding: .3em .8em; text-align: right; border-bottom: 1px solid #ccc }
th:first-child, td:first-child { text-align: left } svg { background: #f6f6f6; margin: .5em 0 1.5em }
.hot { color: #b00020; font-weight: bold }
</style></head><body>
<h1>Service-level burn</h1><p>{{.At.UTC.Format "2006-01-02 15:04:05"}} UTC</p>
<table><tr><th>service</th><th>objective</th><th>within 1 h</th><th>budget left</th><th>burn 5 min</th><th>burn 1 h</th><th>goodput 5 min</th><th>wasted prefill</th></tr>
{{range .Rows}}<tr><td>{{.Service}}</td><td>{{.ObjectivePercent}}%</td><td>{{percent .Long.WithinShare}}</td><td>{{percent .BudgetLeft}}</td>
<td{{if gt .Short.BurnRate 1.0}} class="hot"{{end}}>{{printf "%.2f" .Short.BurnRate}}</td><td{{if gt .Long.BurnRate 1.0}} class="hot"{{end}}>{{printf "%.2f" .Long.BurnRate}}</td>
<td>{{printf "%.2f" .Short.Goodput}}/s</td><td>{{percent .Long.WastedShare}}</td></tr>
{{end}}</table>
{{range .Rows}}<h2>{{.Service}}</h2><p>Share within target, over the last hour; the dashed line is the objective.</p>
<svg width="640" height="120" viewBox="0 0 640 120" role="img" aria-label="share within target of {{.Service}}">
<line x1="0" x2="640" y1="{{target .}}" y2="{{target .}}" stroke="#b00020" stroke-dasharray="4 4"/>
<polyline fill="none" stroke="#1a4fa0" stroke-width="2" points="{{within .}}"/></svg>
{{end}}</body></html>
`))

func (r Report) writePage(w io.Writer) error { return pageTemplate.Execute(w, r) }

func withinTargetShare(p Point) float64 {
	if p.Sample.Requests == 0 {
		return 1
	}
	return float64(p.Sample.WithinTarget) / float64(p.Sample.Requests)
}

// polylinePoints returns the points attribute of an SVG polyline, oldest point at
// the left.
func polylinePoints(row Row, value func(Point) float64) string {
	if len(row.Points) == 0 {
		return ""
	}
	newest := row.Points[len(row.Points)-1].Start
	var coordinates []string
	for _, p := range row.Points {
		x := plotWidth * (1 - float64(newest-p.Start)/LongWindow.Seconds())
		coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", x, plotHeight*(1-value(p))))
	}
	return strings.Join(coordinates, " ")
}
