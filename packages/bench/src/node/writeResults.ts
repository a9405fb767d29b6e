import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Findings } from '../types/scenario.js'
import { formatReport } from '../utils/markdown.js'
import type { Report } from '../utils/markdown.js'

/**
 * Writes the results of a scenario as Markdown and as an HTML page with plots.
 *
 * @param folder - output directory, which is created if it does not exist
 * @param name - name of the files without extension
 * @param options - `command`: command that produced the figures; `findings`: results to write
 */
export function writeResults (folder: string, name: string, options: { command: string, findings: Findings }): void {
  mkdirSync(folder, { recursive: true })
  const { command, findings } = options
  const tables = findings.reports.map(formatReport).join('\n')
  writeFileSync(join(folder, `${name}.md`), `# Benchmark: ${name}\n\nMeasured with \`${command}\`.\n\n${tables}`)
  writeFileSync(join(folder, `${name}.html`), formatPage(name, command, findings))
}

function formatPage (name: string, command: string, findings: Findings): string {
  const style = 'body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}'
  const tables = findings.reports.map(formatHtmlTable).join('\n')
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${name}</title><style>${style}</style></head>
<body><h1>${name}</h1><p><code>${command}</code></p>
${findings.plots.join('\n')}
${tables}
</body></html>
`
}

function formatHtmlTable (report: Report): string {
  const cells = (row: string[], tag: string): string => row.map(cell => `<${tag}>${cell}</${tag}>`).join('')
  const rows = report.rows.map(row => `<tr>${cells(row, 'td')}</tr>`).join('\n')
  return `<h2>${report.title}</h2><p>${report.note}</p><table><tr>${cells(report.columns, 'th')}</tr>\n${rows}</table>`
}
